#include <hornbeam/testsupport/addressblock.h>
#include <hornbeam/testsupport/httpclient.h>
#include <hornbeam/testsupport/processgroup.h>
#include <hornbeam/testsupport/waiting.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>

// Last, because CppUTest's macro for operator new breaks headers that use placement new.
#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address()), endpoint.port()};
}

bool readable(int socket, std::chrono::milliseconds timeout)
{
    pollfd request = {.fd = socket, .events = POLLIN, .revents = 0};
    return ::poll(&request, 1, static_cast<int>(timeout.count())) > 0;
}

/** Outcome of a read: bytes, an error or a timeout. */
struct ReadResult
{
    std::string bytes;
    std::error_code error;
    bool timedOut = false;
};

ReadResult readSome(tcp::socket &socket, std::chrono::milliseconds timeout)
{
    if (!readable(socket.native_handle(), timeout)) {
        return {.bytes = {}, .error = {}, .timedOut = true};
    }
    std::string buf(4096, '\0');
    std::error_code ec;
    buf.resize(socket.read_some(asio::buffer(buf), ec));
    return {.bytes = buf, .error = ec, .timedOut = false};
}

bool failed(const ReadResult &result)
{
    return !result.timedOut && result.error;
}

void send(tcp::socket &socket, const std::string &text)
{
    std::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
}

} // namespace

TEST_GROUP(FaultProxy)
{
    ProcessGroup processes;
    std::unique_ptr<AddressBlock> addressBlock;
    asio::io_context io;
    std::unique_ptr<tcp::acceptor> server;
    std::unique_ptr<udp::socket> datagramServer;

    void setup() override
    {
        addressBlock = *AddressBlock::reserve();
        const auto serverEndpoint = addressBlock->endpoint(1, 1, 8000);
        server = std::make_unique<tcp::acceptor>(io, toAsio<tcp>(serverEndpoint));
        datagramServer = std::make_unique<udp::socket>(io, toAsio<udp>(serverEndpoint));
        const auto started = processes.start(
            {.name = "faultproxy",
             .program = programPath("faultproxy"),
             .arguments = {"--listen-control", addressBlock->endpoint(0, 1, 7900).toString(), "--seed", "11"},
             .readyLine = "listening on"});
        CHECK_TEXT(started.has_value(), started ? "" : started.error().message().c_str());
        control(
            {{"links",
              {{{"name", "server"}, {"listen", linkEndpoint().toString()}, {"forward", serverEndpoint.toString()}}}}});
    }

    Endpoint linkEndpoint() const
    {
        return addressBlock->endpoint(2, 1, 8000);
    }

    int controlStatus(const std::string &body)
    {
        const auto response = sendHttp({.method = "POST",
                                        .url = "http://" + addressBlock->endpoint(0, 1, 7900).toString() + "/control",
                                        .headers = {},
                                        .body = body,
                                        .sourceAddress = {}});
        return response ? response->status : 0;
    }

    void control(const Json &request)
    {
        LONGS_EQUAL(200, controlStatus(request.dump()));
    }

    void addRule(const Json &rule)
    {
        control({{"rules", {rule}}});
    }

    void clearRules()
    {
        control({{"clear", true}});
    }

    tcp::socket connectFrom(int source)
    {
        tcp::socket socket(io, tcp::v4());
        std::error_code ec;
        socket.bind(tcp::endpoint(asio::ip::make_address(addressBlock->address(3, source)), 0), ec);
        socket.connect(toAsio<tcp>(linkEndpoint()), ec);
        CHECK_FALSE(ec);
        return socket;
    }

    tcp::socket accept()
    {
        CHECK(readable(server->native_handle(), 5s));
        return server->accept();
    }

    void exchange(tcp::socket & from, tcp::socket & to, const std::string &text)
    {
        send(from, text);
        STRCMP_EQUAL(text.c_str(), readSome(to, 5s).bytes.c_str());
    }

    udp::socket datagramSocketFrom(int source)
    {
        return udp::socket(io, udp::endpoint(asio::ip::make_address(addressBlock->address(3, source)), 0));
    }

    /** Sends numbered datagrams and returns the numbers in the order of their arrival. */
    std::vector<int> sendDatagrams(udp::socket & socket, int n)
    {
        for (int i = 0; i < n; ++i) {
            const auto text = std::to_string(i);
            socket.send_to(asio::buffer(text), toAsio<udp>(linkEndpoint()));
        }
        std::vector<int> received;
        while (readable(datagramServer->native_handle(), 300ms)) {
            std::string buf(64, '\0');
            buf.resize(datagramServer->receive(asio::buffer(buf)));
            received.push_back(std::stoi(buf));
        }
        return received;
    }
};

