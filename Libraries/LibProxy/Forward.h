#pragma once

namespace Stagepost {

class DatagramSocket;
class EventLoop;
class Exchange;
class HttpBody;
class HttpClient;
class HttpFields;
class HttpServer;
class Timer;
struct Endpoint;
struct ForwardPlan;
struct ForwardResult;
struct HttpRequest;
struct HttpResponse;

}
