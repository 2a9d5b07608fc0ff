#pragma once

namespace Stagepost {

class Authenticator;
class MessageReader;
class MessageWriter;
class Metrics;
struct Error;
struct Refusal;

}
