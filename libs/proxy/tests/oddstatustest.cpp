#include "proxyfixture.h"

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

/** A target that answers each request with the same bytes and keeps the connection open. */
TEST_GROUP(OddStatus)
{
    ProxyFixture proxy;
    std::string answer;
    TestTarget odd{[this](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(answer);
    }};

    void setup() override
    {
        proxy.timeout = 1000ms;
        proxy.options.headers.signature = "Signed-By";
        proxy.addTarget(odd);
    }

    static std::string oddAnswer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + " Odd\r\nSigned-By: t\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    /** Checks that the caller gets 502 at once, not 504 at its deadline, whether the answer has a body or not. */
    void checkRefused(const std::string &status)
    {
        proxy.start();
        for (const char *body : {"", "body"}) {
            answer = oddAnswer(status, body);
            const auto response = proxy.call(ProxyFixture::get("/")).value();
            CHECK_EQUAL_TEXT(502, response.status(), (status + " with body '" + body + "'").c_str());
            STRCMP_EQUAL("unknown", response.header("x-hornbeam-outcome").c_str());
        }
    }
};

// Each guards against a status that RFC 9110 does not allow (section 15: three digits, 100 to 599) and that is passed
// to the caller, or is taken for an interim response, so that the caller waits until its deadline.

TEST(OddStatus, threeZeros)
{
    checkRefused("000");
}

TEST(OddStatus, belowTheFirstClass)
{
    checkRefused("099");
}

TEST(OddStatus, aboveTheLastClass)
{
    checkRefused("600");
}

TEST(OddStatus, largestWithThreeDigits)
{
    checkRefused("999");
}

TEST(OddStatus, oneDigit)
{
    checkRefused("2");
}

TEST(OddStatus, twoDigits)
{
    checkRefused("20");
}

TEST(OddStatus, fourDigits)
{
    checkRefused("2000");
}

TEST(OddStatus, fourDigitsWithTheValueOfThree)
{
    checkRefused("0200");
}

TEST(OddStatus, negative)
{
    checkRefused("-20");
}

TEST(OddStatus, letter)
{
    checkRefused("2O0");
}

// Section 15.2.2: only after a request with Upgrade, which the proxy does not send.
TEST(OddStatus, switchingProtocols)
{
    checkRefused("101");
}

// Section 8.6: an interim response has no Content-Length, so a target that sends one means it as its final response.
TEST(OddStatus, interimStatusOfAFinalResponse)
{
    checkRefused("100");
}

// Guards against an idempotent request that fails although another target could serve it, and against a target that
// keeps its share of the requests although it answers none of them.
TEST(OddStatus, isAFailureOfTheTarget)
{
    TestTarget sound([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(TestTarget::response("200 OK", "ok", "Signed-By: t\r\n"));
    });
    answer = oddAnswer("099", "");
    proxy.options.retryBudgetPercent = 100;
    proxy.addTarget(sound);
    proxy.start();
    int served = 0;
    for (int i = 0; i < 40; ++i) {
        served += proxy.call(ProxyFixture::get("/")).value().status() == 200 ? 1 : 0;
    }
    CHECK_EQUAL(40, served);
    CHECK(odd.requests() > 0);
    CHECK(odd.requests() < 15);
}

// Guards against a failure of a target whose valid status is replaced, and against interim responses that are taken for
// failures.
TEST(OddStatus, validOnesKeepTheirStatus)
{
    proxy.start();
    for (const char *status : {"200", "204", "299", "301", "404", "418", "500", "504", "599"}) {
        answer = oddAnswer(status, "");
        CHECK_EQUAL_TEXT(std::stoi(status), proxy.call(ProxyFixture::get("/")).value().status(), status);
    }
    answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + oddAnswer("201", "made");
    CHECK_EQUAL(201, proxy.call(ProxyFixture::get("/")).value().status());
}
