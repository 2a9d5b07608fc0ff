#pragma once

namespace Stagepost {

class AppendRateLimiter;
class ClaimGate;
class ClaimTable;
class TicketBook;
struct ClaimRecord;
struct IdempotencyKey;
struct RecordedResponse;

}
