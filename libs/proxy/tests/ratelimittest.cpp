#include "relayfixture.h"

#include <hornbeam/proxy/requestlimiter.h>

#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

const std::string key = "key-of-north";

/** Admits a number of requests and counts the calls. */
class CountingLimiter : public RequestLimiter
{
public:
    Decision admit(const std::string &account, TimePoint /*now*/) override
    {
        const std::lock_guard lock(m_mutex);
        m_accounts.push_back(account);
        if (m_tokens == 0) {
            return {.admitted = false, .retryAfter = 1250ms};
        }
        --m_tokens;
        return {};
    }

    void giveBack(const std::string & /*account*/, TimePoint /*now*/) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_tokens;
        ++m_returned;
    }

    void setTokens(int tokens)
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = tokens;
    }

    std::vector<std::string> accounts()
    {
        const std::lock_guard lock(m_mutex);
        return m_accounts;
    }

    int returned()
    {
        const std::lock_guard lock(m_mutex);
        return m_returned;
    }

private:
    std::mutex m_mutex;
    int m_tokens = 100;
    int m_returned = 0;
    std::vector<std::string> m_accounts;
};

class RateLimitTest : public Utest, protected RelayFixture
{
public:
    RateLimitTest()
        : m_target([](const TestMessage &request, TestSocket &connection) {
            return connection.send(signedResponse(request, "ok"));
        })
    {
        accounts = {{.name = "north", .keyDigests = {Digest::of(key)}}};
        frontOptions.limiter = &m_limiter;
        targetOptions.limiter = &m_limiter;
    }

protected:
    void startWithTarget()
    {
        addTarget(m_target, "first");
        start();
    }

    CountingLimiter m_limiter;
    TestTarget m_target;
    const std::string m_key = "Client-Key: " + key + "\r\n";
};

} // namespace

TEST_GROUP_BASE(RateLimit, RateLimitTest){};

TEST(RateLimit, refusesBeyondTheLimitAndKeepsTheConnection)
{
    startWithTarget();
    m_limiter.setTokens(1);
    auto socket = TestSocket::connectTo(front->server->localEndpoint());
    const std::string request =
        "GET / HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c1\r\nContent-Length: 2\r\n" + m_key + "\r\nhi";
    socket.send(request);
    CHECK_EQUAL(200, socket.read().value().status());
    socket.send(request);
    const auto refused = socket.read().value();
    CHECK_EQUAL(429, refused.status());
    STRCMP_EQUAL("1.250", refused.header("retry-after").c_str());
    STRCMP_EQUAL("not-run", refused.header("x-hornbeam-outcome").c_str());
    m_limiter.setTokens(1);
    socket.send(request);
    CHECK_EQUAL(200, socket.read().value().status());
}

// The relay of the target's node would otherwise take a second token of the same request.
TEST(RateLimit, takesOneTokenForARequest)
{
    startWithTarget();
    CHECK_EQUAL(200, call("GET", "/", m_key).status());
    CHECK_EQUAL(200, call("POST", "/book", m_key).status());
    CHECK(m_limiter.accounts() == std::vector<std::string>({"north", "north"}));
    CHECK_EQUAL(0, m_limiter.returned());
}

TEST(RateLimit, requestsWithoutAnAccountTakeNoToken)
{
    startWithTarget();
    CHECK_EQUAL(200, call("GET", "/open", m_key).status());
    CHECK_EQUAL(401, call("GET", "/", "Client-Key: other\r\n").status());
    CHECK(m_limiter.accounts().empty());
}

// An account would otherwise pay for requests that the overloaded system does not run.
TEST(RateLimit, requestThatIsRefusedLaterGivesItsTokenBackOnce)
{
    start();
    CHECK_EQUAL(503, call("GET", "/", m_key).status());
    CHECK_EQUAL(1U, m_limiter.accounts().size());
    CHECK_EQUAL(1, m_limiter.returned());
    CHECK_EQUAL(503, call("POST", "/book", m_key).status());
    CHECK_EQUAL(2, m_limiter.returned());
}

TEST(RateLimit, requestWithAnUnknownOutcomeKeepsItsToken)
{
    TestTarget broken([](const TestMessage &, TestSocket &) { return false; });
    addTarget(broken, "broken");
    start();
    CHECK(call("POST", "/book", m_key).status() >= 500);
    CHECK_EQUAL(1U, m_limiter.accounts().size());
    CHECK_EQUAL(0, m_limiter.returned());
}
