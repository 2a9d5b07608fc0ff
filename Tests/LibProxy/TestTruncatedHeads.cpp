#include <LibProxy/TruncatingUpstream.h>
#include <boost/test/unit_test.hpp>
#include <list>
#include <map>
#include <optional>

using namespace Stagepost;

namespace {

// How the server forwards the answers.
enum class Forwarding {
    // As they arrive.
    Direct,
    // Once they are whole.
    Buffered,
    // As they arrive, since they are larger than the buffer.
    SmallBuffer,
    // Event by event.
    Events,
    // Event by event, after an upstream that broke off behind the first event.
    Continued,
};

// One way from an upstream to a client.
struct Path {
    CuttableAnswer answer;
    CutEnd cutEnd { CutEnd::Normal };
    bool sendsByteByByte { false };
    bool reusesConnections { false };
    Forwarding forwarding { Forwarding::Direct };
    std::string method { "GET" };
    std::string clientVersion { "1.1" };

    std::string name() const
    {
        constexpr std::array framings { "length", "chunks", "end-of-connection" };
        constexpr std::array forwardings { "direct", "buffered", "small-buffer", "events", "continued" };
        auto text = method + " " + clientVersion + " from 1." + std::to_string(answer.minorVersion) + " status " + std::to_string(answer.status);
        text += std::string(answer.isEventStream ? " events by " : " text by ") + framings[static_cast<size_t>(answer.framing)];
        text += std::string(" ") + forwardings[static_cast<size_t>(forwarding)];
        text += cutEnd == CutEnd::Reset ? " reset" : " closed";
        text += reusesConnections ? " reused" : "";
        return text + (sendsByteByByte ? " byte by byte" : "");
    }

    bool isForwardedByEvent() const { return forwarding == Forwarding::Events || forwarding == Forwarding::Continued; }
    bool isWhole(size_t byteCount) const { return answer.isWhole(byteCount, cutEnd, true); }
};

// What a client has got.
struct ReceivedAnswer {
    unsigned status { 0 };
    bool isWhole { false };
    std::string body;

    std::string name() const { return status ? std::to_string(status) + (isWhole ? " whole" : " cut") : "no answer"; }
};

// Returns whether the chunks have a last one.
bool decodeChunks(std::string_view bytes, std::string& body)
{
    while (true) {
        auto const lineEnd = bytes.find("\r\n");
        if (lineEnd == std::string_view::npos)
            return false;
        auto const size = std::stoul(std::string(bytes.substr(0, lineEnd)), nullptr, 16);
        bytes.remove_prefix(lineEnd + 2);
        if (bytes.size() < size + 2)
            return false;
        if (!size)
            return true;
        body += bytes.substr(0, size);
        bytes.remove_prefix(size + 2);
    }
}

ReceivedAnswer parseAnswer(std::string_view bytes, Client::End end, bool isHeadRequest)
{
    constexpr std::string_view lengthField = "\r\nContent-Length: ";
    ReceivedAnswer answer;
    auto const headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string_view::npos)
        return answer;
    auto const head = bytes.substr(0, headEnd + 2);
    bytes.remove_prefix(headEnd + 4);
    answer.status = static_cast<unsigned>(std::stoul(std::string(head.substr(head.find(' ') + 1, 3))));
    auto const length = head.find(lengthField);
    if (isHeadRequest || answer.status == 204 || answer.status == 304) {
        answer.isWhole = true;
    } else if (length != std::string_view::npos) {
        answer.body = bytes.substr(0, std::stoul(std::string(head.substr(length + lengthField.size()))));
        answer.isWhole = answer.body.size() == std::stoul(std::string(head.substr(length + lengthField.size())));
    } else if (head.find("\r\nTransfer-Encoding: chunked") != std::string_view::npos) {
        answer.isWhole = decodeChunks(bytes, answer.body);
    } else {
        answer.body = bytes;
        answer.isWhole = end == Client::End::Normal;
    }
    return answer;
}

// A server that forwards requests on one path, and its clients.
class World {
public:
    explicit World(Path path)
        : m_path(std::move(path))
        , m_upstream(m_path.answer, m_path.cutEnd, m_path.sendsByteByByte)
        , m_server(
              m_loop, {}, [this](std::shared_ptr<Exchange> const& exchange) { forward(exchange, m_path.forwarding == Forwarding::Continued && !isPriming(exchange->request().target) ? "/begin" : exchange->request().target); }, [](Refusal const&) { return makeTextResponse(400, ""); })
        , m_endpoint(*m_server.listen({ "127.0.0.1", 0 }))
    {
    }

