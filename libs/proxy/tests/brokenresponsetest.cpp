#include "hopfixture.h"

#include <functional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** More than the socket buffers between a caller and a target take. */
constexpr std::size_t uploadBytes = std::size_t{24} * 1024 * 1024;

/** An upload, which its target may answer before it has read the body. */
struct Upload
{
    const char *name;
    std::string head;
    std::string piece; ///< Sent again and again after the head.
    std::string end;
};

std::vector<Upload> uploads()
{
    const std::string body(std::size_t{64} * 1024, 'u');
    const std::string fields = " HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c1\r\n";
    const auto length = "Content-Length: " + std::to_string(uploadBytes) + "\r\n\r\n";
    return {{"with a length", "POST /" + fields + length, body, {}},
            {"with a length, not idempotent", "POST /book" + fields + length, body, {}},
            {"in chunks",
             "POST /" + fields + "Transfer-Encoding: chunked\r\n\r\n",
             "10000\r\n" + body + "\r\n",
             "0\r\n\r\n"}};
}

/** A target, or the node in its place, that sends responses with broken bytes. */
class BrokenResponseTest : public Utest, protected HopFixture
{
protected:
    /** Sends @p upload until the connection fails, and returns the response. */
    TestMessage send(const Upload &upload) const
    {
        auto socket = connect();
        std::jthread sender([&] {
            bool open = socket.send(upload.head);
            for (std::size_t sent = 0; open && sent < uploadBytes; sent += std::size_t{64} * 1024) {
                open = socket.send(upload.piece);
            }
            if (open) {
                socket.send(upload.end);
            }
        });
        auto response = socket.read().value_or(TestMessage());
        socket.shutdown();
        return response;
    }

    /** Checks on each hop that the response @p bytes reaches the caller as a failure, at once. */
    void checkRefused(const std::string &bytes, const std::string &name)
    {
        for (const auto hop : allHops) {
            const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
                connection.send(bytes);
                return true;
            });
            startReading(hop, target);
            const auto response = exchange(get());
            const auto text = name + ", " + hopName(hop);
            CHECK_EQUAL_TEXT(502, response.status(), text.c_str());
            CHECK_TEXT(response.complete, text.c_str());
            STRCMP_EQUAL_TEXT("unknown", response.header("x-hornbeam-outcome").c_str(), text.c_str());
        }
    }

    /**
     * On each hop, sends each upload to a target that answers with @p handler before it has read the body. Calls
     * @p check with the response and the name of the case.
     */
    void forEachUpload(const TestTarget::Handler &handler,
                       const std::function<void(const TestMessage &response, const std::string &name)> &check)
    {
        for (const auto hop : allHops) {
            for (const auto &upload : uploads()) {
                const TestTarget target(handler, TestTarget::Reads::Head);
                startReading(hop, target);
                check(send(upload), std::string(upload.name) + ", " + hopName(hop));
            }
        }
    }

    /** The same as checkRefused() for a response that comes before the request is written. */
    void checkRefusedDuringUpload(const std::string &bytes)
    {
        forEachUpload(
            [&](const TestMessage & /*request*/, TestSocket &connection) {
                connection.send(bytes);
                connection.waitClosed();
                return false;
            },
            [](const TestMessage &response, const std::string &name) {
                CHECK_EQUAL_TEXT(502, response.status(), name.c_str());
            });
    }
};

} // namespace

TEST_GROUP_BASE(BrokenResponse, BrokenResponseTest){};

// Guards against a part of a body that passes for a whole one: the write of the request learns of the reset, and the
// next read then finds the end of the connection, which marks the end of a body without a length.
TEST(BrokenResponse, aResetDuringAnUploadIsNotTheEndOfABody)
{
    for (const char *framing : {"", "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"}) {
        const auto text = responseHead(framing) + (framing[0] == 'T' ? "4\r\npart\r\n" : "part");
        forEachUpload(
            [&](const TestMessage & /*request*/, TestSocket &connection) {
                connection.send(text);
                connection.reset();
                return false;
            },
            [&](const TestMessage &response, const std::string &upload) {
                const auto name = framing + upload;
                CHECK_EQUAL_TEXT(502, response.status(), name.c_str());
                STRCMP_EQUAL_TEXT("unknown", response.header("x-hornbeam-outcome").c_str(), name.c_str());
            });
    }
}

// Guards against a whole response that is taken for a part because the target ends the connection before it has read
// the body.
TEST(BrokenResponse, anEarlyResponseThatEndsInOrderIsComplete)
{
    forEachUpload(
        [](const TestMessage & /*request*/, TestSocket &connection) {
            connection.send(responseHead() + "whole");
            connection.shutdownSend();
            connection.waitClosed();
            return false;
        },
        [](const TestMessage &response, const std::string &name) {
            CHECK_EQUAL_TEXT(200, response.status(), name.c_str());
            CHECK_TEXT(response.complete, name.c_str());
            STRCMP_EQUAL_TEXT("whole", response.body.c_str(), name.c_str());
        });
}

// Guards against a status that is none, on each hop; see the group OddStatus for other such statuses.
TEST(BrokenResponse, aStatusOfThreeZeros)
{
    const std::string fields = " Odd\r\nSigned-By: t\r\nCall-Id: c1\r\n";
    checkRefused("HTTP/1.1 000" + fields + "Content-Length: 2\r\n\r\nok", "with a length");
    checkRefused("HTTP/1.1 000" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "in chunks");
    checkRefused("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000" + fields + "Content-Length: 0\r\n\r\n",
                 "after another");
    checkRefused("HTTP/1.1 000\r\nContent-Length: 0\r\n\r\n", "without a reason");
    checkRefusedDuringUpload("HTTP/1.1 000" + fields + "Content-Length: 2\r\n\r\nok");
}

