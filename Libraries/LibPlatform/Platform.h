#pragma once

// Includes all of LibPlatform: HTTP clients of the platform's append-only log and of its
// list of VMs.

#include <LibPlatform/FetchHook.h>
#include <LibPlatform/LogBatch.h>
#include <LibPlatform/LogClient.h>
#include <LibPlatform/VMEntry.h>
#include <LibPlatform/VMList.h>
#include <LibPlatform/VMListClient.h>
