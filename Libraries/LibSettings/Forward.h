#pragma once

namespace Stagepost {

class PublicationReader;
class SettingsTree;
struct FleetSettings;
struct OrganisationSettings;
struct PoolSettings;
struct Publication;

}