    // Breaks the answer off after every byte, and checks what the clients get.
    void checkAllCuts()
    {
        auto const size = m_path.answer.bytes().size();
        for (size_t first = 0; first <= size; first += maxClients)
            checkCuts(first, std::min(size, first + maxClients - 1));
        std::string line = m_path.name() + ": " + std::to_string(size + 1) + " cuts";
        for (auto const& [name, count] : m_seen)
            line += ", " + name + " " + std::to_string(count);
        BOOST_TEST_MESSAGE(line);
    }

    void checkWholeAnswerIsRefused()
    {
        auto const target = "/cut/" + std::to_string(m_path.answer.bytes().size());
        auto const answer = request({ target }).front();
        BOOST_TEST(answer.status == 502);
        BOOST_TEST((m_results.at(target).failure == RefusalReason::UpstreamBroken));
        BOOST_TEST((m_results.at(target).verdict == Verdict::mayHaveRun));
    }

private:
    struct Request {
        Request(std::string requestTarget, Endpoint const& server)
            : target(std::move(requestTarget))
            , client(server)
        {
        }

        std::string target;
        Client client;
        std::string received;
        std::optional<ReceivedAnswer> answer;
    };

    // Few enough for the usual limit of open files.
    static constexpr size_t maxClients = 64;

    // Whether the request only opens a connection that the next ones reuse.
    static bool isPriming(std::string_view target) { return target.starts_with("/prime"); }

    ForwardPlan makePlan(HttpRequest request, std::string const& target) const
    {
        constexpr size_t maxRecordedBytes = 4096;
        constexpr size_t smallBuffer = 8;
        constexpr size_t largeBuffer = 4096;
        ForwardPlan plan;
        plan.upstream = m_upstream.endpoint();
        plan.request = std::move(request);
        plan.request.target = target;
        if (isPriming(target))
            plan.request.method = "GET";
        plan.maxRecordedBytes = maxRecordedBytes;
        plan.requireNewConnection = !m_path.reusesConnections || isPriming(target) || target == "/begin";
        if (m_path.reusesConnections)
            plan.requestId = "id";
        if (m_path.forwarding != Forwarding::Direct)
            plan.maxBufferedBytes = m_path.forwarding == Forwarding::SmallBuffer ? smallBuffer : largeBuffer;
        return plan;
    }

    void forward(std::shared_ptr<Exchange> const& exchange, std::string const& target, std::shared_ptr<EventProgress> progress = {})
    {
        auto plan = makePlan(exchange->request(), target);
        if (!progress && m_path.isForwardedByEvent() && !isPriming(target))
            progress = std::make_shared<EventProgress>();
        plan.progress = progress;
        // Only a stream whose events are numbered is continued.
        if (m_path.forwarding == Forwarding::Continued)
            plan.eventFormat.numbering = EventNumbering::Consecutive;
        plan.sendErrorEvent = !progress;
        exchange->forward(std::move(plan), [this, exchange, target, progress](ForwardResult const& result) {
            if (target == "/begin")
                forward(exchange, exchange->request().target, progress);
            else
                handleResult(*exchange, target, result);
        });
    }

    void handleResult(Exchange& exchange, std::string const& target, ForwardResult const& result)
    {
        m_results[target] = result;
        if (!result.failure)
            return;
        if (result.responseStarted)
            exchange.abort();
        else
            exchange.respond(makeTextResponse(502, "refused"));
    }

    std::vector<ReceivedAnswer> request(std::vector<std::string> const& targets)
    {
        constexpr int maxRounds = 10000;
        std::list<Request> requests;
        for (auto const& target : targets) {
            auto& request = requests.emplace_back(target, m_endpoint);
            request.client.send(m_path.method + " " + target + " HTTP/" + m_path.clientVersion + "\r\nHost: a\r\n\r\n");
        }
        std::vector<ReceivedAnswer> answers;
        size_t answered = 0;
        for (int round = 0; round < maxRounds && answered < requests.size(); ++round) {
            m_loop.runFor(Milliseconds(1));
            for (auto& request : requests)
                answered += !request.answer && receive(request) ? 1 : 0;
        }
        BOOST_REQUIRE(answered == requests.size());
        for (auto& request : requests)
            answers.push_back(std::move(*request.answer));
        return answers;
    }

    // Returns whether the client has got all that it will get.
    bool receive(Request& request) const
    {
        auto const end = request.client.receiveAll(request.received);
        auto answer = parseAnswer(request.received, end, m_path.method == "HEAD");
        if ((end == Client::End::None && !answer.isWhole) || !m_results.contains(request.target))
            return false;
        request.answer = std::move(answer);
        return true;
    }

