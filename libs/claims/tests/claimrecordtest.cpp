#include "claimrecord.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(ClaimRecord){};

TEST(ClaimRecord, keepsACompletedResponse)
{
    ClaimRecord record{.state = ClaimState::Completed, .attempt = "a", .deadlineMs = 7};
    record.response = {.status = 200, .headers = {{"Content-Type", "text/plain"}}, .body = std::string("\0\xff", 2)};
    const auto decoded = ClaimRecord::decode(record.encode());
    CHECK(decoded.has_value());
    CHECK_EQUAL(7, decoded->deadlineMs);
    CHECK(record.response.body == decoded->response.body);
}

// Guards against a node that ends because another writer has left a deeply nested value under the key of a claim.
TEST(ClaimRecord, refusesDeeplyNestedValues)
{
    const std::string array(1, '\x81');
    const std::string object("\xa1\x61\x61", 3);
    const std::string tag("\xc1", 1);
    for (const auto &level : {array, object, tag}) {
        std::string bytes;
        for (int n = 0; n < 300000; ++n) {
            bytes += level;
        }
        CHECK_FALSE(ClaimRecord::decode(bytes).has_value());
        CHECK_FALSE(ClaimRecord::decode(bytes + '\0').has_value());
    }
}

// Guards against a state, a deadline or a status that is taken from a number of another type or out of range.
TEST(ClaimRecord, refusesNumbersOutOfRange)
{
    const auto valid = ClaimRecord{.state = ClaimState::Released, .attempt = "a", .deadlineMs = 7}.encode();
    CHECK(ClaimRecord::decode(valid).has_value());
    const auto at = valid.find("deadline") + 8;
    const std::string large = valid.substr(0, at) + "\x1b\xff\xff\xff\xff\xff\xff\xff\xff" + valid.substr(at + 1);
    CHECK_FALSE(ClaimRecord::decode(large).has_value());
    const std::string number("\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", 9); // 1e300
    const std::string fraction = valid.substr(0, at) + number + valid.substr(at + 1);
    CHECK_FALSE(ClaimRecord::decode(fraction).has_value());
}
