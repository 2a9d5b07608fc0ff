#pragma once

namespace Stagepost {

class ClientMemory;
class DatagramSocket;
class EventLoop;
class Exchange;
class HttpBody;
class HttpClient;
class HttpFields;
class HttpServer;
class Timer;
struct ClientLimits;
struct Endpoint;
struct ForwardPlan;
struct ForwardResult;
struct HttpRequest;
struct HttpResponse;

}
