#include "meshtest.h"

#include <hornbeam/testsupport/clientcrowd.h>

#include <arpa/inet.h>
#include <sys/resource.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Memory of the smallest host that runs a node. */
constexpr std::size_t hostKilobytes = std::size_t{110} * 1024;

/** Connections of a crowd; a fraction of what one client machine can open. */
constexpr std::size_t crowdSize = 300;

/** Descriptors of a node beyond those before the crowd that may stay open after the crowd was refused. */
constexpr std::size_t spareDescriptors = 60;

constexpr std::uint16_t relayPort = 8083;
constexpr std::uint16_t peerPort = 8082;

/** Limits the descriptors of processes that this one starts, for as long as the guard exists. */
class DescriptorLimit
{
public:
    explicit DescriptorLimit(rlim_t n)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        auto limit = m_before;
        limit.rlim_cur = n;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }

    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

    ~DescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }

private:
    struct rlimit m_before = {};
};

} // namespace

/**
 * A node whose clients stay outside the limits. The checks do not depend on the speed of the machine: the process runs,
 * its peak memory and its descriptors stay under a bound, and an ordinary request is answered.
 */
class ClientLimitsTest : public MeshTest
{
protected:
    void start(nlohmann::json traffic = nlohmann::json::object())
    {
        startMesh(
            {.zones = {"tampere"}, .nodesPerZone = 1, .settings = {{"traffic", std::move(traffic)}}, .relay = true});
        m_descriptors = descriptorCount();
    }

    Endpoint relay() const
    {
        return {mesh->nodeAddress(0), relayPort};
    }

    Endpoint peer() const
    {
        return {mesh->nodeAddress(0), peerPort};
    }

    std::filesystem::path processDirectory()
    {
        return "/proc/" + std::to_string(mesh->processes().pid(Mesh::nodeName(0)));
    }

    /** Peak resident memory of the node in KB; 0 if it does not run. */
    std::size_t peakKilobytes()
    {
        std::ifstream file(processDirectory() / "status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }

    std::size_t descriptorCount()
    {
        std::error_code ec;
        const std::filesystem::directory_iterator all(processDirectory() / "fd", ec);
        return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }

    /** Bytes that connections to the listener have received and the node has not read, see proc(5), /proc/net/tcp. */
    static std::size_t unreadBytes(const Endpoint &listener)
    {
        std::array<char, 16> text{};
        std::snprintf(text.data(), text.size(), "%08X:%04X", ::inet_addr(listener.address().c_str()), listener.port());
        const std::string key = text.data();
        std::ifstream file("/proc/net/tcp");
        std::string line;
        std::size_t total = 0;
        while (std::getline(file, line)) {
            std::istringstream fields(line);
            std::string index;
            std::string localAddress;
            std::string remoteAddress;
            std::string state;
            std::string queues;
            fields >> index >> localAddress >> remoteAddress >> state >> queues;
            // The queue of a listening socket (state 0A) counts connections.
            if (localAddress == key && state != "0A") {
                total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
            }
        }
        return total;
    }

    /** Sends the script on all connections and waits until the node has read the bytes or has stopped reading. */
    void sendAll(const Endpoint &listener, const ClientCrowd::Script &script)
    {
        crowd.send(script);
        auto last = unreadBytes(listener);
        auto lastChange = std::chrono::steady_clock::now();
        waitUntil(waitTimeout, [&] {
            const auto unread = unreadBytes(listener);
            const auto now = std::chrono::steady_clock::now();
            lastChange = unread == last ? lastChange : now;
            last = unread;
            return unread == 0 || now - lastChange >= 1s;
        });
    }

    void checkMemory()
    {
        CHECK_TEXT(mesh->processes().isRunning(Mesh::nodeName(0)), "the node has ended");
        const auto text = "peak memory " + std::to_string(peakKilobytes()) + " KB";
        CHECK_TEXT(peakKilobytes() > 0 && peakKilobytes() < hostKilobytes, text.c_str());
    }

    /** Waits until the node holds few more descriptors than before the crowd. */
    void checkDescriptors()
    {
        const bool released =
            waitUntil(waitTimeout, [&] { return descriptorCount() < m_descriptors + spareDescriptors; });
        const auto text =
            std::to_string(m_descriptors) + " descriptors before, " + std::to_string(descriptorCount()) + " after";
        CHECK_TEXT(released, text.c_str());
    }

    /** Waits until an ordinary request to the listener of callers is served by the target. */
    void checkServes()
    {
        Result<HttpResponse> response = makeError(ErrorCode::Unavailable, "not sent");
        waitUntil(waitTimeout, [&] {
            response = read(0);
            return statusOf(response) == 200;
        });
        CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
        CHECK_TEXT(mesh->processes().isRunning(Mesh::nodeName(0)), "the node has ended");
    }

    bool servesAdmin()
    {
        HttpRequest request;
        request.url = "/healthz";
        request.timeout = 2s;
        return statusOf(mesh->callAdmin(0, request)) == 200;
    }

    ClientCrowd crowd;

private:
    std::size_t m_descriptors = 0;
};

TEST_GROUP_BASE(ClientLimits, ClientLimitsTest){};

// Guards against a head that costs many times its bytes: with two strings per header field, short lines without end
// exhaust the memory of the host before the limit of the head is reached.
TEST(ClientLimits, shortHeaderLinesWithoutEnd)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0), {.head = "GET /rota HTTP/1.1\r\nHost: a\r\n", .piece = "a:\r\n", .pieces = 100000});
    checkMemory();
    checkServes();
}

