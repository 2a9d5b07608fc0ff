#pragma once

namespace Stagepost {

class HallReachability;
class Membership;
class UpdateQueue;
struct MemberUpdate;
struct MembershipMessage;

}
