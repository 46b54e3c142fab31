#include <hornbeam/admin/announcement.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;

namespace {

const Endpoint address("192.0.2.1", 80);

std::string firstProblem(const std::string &json)
{
    const auto announcement = Announcement::parse(address, json);
    return announcement ? "" : announcement.error().front().path + " " + announcement.error().front().text;
}

} // namespace

TEST_GROUP(Announcement){};

TEST(Announcement, parsesAllFields)
{
    const auto announcement = Announcement::parse(
        address,
        R"({"service":"rota","slots":10,"labels":{"b":"2","a":"1"},"state":"leaving","ttlMs":3000,"load":0.5,"instance":7})");
    CHECK(announcement.has_value());
    const auto &target = announcement->target;
    CHECK(target.address == address);
    STRCMP_EQUAL("rota", target.service.c_str());
    CHECK_EQUAL(10, target.slots);
    CHECK(target.labels == (std::vector<Label>{{"a", "1"}, {"b", "2"}}));
    CHECK(target.state == TargetState::Leaving);
    CHECK_EQUAL(7, target.instance);
    CHECK_EQUAL(3000, announcement->timeToLive.count());
    DOUBLES_EQUAL(0.5, announcement->load, 1e-9);
}

// Guards against a malformed announcement that registers a serving target, as when a misspelt limit is ignored.
TEST(Announcement, reportsProblemsWithTheirPath)
{
    const auto check = [](const char *expected, const std::string &json) {
        STRCMP_EQUAL(expected, firstProblem(json).c_str());
    };
    check("$ is not valid JSON", "");
    check("$ must be an object", "1");
    check("$.service is missing", R"({"slots":1,"state":"serving","ttlMs":1})");
    check("$.service must be 1..128 characters of [a-z0-9-]",
          R"({"service":"A","slots":1,"state":"serving","ttlMs":1})");
    check("$.slots must be 1..10000", R"({"service":"a","slots":0,"state":"serving","ttlMs":1})");
    check("$.slots must be an integer", R"({"service":"a","slots":"1","state":"serving","ttlMs":1})");
    check("$.state must be one of \"serving\", \"leaving\"", R"({"service":"a","slots":1,"state":"up","ttlMs":1})");
    check("$.ttlMs must be 1..3600000", R"({"service":"a","slots":1,"state":"serving","ttlMs":3600001})");
    check("$.ttlMs is missing", R"({"service":"a","slots":1,"state":"serving"})");
    check("$.load must be a number", R"({"service":"a","slots":1,"state":"serving","ttlMs":1,"load":"x"})");
    check("$.load is out of range", R"({"service":"a","slots":1,"state":"serving","ttlMs":1,"load":-1})");
    check("$.labels.x must be a string", R"({"service":"a","slots":1,"state":"serving","ttlMs":1,"labels":{"x":1}})");
    check("$.labels.x must be 0..128 printable characters",
          R"({"service":"a","slots":1,"state":"serving","ttlMs":1,"labels":{"x":"\n"}})");
    check("$.slot is not a known key", R"({"service":"a","slots":1,"slot":1,"state":"serving","ttlMs":1})");
}
