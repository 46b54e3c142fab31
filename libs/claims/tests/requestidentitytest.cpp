#include <hornbeam/claims/requestidentity.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

TEST_GROUP(RequestIdentity){};

// Guards against one caller's key blocking the request of another caller or route.
TEST(RequestIdentity, scopesAKeyByCallerAndRoute)
{
    const auto identity = RequestIdentity::ofKey("a", "book", "1");
    CHECK(identity == RequestIdentity::ofKey("a", "book", "1"));
    CHECK(identity != RequestIdentity::ofKey("b", "book", "1"));
    CHECK(identity != RequestIdentity::ofKey("a", "swap", "1"));
}

// Guards against different requests whose parts run together into the same bytes.
TEST(RequestIdentity, separatesItsParts)
{
    CHECK(RequestIdentity::ofKey("ab", "c", "d") != RequestIdentity::ofKey("a", "bc", "d"));
    CHECK(RequestIdentity::ofContent("a", "POST", "/x", "y") != RequestIdentity::ofContent("a", "POST", "/xy", ""));
    CHECK(RequestIdentity::ofContent("a", "1:b", "", "") != RequestIdentity::ofContent("a1", "b", "", ""));
}

TEST(RequestIdentity, distinguishesBodies)
{
    CHECK(RequestIdentity::ofContent("a", "POST", "/x", "1") != RequestIdentity::ofContent("a", "POST", "/x", "2"));
}
