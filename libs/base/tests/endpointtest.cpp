#include <hornbeam/base/endpoint.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(Endpoint){};

TEST(Endpoint, parsesWhatItFormats)
{
    for (const char *text : {"127.0.0.1:80", "[::1]:65535"}) {
        const auto endpoint = Endpoint::parse(text);
        CHECK(endpoint.has_value());
        STRCMP_EQUAL(text, endpoint->toString().c_str());
    }
}

// Guards against host names and invalid ports that settings accept and that fail only at the first connection.
TEST(Endpoint, refusesNamesAndInvalidPorts)
{
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", ""}) {
        CHECK_FALSE(Endpoint::parse(text).has_value());
    }
}
