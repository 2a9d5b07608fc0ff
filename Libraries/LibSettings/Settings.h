#pragma once

// The public header of LibSettings: the tree that operators publish, its schema,
// and the rule by which every reader of the log accepts the same revisions.

#include <LibSettings/FleetSettings.h>
#include <LibSettings/Publication.h>
#include <LibSettings/PublicationReader.h>
#include <LibSettings/RouteTable.h>
#include <LibSettings/Schema.h>
#include <LibSettings/SettingsTree.h>
