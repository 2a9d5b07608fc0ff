#pragma once

// The public header of LibSettings: the settings tree that operators publish, its schema, the
// rule by which all readers of the log accept the same revisions, and the table of routes.

#include <LibSettings/FleetSettings.h>
#include <LibSettings/Publication.h>
#include <LibSettings/PublicationReader.h>
#include <LibSettings/RouteTable.h>
#include <LibSettings/Schema.h>
#include <LibSettings/SettingsTree.h>