TEST(FaultProxy, forwardsBothDirectionsAndEndOfStream)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "question");
    exchange(served, caller, "answer");
    served.close();
    CHECK(readSome(caller, 5s).error == asio::error::eof);
}

TEST(FaultProxy, cutResetsExistingAndNewConnectionsOfTheSourceOnly)
{
    auto cutCaller = connectFrom(1);
    auto cutServed = accept();
    exchange(cutCaller, cutServed, "x");
    auto otherCaller = connectFrom(2);
    auto otherServed = accept();
    addRule({{"kind", "cut"}, {"sources", {addressBlock->address(3, 1)}}});
    CHECK(failed(readSome(cutCaller, 5s)));
    CHECK(failed(readSome(cutServed, 5s)));
    auto resetCaller = connectFrom(1);
    CHECK(failed(readSome(resetCaller, 5s)));
    exchange(otherCaller, otherServed, "y");
    clearRules();
    auto again = connectFrom(1);
    auto againServed = accept();
    exchange(again, againServed, "z");
}

TEST(FaultProxy, silentDiscardsBytesOfExistingConnectionsOnly)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "x");
    addRule({{"kind", "silent"}, {"links", {"server"}}});
    send(caller, "lost");
    CHECK(readSome(served, 100ms).timedOut);
    send(served, "lost");
    CHECK(readSome(caller, 100ms).timedOut);
    auto fresh = connectFrom(1);
    auto freshServed = accept();
    exchange(fresh, freshServed, "y");
    // The connection stays silent after removal of the rule, as when a NAT gateway on the path has lost its entry.
    clearRules();
    send(caller, "lost");
    CHECK(readSome(served, 100ms).timedOut);
}

TEST(FaultProxy, silentInOneDirectionRelaysTheOther)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "x");
    addRule({{"kind", "silent"}, {"direction", "backward"}});
    exchange(caller, served, "still");
    send(served, "lost");
    CHECK(readSome(caller, 100ms).timedOut);
}

TEST(FaultProxy, blackHoleHoldsBytesAndNewConnectionsUntilCleared)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "x");
    addRule({{"kind", "blackHole"}});
    send(caller, "held");
    CHECK(readSome(served, 100ms).timedOut);
    auto fresh = connectFrom(1);
    CHECK_FALSE(readable(server->native_handle(), 100ms));
    clearRules();
    STRCMP_EQUAL("held", readSome(served, 5s).bytes.c_str());
    auto freshServed = accept();
    exchange(fresh, freshServed, "y");
}

TEST(FaultProxy, blackHoleInOneDirectionRelaysTheOther)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "x");
    addRule({{"kind", "blackHole"}, {"direction", "forward"}});
    exchange(served, caller, "passes");
    send(caller, "held");
    CHECK(readSome(served, 100ms).timedOut);
}

TEST(FaultProxy, delaysBytesAndKeepsTheirOrder)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "x");
    addRule({{"kind", "delay"}, {"delayMs", 60}, {"jitterMs", 40}});
    const Stopwatch stopwatch;
    std::string received;
    send(caller, "a");
    CHECK(readSome(served, 10ms).timedOut);
    send(caller, "b");
    waitUntil(5s, [&] {
        received += readSome(served, 1ms).bytes;
        return received.size() >= 2;
    });
    STRCMP_EQUAL("ab", received.c_str());
    CHECK(stopwatch.elapsed() >= 60ms);
}