// Guards against the same on the listener for other nodes.
TEST(ClientLimits, shortHeaderLinesWithoutEndOnTheRelayListener)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(relay(), crowdSize));
    sendAll(relay(), {.head = "GET /rota HTTP/1.1\r\nHost: a\r\n", .piece = "a:\r\n", .pieces = 100000});
    checkMemory();
    checkServes();
}

// Guards against heads that stay below the limit, are never completed and are held together in memory.
TEST(ClientLimits, headsKeptOpenBelowTheLimit)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0), {.head = "GET /rota HTTP/1.1\r\nHost: a\r\n", .piece = "ab:\r\n", .pieces = 12000});
    checkMemory();
    checkServes();
}

// Guards against complete requests below the limit of the head whose header fields are held together in memory while
// a target runs them.
TEST(ClientLimits, completeHeadsWithManyFields)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0),
            {.head = "GET /rota HTTP/1.1\r\nHost: a\r\nX-Target-Behaviour: /slow?ms=3000\r\n",
             .piece = "ab:\r\n",
             .pieces = 12000});
    sendAll(mesh->traffic(0), {.head = "\r\n", .piece = "", .pieces = 0});
    checkMemory();
    crowd.close();
    checkServes();
}

// Guards against empty lines before a request, which no limit of the head counts, so that each connection is held.
TEST(ClientLimits, emptyLinesWithoutEnd)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0), {.head = "\r\n", .piece = "\r\n", .pieces = 500000});
    checkDescriptors();
    checkMemory();
    checkServes();
}

// Guards against white space before a header value, which no limit of the head counts either.
TEST(ClientLimits, whiteSpaceWithoutEnd)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0), {.head = "GET /rota HTTP/1.1\r\nHost: a\r\nX-Long:", .piece = " ", .pieces = 500000});
    checkDescriptors();
    checkMemory();
    checkServes();
}

// Guards against bodies of non-idempotent requests, which are kept until they are complete, held together in memory.
TEST(ClientLimits, bodiesKeptOpen)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0),
            {.head = "POST /bookings/7 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 1000000\r\n\r\n",
             .piece = std::string(1000, 'x'),
             .pieces = 900});
    checkMemory();
    checkServes();
}

// Guards against chunk extensions without end.
TEST(ClientLimits, chunkExtensionsWithoutEnd)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(
        mesh->traffic(0),
        {.head = "POST /bookings/7 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n5",
         .piece = ";name=value",
         .pieces = 100000});
    checkMemory();
    checkServes();
}

// Guards against trailers without end.
TEST(ClientLimits, trailersWithoutEnd)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(
        mesh->traffic(0),
        {.head =
             "POST /bookings/7 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         .piece = "a:\r\n",
         .pieces = 100000});
    checkMemory();
    checkServes();
}

// Guards against responses that are kept for callers which do not read them.
TEST(ClientLimits, pipelinedRequestsWhoseResponsesAreNotRead)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->traffic(0), crowdSize));
    sendAll(mesh->traffic(0), {.head = "", .piece = "GET /rota HTTP/1.1\r\nHost: a\r\n\r\n", .pieces = 3000});
    checkMemory();
    checkServes();
}

// Guards against connections without a request that keep ordinary callers in the listen backlog.
TEST(ClientLimits, silentConnectionsBeyondTheLimit)
{
    start({{"maxConnections", 50}});
    CHECK_EQUAL(100, crowd.connect(mesh->traffic(0), 100));
    checkServes();
    checkMemory();
}

