#include "relayfixture.h"

#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

const std::string northKey = "key-of-north";

/** A target on a host of its own, which records the requests that it runs. */
class AccountTest : public Utest, protected RelayFixture
{
public:
    AccountTest()
        : m_target([this](const TestMessage &request, TestSocket &connection) {
            record(request);
            const bool calls = request.startLine.find("/calls") != std::string::npos;
            return connection.send(signedResponse(request, calls ? nestedCall(request) : "ok"));
        })
    {
    }

protected:
    void startWithAccounts()
    {
        accounts = {{.name = "north", .keyDigests = {Digest::of(northKey)}, .priority = Priority::Low},
                    {.name = "south", .keyDigests = {Digest::of("key-of-south")}}};
        addTarget(m_target, "first");
        start();
    }

    void publishAccounts(const std::vector<ClientAccount> &changed)
    {
        accounts = changed;
        publish(*front->server, {});
    }

    /** The requests that have run. */
    std::vector<TestMessage> ran()
    {
        const std::lock_guard lock(m_mutex);
        return m_ran;
    }

    /** Status of a request that carries the keys. */
    int statusWith(const std::vector<std::string> &keys, const std::string &path = "/")
    {
        std::string headers;
        for (const auto &key : keys) {
            headers += "Client-Key: " + key + "\r\n";
        }
        return call("GET", path, headers).status();
    }

    /** Sends @p text to the front node and returns the response. */
    TestMessage send(const std::string &text) const
    {
        auto socket = TestSocket::connectTo(front->server->localEndpoint());
        socket.send(text);
        return socket.read().value_or(TestMessage());
    }

    /** Checks that the last request ran with this account, or without one, and that no header contains the key. */
    void checkLastRun(std::size_t count, const std::string &account)
    {
        const auto requests = ran();
        CHECK_EQUAL(count, requests.size());
        const auto &last = requests.back();
        STRCMP_EQUAL(account.c_str(), last.header("client-name").c_str());
        CHECK_EQUAL(account.empty() ? 0 : 1, last.headers.count("client-name"));
        for (const auto &[name, value] : last.headers) {
            CHECK_FALSE(name == "client-key");
            CHECK(value.find("key-of") == std::string::npos);
        }
    }

private:
    /** Makes a call for @p request to the node of the target, without a key; returns the body of its response. */
    std::string nestedCall(const TestMessage &request) const
    {
        auto socket = TestSocket::connectTo(nodes.front()->server->localEndpoint());
        socket.send("GET / HTTP/1.1\r\nHost: rota.example\r\nCall-Id: " + request.header("call-id") + ".1\r\n\r\n");
        return socket.read().value_or(TestMessage()).body;
    }

    void record(const TestMessage &request)
    {
        const std::lock_guard lock(m_mutex);
        m_ran.push_back(request);
    }

    std::mutex m_mutex;
    std::vector<TestMessage> m_ran;
    TestTarget m_target;
};

} // namespace

TEST_GROUP_BASE(ClientAccounts, AccountTest){};

// Guards against a key that reaches a target, and against an account name that the caller chooses.
TEST(ClientAccounts, sendTheAccountInsteadOfTheKey)
{
    startWithAccounts();
    CHECK_EQUAL(200, statusWith({northKey}));
    checkLastRun(1, "north");
    CHECK_EQUAL(200,
                call("GET",
                     "/",
                     "client-NAME: south\r\nX-Hornbeam-Relay-Account: -;0;south\r\nclient-key:   " + northKey
                         + " \t\r\nClient-Name: south\r\n")
                    .status());
    checkLastRun(2, "north");
}

// Guards against running a request whose key no configuration holds, and against an answer that says it may have run.
TEST(ClientAccounts, refuseOtherKeys)
{
    startWithAccounts();
    const auto refusal = call("GET", "/", "Client-Key: key-of-nobody\r\n");
    CHECK_EQUAL(401, refusal.status());
    STRCMP_EQUAL("not-run", refusal.header("x-hornbeam-outcome").c_str());
    CHECK(refusal.body.find("key-of") == std::string::npos);
    CHECK_EQUAL(401, statusWith({}));
    CHECK_EQUAL(401, statusWith({""}));
    CHECK_EQUAL(401, statusWith({"\t "}));
    CHECK_EQUAL(401, statusWith({std::string(10240, 'k')}));
    CHECK_EQUAL(401, statusWith({northKey, northKey}));
    CHECK_EQUAL(401, statusWith({northKey, "key-of-south"}));
    CHECK_EQUAL(0, ran().size());
}