// Guards against field names that other parsers read in another way, so that the line is passed on, or that hide how
// the body ends, so that another body is passed on.
TEST(BrokenResponse, aFieldNameThatIsNoToken)
{
    const std::string length = "Content-Length: 2\r\n";
    for (const char *line : {"Rota Day: monday",
                             "Rota\tDay: monday",
                             "Rota\x01"
                             "Day: monday",
                             "Rota\x7f"
                             "Day: monday",
                             "Rota\x80"
                             "Day: monday",
                             "Rota-Day : monday",
                             "Rota-Day\t: monday",
                             " Rota-Day: monday",
                             ": monday",
                             "Rota-Day"}) {
        const std::string field = std::string(line) + "\r\n";
        checkRefused(responseHead(length + field) + "ok", field + "last");
        checkRefused(responseHead(field + length) + "ok", field + "before others");
        checkRefused("HTTP/1.1 200 OK\r\n" + field + "Signed-By: t\r\nCall-Id: c1\r\n" + length + "\r\nok",
                     field + "first");
        checkRefused("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + responseHead(length) + "ok",
                     field + "in an interim response");
        checkRefused(responseHead("Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n" + field + "\r\n",
                     field + "in the trailers");
    }
    checkRefused(responseHead("Transfer-Encoding : chunked\r\n") + "2\r\nok\r\n0\r\n\r\n", "hidden chunks");
    checkRefused(responseHead("Content-Length : 2\r\n") + "ok", "hidden length");
}

// Guards against a refusal with such a name that is believed, and against one that comes during an upload.
TEST(BrokenResponse, aFieldNameThatIsNoTokenInOtherResponses)
{
    checkRefused("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nX-Hornbeam-Outcome: not-run\r\nCall-Id: c1\r\nRota Day: a\r\n"
                 "Content-Length: 0\r\n\r\n",
                 "refusal");
    checkRefusedDuringUpload(responseHead("Content-Length: 2\r\nRota Day: monday\r\n") + "ok");
}

// Guards against control bytes that are passed on, or that end a line for one parser and not for another.
TEST(BrokenResponse, controlBytesInAHead)
{
    const std::string length = "Content-Length: 2\r\n";
    for (const char control : {'\0', '\x01', '\x1b', '\x7f', '\r'}) {
        const auto name = "byte " + std::to_string(control) + " in the ";
        checkRefused(responseHead(length, std::string("O") + control + "K") + "ok", name + "reason");
        checkRefused(responseHead(length + "Rota-Day: mon" + control + "day\r\n") + "ok", name + "value");
        checkRefused(responseHead("Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\nRota-Day: mon" + control
                         + "day\r\n\r\n",
                     name + "trailers");
        checkRefused(responseHead("Transfer-Encoding: chunked\r\n") + "2;day=mon" + control + "day\r\nok\r\n0\r\n\r\n",
                     name + "chunk extension");
    }
}

// Guards against a value that is joined from two lines, RFC 9112, section 5.2.
TEST(BrokenResponse, aFieldOfTwoLines)
{
    checkRefused(responseHead("Content-Length: 2\r\nRota-Day: mon\r\n day\r\n") + "ok", "value");
    checkRefused(responseHead("Content-Length: 2\r\nRota-Day:\r\n\tmonday\r\n") + "ok", "empty first line");
}

// Guards against bytes in the place of a line end that are skipped, so that a body can pass for another one.
TEST(BrokenResponse, bytesInPlaceOfALineEnd)
{
    const auto chunked = responseHead("Transfer-Encoding: chunked\r\n");
    checkRefused(chunked + "2\r\nokXX0\r\n\r\n", "after a chunk");
    checkRefused(chunked + "2\r\nok\rX0\r\n\r\n", "second byte after a chunk");
    checkRefused(chunked + "2\rXok\r\n0\r\n\r\n", "after the size of a chunk");
    checkRefused(chunked + "2\r\nok\r\n0\rX\r\n", "after the last size");
    checkRefused(chunked + "2\r\nok\r\n0\r\n\rX", "after the trailers");
    checkRefused(chunked + "2;a\nb\r\nok\r\n0\r\n\r\n", "in a chunk extension");
    checkRefused("HTTP/1.1 200 OK\rXSigned-By: t\r\nCall-Id: c1\r\nContent-Length: 2\r\n\r\nok",
                 "after the status line");
    checkRefused("HTTP/1.1 200 OK\r\nSigned-By: t\r\nCall-Id: c1\r\nContent-Length: 2\r\n\rXok", "after the head");
}

// Guards against a body in a transfer coding that is passed on as the body itself.
TEST(BrokenResponse, aTransferCodingOtherThanChunked)
{
    for (const char *coding : {"gzip, chunked", "chunked, gzip", "gzip", "identity", "chunked, chunked"}) {
        checkRefused(responseHead("Transfer-Encoding: " + std::string(coding) + "\r\n") + "2\r\nok\r\n0\r\n\r\n",
                     coding);
    }
    checkRefused(responseHead("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n",
                 "two fields");
    checkRefused(responseHead("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n") + "2\r\nok\r\n0\r\n\r\n",
                 "with a length");
    checkRefused("HTTP/1.0 200 OK\r\nSigned-By: t\r\nCall-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nok\r\n0\r\n\r\n",
                 "in HTTP/1.0, which has none");
    // White space around the value is not a part of it.
    const TestTarget sound([](const TestMessage & /*request*/, TestSocket &connection) {
        return connection.send(responseHead("Transfer-Encoding: \tChunked \r\n") + "2\r\nok\r\n0\r\n\r\n");
    });
    for (const auto hop : allHops) {
        startReading(hop, sound);
        STRCMP_EQUAL("ok", exchange(get()).body.c_str());
    }
}