    void checkCuts(size_t first, size_t last)
    {
        std::vector<std::string> targets;
        targets.reserve(last - first + 1);
        for (auto cut = first; cut <= last; ++cut)
            targets.push_back("/cut/" + std::to_string(cut));
        if (m_path.reusesConnections) {
            std::vector<std::string> priming;
            priming.reserve(targets.size());
            for (auto const& target : targets)
                priming.push_back("/prime" + target);
            request(priming);
        }
        auto const answers = request(targets);
        for (size_t index = 0; index < targets.size(); ++index) {
            BOOST_TEST_CONTEXT(m_path.name() << ", " << first + index << " of " << m_path.answer.bytes().size() << " bytes")
            checkCut(first + index, answers[index], m_results.at(targets[index]));
        }
    }

    void checkCut(size_t byteCount, ReceivedAnswer const& answer, ForwardResult const& result)
    {
        ++m_seen[answer.name()];
        BOOST_TEST(result.reusedConnection == m_path.reusesConnections);
        if (!m_path.isWhole(byteCount)) {
            BOOST_TEST((answer.status == 502 || !answer.isWhole));
            BOOST_TEST(result.failure.has_value());
            BOOST_TEST(!result.isRecordingComplete);
            BOOST_TEST((result.verdict == Verdict::mayHaveRun));
            return;
        }
        // A reset may discard bytes that the server has yet to read.
        if (m_path.cutEnd == CutEnd::Reset)
            return;
        BOOST_TEST(!result.failure.has_value());
        BOOST_TEST(answer.isWhole);
        BOOST_TEST(answer.status == (m_path.forwarding == Forwarding::Continued ? 200 : m_path.answer.status));
        if (byteCount == m_path.answer.bytes().size() && !m_path.answer.hasNoBody)
            BOOST_TEST(answer.body == (m_path.forwarding == Forwarding::Continued ? "id: 1\ndata: x\n\n" : "") + m_path.answer.body());
    }

    Path m_path;
    EventLoop m_loop;
    TruncatingUpstream m_upstream;
    HttpServer m_server;
    Endpoint m_endpoint;
    std::map<std::string, ForwardResult> m_results;
    std::map<std::string, size_t> m_seen;
};

// Answers with a body, with every framing and version.
std::vector<CuttableAnswer> answersWithBody(bool isEventStream, std::vector<unsigned> const& statuses = { 200 })
{
    std::vector<CuttableAnswer> answers;
    for (auto const status : statuses) {
        for (int const minorVersion : { 1, 0 }) {
            for (auto const framing : { Framing::Length, Framing::Chunks, Framing::EndOfConnection }) {
                // There are no chunks in HTTP/1.0.
                if (framing != Framing::Chunks || minorVersion)
                    answers.push_back({ framing, isEventStream, status, minorVersion, false });
            }
        }
    }
    return answers;
}

// Tries every cut of the answers, for both ends of the connection and both versions of HTTP of the client.
void checkAll(std::vector<CuttableAnswer> const& answers, std::vector<Forwarding> const& forwardings, bool reusesConnections = false, bool sendsByteByByte = false, std::string const& method = "GET")
{
    for (auto const& answer : answers) {
        for (auto const forwarding : forwardings) {
            for (auto const end : { CutEnd::Normal, CutEnd::Reset }) {
                for (auto const* const version : { "1.1", "1.0" }) {
                    World world({ answer, end, sendsByteByByte, reusesConnections, forwarding, method, version });
                    world.checkAllCuts();
                }
            }
        }
    }
}

constexpr std::string_view earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";

std::string repeat(std::string_view text, size_t count)
{
    std::string repeated;
    while (count--)
        repeated += text;
    return repeated;
}

std::optional<Result<HttpResponse>> fetchWhole(CuttableAnswer const& answer)
{
    TruncatingUpstream const upstream(answer, CutEnd::Normal, false);
    EventLoop loop;
    HttpClient client(loop);
    std::optional<Result<HttpResponse>> result;
    client.fetch(upstream.endpoint(), { "GET", "/cut/" + std::to_string(answer.bytes().size()), {}, {} }, Seconds(10), [&](Result<HttpResponse> response) {
        result = std::move(response);
        loop.stop();
    });
    loop.run();
    return result;
}

std::vector<Forwarding> const forwardingsOfText { Forwarding::Direct, Forwarding::Buffered, Forwarding::SmallBuffer };
std::vector<Forwarding> const forwardingsOfEvents { Forwarding::Direct, Forwarding::Events };

}

// Guards against answers that an upstream breaks off, in their heads above all, and that look whole to the clients.
BOOST_AUTO_TEST_SUITE(TruncatedHeadTests)

BOOST_AUTO_TEST_CASE(CutTextNeverLooksWhole)
{
    checkAll(answersWithBody(false, { 200, 503 }), forwardingsOfText);
}

BOOST_AUTO_TEST_CASE(CutEventStreamNeverLooksWhole)
{
    checkAll(answersWithBody(true), forwardingsOfEvents);
}