TEST(ClientAccounts, areNotUsedOnAnonymousRoutes)
{
    startWithAccounts();
    std::size_t count = 0;
    for (const auto &keys : std::vector<std::vector<std::string>>{{}, {northKey}, {"key-of-nobody"}, {northKey, ""}}) {
        CHECK_EQUAL(200, statusWith(keys, "/open"));
        checkLastRun(++count, "");
    }
    CHECK_EQUAL(200, call("GET", "/open", "Client-Name: south\r\n").status());
    checkLastRun(++count, "");
}

// Guards against a key in a trailer, which follows the decision, being used or passed on.
TEST(ClientAccounts, ignoreATrailer)
{
    startWithAccounts();
    const std::string start = " HTTP/1.1\r\nHost: rota.example\r\nTransfer-Encoding: chunked\r\n";
    const auto body = "2\r\nhi\r\n0\r\nClient-Key: " + northKey + "\r\nClient-Name: south\r\n\r\n";
    CHECK_EQUAL(401, send("POST /" + start + "Call-Id: t1\r\n\r\n" + body).status());
    CHECK_EQUAL(200, send("POST /open" + start + "Call-Id: t2\r\n\r\n" + body).status());
    checkLastRun(1, "");
}

// Guards against a deployment without accounts that refuses requests, or passes a key or an account name on.
TEST(ClientAccounts, areNotRequiredWithoutAnyInTheConfiguration)
{
    startWithAccounts();
    publishAccounts({});
    CHECK_EQUAL(200, statusWith({northKey}));
    checkLastRun(1, "");
    CHECK_EQUAL(200, call("GET", "/", "Client-Name: south\r\n").status());
    checkLastRun(2, "");
}

// Guards against a version whose keys still count after the next one, in each direction.
TEST(ClientAccounts, followTheConfiguration)
{
    startWithAccounts();
    const ClientAccount north{.name = "north", .keyDigests = {Digest::of("key-of-south")}};
    const ClientAccount south{.name = "south", .keyDigests = {Digest::of(northKey)}};
    publishAccounts({north, south});
    CHECK_EQUAL(200, statusWith({northKey}));
    checkLastRun(1, "south");
    publishAccounts({{.name = "north"}, {.name = "south", .keyDigests = south.keyDigests}});
    CHECK_EQUAL(401, statusWith({"key-of-south"}));
    publishAccounts({north});
    CHECK_EQUAL(401, statusWith({northKey}));
    CHECK_EQUAL(200, statusWith({"key-of-south"}));
    checkLastRun(2, "north");
}

// Guards against 401 for a valid key at a node that has no configuration yet.
TEST(ClientAccounts, areNotDecidedBeforeTheNodeIsReady)
{
    front = std::make_unique<RelayNode>();
    front->start(frontOptions);
    const auto refusal = call("GET", "/", "Client-Key: " + northKey + "\r\n");
    CHECK_EQUAL(503, refusal.status());
    CHECK(!refusal.header("retry-after").empty());
}

// Guards against refusing the nested calls of a running request, which carry no key, against telling their targets an
// account, and against a final answer to the calls of a request that ran until shortly before.
TEST(ClientAccounts, areInheritedByNestedCalls)
{
    startWithAccounts();
    STRCMP_EQUAL("ok", call("GET", "/calls", "Client-Key: " + northKey + "\r\n").body.c_str());
    checkLastRun(2, "");
    auto late = TestSocket::connectTo(nodes.front()->server->localEndpoint());
    late.send("GET / HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c1.2\r\n\r\n");
    const auto refusal = late.read();
    CHECK_EQUAL(503, refusal->status());
    STRCMP_EQUAL("not-run", refusal->header("x-hornbeam-outcome").c_str());
}
