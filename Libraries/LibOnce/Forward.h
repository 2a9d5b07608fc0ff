#pragma once

namespace Stagepost {

class AppendRateLimiter;
class ClaimGate;
class ClaimTable;
class TicketRegistry;
struct ClaimRecord;
struct IdempotencyKey;
struct RecordedResponse;

}
