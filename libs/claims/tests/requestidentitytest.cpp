#include <hornbeam/claims/requestidentity.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(RequestIdentity){};

// Guards against a key of one caller that blocks a request of another caller or for another route.
TEST(RequestIdentity, scopesAKeyByCallerAndRoute)
{
    const auto identity = RequestIdentity::ofKey("a", "book", "1");
    CHECK(identity == RequestIdentity::ofKey("a", "book", "1"));
    CHECK(identity != RequestIdentity::ofKey("b", "book", "1"));
    CHECK(identity != RequestIdentity::ofKey("a", "swap", "1"));
}

// Guards against equal identities of different requests whose concatenated parts are the same bytes.
TEST(RequestIdentity, dependsOnTheBoundariesOfItsParts)
{
    CHECK(RequestIdentity::ofKey("ab", "c", "d") != RequestIdentity::ofKey("a", "bc", "d"));
    CHECK(RequestIdentity::ofContent("a", "POST", "/x", "y") != RequestIdentity::ofContent("a", "POST", "/xy", ""));
    CHECK(RequestIdentity::ofContent("a", "1:b", "", "") != RequestIdentity::ofContent("a1", "b", "", ""));
}

TEST(RequestIdentity, distinguishesBodies)
{
    CHECK(RequestIdentity::ofContent("a", "POST", "/x", "1") != RequestIdentity::ofContent("a", "POST", "/x", "2"));
}
