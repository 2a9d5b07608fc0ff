#pragma once

namespace Stagepost {

class AdmissionController;
class AdmissionGate;
class CircuitBreaker;
class ContextTable;
class FairQueue;
class LeaseClient;
class LeaseServer;
class LoadExchange;
class OrganisationLimiter;
class RetryPolicy;
class RoutingView;
class ShareExchange;
class UpstreamOwner;
struct Lease;
struct PlacementRequest;
struct PoolPolicy;

}