BOOST_AUTO_TEST_CASE(CutAnswerOnAReusedConnectionNeverLooksWhole)
{
    checkAll(answersWithBody(false), forwardingsOfText, true);
    checkAll(answersWithBody(true), forwardingsOfEvents, true);
}

BOOST_AUTO_TEST_CASE(CutAnswerThatArrivesByteByByteNeverLooksWhole)
{
    checkAll(answersWithBody(false), forwardingsOfText, false, true);
    checkAll(answersWithBody(true), forwardingsOfEvents, false, true);
}

BOOST_AUTO_TEST_CASE(CutAnswerWithoutBodyNeverLooksWhole)
{
    for (auto const framing : { Framing::Length, Framing::EndOfConnection }) {
        for (int const minorVersion : { 1, 0 }) {
            std::vector<CuttableAnswer> answers { { framing, false, 204, minorVersion, true }, { framing, false, 304, minorVersion, true } };
            checkAll(answers, forwardingsOfText);
            answers.push_back({ framing, false, 200, minorVersion, true });
            checkAll(answers, forwardingsOfText, false, false, "HEAD");
        }
    }
}

BOOST_AUTO_TEST_CASE(StreamWhoseSecondUpstreamIsCutNeverLooksWhole)
{
    checkAll(answersWithBody(true), { Forwarding::Continued });
}

// A read of the store that is taken for whole would be taken for proof of what it does not say.
BOOST_AUTO_TEST_CASE(CutAnswerIsNoResultOfAFetch)
{
    std::vector<CuttableAnswer> answers = answersWithBody(false, { 200, 503 });
    answers.push_back({ Framing::Length, false, 204, 1, true });
    for (auto const& answer : answers) {
        for (auto const end : { CutEnd::Normal, CutEnd::Reset }) {
            for (bool const sendsByteByByte : { false, true }) {
                TruncatingUpstream const upstream(answer, end, sendsByteByByte);
                EventLoop loop;
                HttpClient client(loop);
                auto const bytes = answer.bytes();
                size_t open = bytes.size() + 1;
                size_t taken = 0;
                for (size_t byteCount = 0; byteCount <= bytes.size(); ++byteCount) {
                    client.fetch(upstream.endpoint(), { "GET", "/cut/" + std::to_string(byteCount), {}, {} }, Seconds(10), [&, byteCount](Result<HttpResponse> const& response) {
                        taken += response ? 1 : 0;
                        if (!answer.isWhole(byteCount, end, false))
                            BOOST_TEST(!response.has_value());
                        else if (end == CutEnd::Normal)
                            BOOST_TEST(response.has_value());
                        if (!--open)
                            loop.stop();
                    });
                }
                loop.run();
                BOOST_TEST_MESSAGE("fetch status " << answer.status << ": " << bytes.size() + 1 << " cuts, taken " << taken);
            }
        }
    }
}

// Guards against answers that are refused because they begin with an interim one (RFC 9110, section 15.2), and against
// those that are taken for whole after it.
BOOST_AUTO_TEST_CASE(AnswerIsLostBehindInterimAnswers)
{
    auto const interim = std::string(earlyHints) + "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    for (bool const isEventStream : { false, true }) {
        auto answers = answersWithBody(isEventStream);
        for (auto& answer : answers)
            answer.interim = interim;
        checkAll(answers, isEventStream ? forwardingsOfEvents : forwardingsOfText);
        if (!isEventStream)
            checkAll({ answers.front() }, forwardingsOfText, true);
    }
    checkAll({ { Framing::Length, false, 200, 1, true, interim } }, { Forwarding::Direct, Forwarding::Buffered }, false, true, "HEAD");
    CuttableAnswer const answer { Framing::Length, false, 200, 1, false, interim };
    auto const fetched = fetchWhole(answer);
    BOOST_REQUIRE((fetched && fetched->has_value()));
    BOOST_TEST((*fetched)->status == 200);
    BOOST_TEST((*fetched)->body == answer.body());
}

// Guards against interim answers that are skipped without a bound, and against a switch of protocols that is passed over.
BOOST_AUTO_TEST_CASE(TooManyInterimAnswersAreSkipped)
{
    constexpr size_t maxCount = 8;
    std::string const large = "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(3000, 'x') + "\r\n\r\n";
    World(Path { { Framing::Length, false, 200, 1, false, repeat(earlyHints, maxCount) } }).checkAllCuts();
    for (auto const& interim : { repeat(earlyHints, maxCount + 1), repeat(large, 6), std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n") }) {
        CuttableAnswer const answer { Framing::Length, false, 200, 1, false, interim };
        for (auto const forwarding : forwardingsOfText)
            World(Path { answer, CutEnd::Normal, false, false, forwarding }).checkWholeAnswerIsRefused();
        auto const fetched = fetchWhole(answer);
        BOOST_REQUIRE(fetched.has_value());
        BOOST_TEST(!fetched->has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