// Guards against connections that send a head byte by byte and keep ordinary callers in the listen backlog.
TEST(ClientLimits, headsByteByByteBeyondTheLimit)
{
    start({{"maxConnections", 50}});
    CHECK_EQUAL(100, crowd.connect(mesh->traffic(0), 100));
    sendAll(mesh->traffic(0), {.head = "GET /rota HTTP/1.1\r\nX-Slow: ", .piece = "", .pieces = 0});
    Result<HttpResponse> response = makeError(ErrorCode::Unavailable, "not sent");
    waitUntil(waitTimeout, [&] {
        crowd.sendByte('x');
        HttpRequest request;
        request.url = "/rota/today";
        request.timeout = 1s;
        response = mesh->call(0, request);
        return statusOf(response) == 200;
    });
    CHECK_TEXT(statusOf(response) == 200, describe(response).c_str());
    checkMemory();
}

// Guards against bodies that never arrive and keep ordinary callers in the listen backlog.
TEST(ClientLimits, missingBodiesBeyondTheLimit)
{
    start({{"maxConnections", 50}});
    CHECK_EQUAL(100, crowd.connect(mesh->traffic(0), 100));
    sendAll(mesh->traffic(0),
            {.head = "POST /bookings/7 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nX-Hornbeam-Deadline-Ms: 600000\r\n"
                     "Content-Length: 10\r\n\r\n",
             .piece = "",
             .pieces = 0});
    checkServes();
    checkMemory();
}

// Guards against connections to the listener for other nodes that use up the limit for callers.
TEST(ClientLimits, silentConnectionsOnTheRelayListener)
{
    start({{"maxConnections", 50}});
    CHECK_EQUAL(100, crowd.connect(relay(), 100));
    sendAll(relay(), {.head = "G", .piece = "", .pieces = 0});
    checkServes();
    checkMemory();
}

// Guards against twice as many connections as the process has descriptors: it must still reach its target.
TEST(ClientLimits, connectionsBeyondTheDescriptorLimit)
{
    start();
    mesh->processes().kill(Mesh::nodeName(0));
    {
        const DescriptorLimit limit(256);
        require(mesh->startNode(0));
    }
    CHECK(waitForTargets(mesh->allNodes(), allTargets()));
    checkServes();
    CHECK_EQUAL(512, crowd.connect(mesh->traffic(0), 512));
    checkServes();
    checkMemory();
}

// Guards against bodies for the operator API that are held together in memory, and against an API that stays blocked.
TEST(ClientLimits, bodiesKeptOpenOnTheAdminListener)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->admin(0), crowdSize));
    sendAll(mesh->admin(0),
            {.head = "POST /v1/plans HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n",
             .piece = std::string(1000, 'x'),
             .pieces = 4900});
    checkMemory();
    crowd.close();
    CHECK(waitUntil(waitTimeout, [&] { return servesAdmin(); }));
    checkServes();
}

// Guards against the same with bodies that no limit of the API refuses.
TEST(ClientLimits, allowedBodiesKeptOpenOnTheAdminListener)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->admin(0), crowdSize));
    sendAll(mesh->admin(0),
            {.head = "POST /v1/plans HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n",
             .piece = std::string(1000, 'x'),
             .pieces = 3900});
    checkMemory();
    crowd.close();
    CHECK(waitUntil(waitTimeout, [&] { return servesAdmin(); }));
    checkServes();
}

// Guards against heads without end on the operator API.
TEST(ClientLimits, headersWithoutEndOnTheAdminListener)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(mesh->admin(0), crowdSize));
    sendAll(mesh->admin(0), {.head = "GET /healthz HTTP/1.1\r\nHost: a\r\n", .piece = "a:\r\n", .pieces = 100000});
    checkMemory();
    crowd.close();
    CHECK(waitUntil(waitTimeout, [&] { return servesAdmin(); }));
    checkServes();
}

// Guards against HTTP/2 header frames without end on the listener for peers.
TEST(ClientLimits, framesWithoutEndOnThePeerListener)
{
    start();
    CHECK_EQUAL(crowdSize, crowd.connect(peer(), crowdSize));
    // The connection preface, an empty SETTINGS frame and a HEADERS frame of stream 1 without END_HEADERS, followed by
    // CONTINUATION frames of 100 bytes.
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    const std::string headers("\0\0\0\1\0\0\0\0\1", 9);
    std::string continuation("\0\0\144\11\0\0\0\0\1", 9);
    // Literal header field with incremental indexing, name and value of 48 bytes each.
    continuation += std::string("\100\60") + std::string(48, 'a') + '\60' + std::string(48, 'b') + '\0';
    sendAll(peer(), {.head = preface + settings + headers, .piece = continuation, .pieces = 10000});
    checkMemory();
    checkServes();
}