TEST(FaultProxy, dropsOneResponseToAMatchingRequest)
{
    addRule({{"kind", "dropResponse"}, {"count", 1}, {"requestContains", {"write"}}});
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "read 1");
    exchange(served, caller, "answer 1");
    exchange(caller, served, "write 2");
    send(served, "answer 2");
    CHECK(failed(readSome(caller, 5s)));
    auto again = connectFrom(1);
    auto againServed = accept();
    exchange(again, againServed, "write 3");
    exchange(againServed, again, "answer 3");
}

TEST(FaultProxy, dropsAResponseAndKeepsTheConnectionOpen)
{
    addRule({{"kind", "dropResponse"}, {"count", 1}, {"afterDrop", "silence"}});
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "write");
    send(served, "answer");
    CHECK(readSome(caller, 100ms).timedOut);
}

TEST(FaultProxy, forwardsDatagrams)
{
    auto socket = datagramSocketFrom(1);
    LONGS_EQUAL(20, sendDatagrams(socket, 20).size());
}

TEST(FaultProxy, dropsDatagramsWithTheGivenProbability)
{
    addRule({{"kind", "loss"}, {"probability", 0.5}});
    auto socket = datagramSocketFrom(1);
    const auto received = sendDatagrams(socket, 100).size();
    CHECK(received > 20);
    CHECK(received < 80);
}

TEST(FaultProxy, duplicatesDatagrams)
{
    addRule({{"kind", "duplicate"}, {"probability", 1}});
    auto socket = datagramSocketFrom(1);
    LONGS_EQUAL(20, sendDatagrams(socket, 10).size());
}

TEST(FaultProxy, reordersDatagrams)
{
    addRule({{"kind", "reorder"}, {"probability", 0.5}, {"delayMs", 30}});
    auto socket = datagramSocketFrom(1);
    const auto received = sendDatagrams(socket, 40);
    LONGS_EQUAL(40, received.size());
    CHECK_FALSE(std::is_sorted(received.begin(), received.end()));
}

TEST(FaultProxy, cutDropsDatagramsOfTheSourceOnly)
{
    addRule({{"kind", "cut"}, {"sources", {addressBlock->address(3, 1)}}});
    auto cutSocket = datagramSocketFrom(1);
    LONGS_EQUAL(0, sendDatagrams(cutSocket, 5).size());
    auto otherSocket = datagramSocketFrom(2);
    LONGS_EQUAL(5, sendDatagrams(otherSocket, 5).size());
}

// Guards against partly applying or silently accepting a malformed control request: a test would go on without the
// fault that it asked for.
TEST(FaultProxy, rejectsMalformedControlRequestsWithoutEffect)
{
    for (const char *body : {"",
                             "[]",
                             R"({"rules": [{"kind": "cut"}, {"kind": "unknown"}]})",
                             R"({"links": [{"name": "x"}]})",
                             R"({"clear": 1})"}) {
        LONGS_EQUAL(400, controlStatus(body));
    }
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "x");
}

TEST(FaultProxy, countsBytesPerSourceAndLink)
{
    auto caller = connectFrom(1);
    auto served = accept();
    exchange(caller, served, "12345");
    exchange(served, caller, "123");
    const auto response = sendHttp({.url = "http://" + addressBlock->endpoint(0, 1, 7900).toString() + "/control/stats",
                                    .headers = {},
                                    .body = {},
                                    .sourceAddress = {}});
    CHECK(response.has_value());
    const auto flow = Json::parse(response->body)["flows"][0];
    STRCMP_EQUAL(addressBlock->address(3, 1).c_str(), flow["source"].get<std::string>().c_str());
    LONGS_EQUAL(5, flow["bytesForward"].get<int>());
    LONGS_EQUAL(3, flow["bytesBackward"].get<int>());
}
