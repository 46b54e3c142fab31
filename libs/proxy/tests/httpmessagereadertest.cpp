#include "httpmessagereader.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(HttpMessageReader)
{
    using State = HttpMessageReader::State;

    /** Feeds the bytes in steps of @p step until the message ends; returns the number of bytes consumed. */
    static std::size_t feedAll(HttpMessageReader & reader, std::string_view bytes, std::size_t step)
    {
        std::size_t used = 0;
        while (used < bytes.size() && reader.state() != State::Complete && reader.state() != State::Malformed) {
            const auto before = reader.state();
            const auto n = reader.feed(bytes.substr(used, step));
            used += n;
            if (n == 0 && reader.state() == before) {
                break;
            }
        }
        return used;
    }
};

// Guards against results that depend on how the network splits the bytes.
TEST(HttpMessageReader, readsMessagesInAnySplit)
{
    const std::string_view text =
        "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        HttpMessageReader reader(HttpMessageReader::Kind::Request, 1024);
        CHECK_EQUAL(text.size(), feedAll(reader, text, step));
        CHECK(reader.state() == State::Complete);
        STRCMP_EQUAL("abcde", reader.body().c_str());
        STRCMP_EQUAL("/a?b", reader.head().requestTarget.c_str());
        STRCMP_EQUAL("h", reader.head().find("HOST")->c_str());
        CHECK(reader.head().chunked);
    }
}

// Guards against a check of the bytes outside the content that depends on how the network splits them: a sound response
// that is refused, or a broken one that is read as complete.
TEST(HttpMessageReader, checksResponsesInAnySplit)
{
    const std::string head = "HTTP/1.1 200 Tr\xe8s bien\r\nA:\tb\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, State>> cases = {
        {"3;a=\"b\tc\"\r\nabc\r\n2\r\n\r\n\r\n0\r\nTrailer: x\r\n\r\n", State::Complete},
        {"3\r\nabcXX2\r\n\r\n\r\n0\r\n\r\n", State::Malformed},
        {"3\r\nabc\rX2\r\n\r\n\r\n0\r\n\r\n", State::Malformed},
        {"3\rXabc\r\n2\r\n\r\n\r\n0\r\n\r\n", State::Malformed},
        {"3;a\nb\r\nabc\r\n2\r\n\r\n\r\n0\r\n\r\n", State::Malformed},
        {"3\r\nabc\r\n2\r\n\r\n\r\n0\r\nTrai ler: x\r\n\r\n", State::Malformed},
        {"3\r\nabc\r\n2\r\n\r\n\r\n0\r\nTrailer: x\r\n y\r\n\r\n", State::Malformed},
        {"3\r\nabc\r\n2\r\n\r\n\r\n0\r\n\rX", State::Malformed},
    };
    for (const auto &[rest, state] : cases) {
        const auto text = head + rest;
        for (std::size_t step = 1; step <= text.size(); ++step) {
            HttpMessageReader reader(HttpMessageReader::Kind::Response, 1024);
            feedAll(reader, text, step);
            CHECK_TEXT(reader.state() == state, (rest + " in steps of " + std::to_string(step)).c_str());
            CHECK(state != State::Complete || reader.body() == "abc\r\n");
        }
    }
}

// Guards against a target that is refused because it ends its lines with a line feed alone, RFC 9112, section 2.2.
TEST(HttpMessageReader, acceptsLineFeedsInTheHeadOfAResponse)
{
    const std::string text = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        HttpMessageReader reader(HttpMessageReader::Kind::Response, 1024);
        feedAll(reader, text, step);
        CHECK(reader.state() == State::Complete);
        STRCMP_EQUAL("ok", reader.body().c_str());
    }
}

TEST(HttpMessageReader, stopsAtTheEndOfAMessage)
{
    HttpMessageReader reader(HttpMessageReader::Kind::Request, 1024);
    const std::string_view first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto both = std::string(first) + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK_EQUAL(first.size(), feedAll(reader, both, both.size()));
    reader.reset();
    feedAll(reader, std::string_view(both).substr(first.size()), both.size());
    STRCMP_EQUAL("/2", reader.head().requestTarget.c_str());
}

// Guards against serving a request of another major version as HTTP/1.1 although its framing may differ.
TEST(HttpMessageReader, refusesOtherMajorVersions)
{
    for (const char *version : {"0.9", "2.0", "9.9"}) {
        HttpMessageReader reader(HttpMessageReader::Kind::Request, 1024);
        feedAll(reader, std::string("GET / HTTP/") + version + "\r\nHost: a\r\n\r\n", 100);
        CHECK(reader.state() == State::Malformed);
    }
}

TEST(HttpMessageReader, limitsTheSizeOfTheHead)
{
    HttpMessageReader reader(HttpMessageReader::Kind::Request, 100);
    feedAll(reader, "GET / HTTP/1.1\r\nHost: " + std::string(200, 'h'), 10);
    CHECK(reader.state() == State::HeadTooLarge);
}

TEST(HttpMessageReader, recognisesCloseDelimitedResponses)
{
    HttpMessageReader reader(HttpMessageReader::Kind::Response, 1024);
    feedAll(reader, "HTTP/1.1 200 OK\r\n\r\n", 100);
    CHECK(reader.isCloseDelimited());
    reader.reset(true);
    feedAll(reader, "HTTP/1.1 200 OK\r\n\r\n", 100);
    CHECK(!reader.isCloseDelimited());
    CHECK(reader.state() == State::Complete);
}
