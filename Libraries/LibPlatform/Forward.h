#pragma once

namespace Stagepost {

class LogClient;
class VMList;
class VMListClient;
struct LogBatch;
struct LogRecord;
struct VMEntry;

}
