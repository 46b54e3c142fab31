#include <hornbeam/config/snapshot.h>
#include <hornbeam/config/snapshotvalidator.h>

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace Hornbeam;

namespace {

Route makeRoute(std::string name, std::string pathPrefix)
{
    return Route{.name = std::move(name), .pathPrefix = std::move(pathPrefix), .service = "rota"};
}

SnapshotContent makeContent(std::vector<Route> routes)
{
    return SnapshotContent{.services = {Service{.name = "rota"}}, .routes = std::move(routes), .leavingTargets = {}};
}

std::string matchedRoute(const Snapshot &snapshot, const char *host, const char *method, const char *path)
{
    const auto *route = snapshot.matchRoute(host, method, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

TEST_GROUP(Snapshot){};

// Guards against digests that depend on the order of the resources in the input.
TEST(Snapshot, equalContentHasEqualDigest)
{
    const auto first = Snapshot::make(1, makeContent({makeRoute("a", "/a"), makeRoute("b", "/b")}));
    const auto second = Snapshot::make(2, makeContent({makeRoute("b", "/b"), makeRoute("a", "/a")}));
    CHECK(first.has_value() && second.has_value());
    CHECK((*first)->contentDigest() == (*second)->contentDigest());
    const auto other = Snapshot::make(1, makeContent({makeRoute("a", "/a")}));
    CHECK((*first)->contentDigest() != (*other)->contentDigest());
}

TEST(Snapshot, decodesWhatItEncodes)
{
    auto route = makeRoute("swap", "/swaps");
    route.host = "rota.example";
    route.methods = {"POST", "PATCH"};
    route.requiredLabels = {{"track", "canary"}};
    route.idempotent = false;
    route.identity = RequestIdentitySource::Content;
    route.priority = Priority::High;
    route.timeout = std::chrono::milliseconds(1234);
    auto content = makeContent({route});
    content.services[0].slotsPerTarget = 7;
    content.leavingTargets = {{.address = Endpoint("::1", 80)}, {.address = Endpoint("127.0.0.1", 80)}};
    const auto snapshot = Snapshot::make(42, content);
    CHECK(snapshot.has_value());
    const auto decoded = Snapshot::decode((*snapshot)->encode());
    CHECK(decoded.has_value());
    CHECK_EQUAL(42, (*decoded)->version());
    CHECK((*decoded)->content() == (*snapshot)->content());
    CHECK((*decoded)->contentDigest() == (*snapshot)->contentDigest());
    CHECK((*decoded)->isLeaving(Endpoint("::1", 80)));
    CHECK_FALSE((*decoded)->isLeaving(Endpoint("::1", 81)));
}

// Guards against applying a snapshot whose bytes were truncated or damaged.
TEST(Snapshot, refusesDamagedBytes)
{
    const auto encoded = (*Snapshot::make(3, makeContent({makeRoute("a", "/a")})))->encode();
    CHECK_FALSE(Snapshot::decode("").has_value());
    CHECK_FALSE(Snapshot::decode(encoded.substr(0, encoded.size() - 1)).has_value());
    // The first byte gives the format (see compression.cpp); 7 is an unknown one.
    CHECK_FALSE(Snapshot::decode("\x07" + encoded.substr(1)).has_value());
}

// Guards against prefixes that match only part of a segment, for example "/swap" for the path "/swaps".
TEST(Snapshot, matchesLongestPrefixThatEndsAtSegmentBoundary)
{
    const auto snapshot = *Snapshot::make(
        1, makeContent({makeRoute("root", "/"), makeRoute("swap", "/swap"), makeRoute("deep", "/swap/a/b")}));
    STRCMP_EQUAL("root", matchedRoute(*snapshot, "h", "GET", "/").c_str());
    STRCMP_EQUAL("root", matchedRoute(*snapshot, "h", "GET", "/swaps").c_str());
    STRCMP_EQUAL("swap", matchedRoute(*snapshot, "h", "GET", "/swap").c_str());
    STRCMP_EQUAL("swap", matchedRoute(*snapshot, "h", "GET", "/swap/").c_str());
    STRCMP_EQUAL("swap", matchedRoute(*snapshot, "h", "GET", "/swap/a/bc").c_str());
    STRCMP_EQUAL("deep", matchedRoute(*snapshot, "h", "GET", "/swap/a/b/c/d/e/f").c_str());
    STRCMP_EQUAL("", matchedRoute(*snapshot, "h", "GET", "*").c_str());
    STRCMP_EQUAL("", matchedRoute(*snapshot, "h", "GET", "").c_str());
}

TEST(Snapshot, prefersRoutesForHostAndMethod)
{
    // The more specific a route for "/a" is, the later its name sorts, so that an order by name alone fails the test.
    auto byHost = makeRoute("z-host", "/a");
    byHost.host = "rota.example";
    auto byMethod = makeRoute("y-method", "/a");
    byMethod.methods = {"POST"};
    auto deeperForPut = makeRoute("deeper", "/a/b");
    deeperForPut.methods = {"PUT"};
    const auto snapshot = *Snapshot::make(1, makeContent({makeRoute("any", "/a"), byHost, byMethod, deeperForPut}));
    STRCMP_EQUAL("z-host", matchedRoute(*snapshot, "Rota.Example", "POST", "/a").c_str());
    STRCMP_EQUAL("y-method", matchedRoute(*snapshot, "other", "POST", "/a").c_str());
    STRCMP_EQUAL("any", matchedRoute(*snapshot, "other", "GET", "/a").c_str());
    STRCMP_EQUAL("any", matchedRoute(*snapshot, "other", "GET", "/a/b").c_str());
    STRCMP_EQUAL("deeper", matchedRoute(*snapshot, "other", "PUT", "/a/b").c_str());
}

TEST_GROUP(SnapshotValidator){
    void checkRefused(const char *expectedText, const std::function<void(SnapshotContent &)> &change){
        auto content = makeContent({makeRoute("a", "/a")});
CHECK(Snapshot::make(1, content).has_value());
change(content);
const auto snapshot = Snapshot::make(1, content);
CHECK_FALSE(snapshot.has_value());
CHECK(snapshot.error().code() == ErrorCode::InvalidArgument);
STRCMP_CONTAINS(expectedText, snapshot.error().message().c_str());
}
}
;

// Guards against a version in which a route refers to a service that does not exist: its requests could not be routed.
TEST(SnapshotValidator, refusesRouteToMissingService)
{
    checkRefused("there is no service", [](SnapshotContent &content) { content.services.clear(); });
    checkRefused("there is no service", [](SnapshotContent &content) { content.routes[0].service = "rot"; });
}

TEST(SnapshotValidator, refusesDuplicatesAndAmbiguousRoutes)
{
    checkRefused("twice", [](SnapshotContent &content) { content.services.push_back({.name = "rota"}); });
    checkRefused("twice", [](SnapshotContent &content) { content.routes.push_back(makeRoute("a", "/b")); });
    checkRefused("twice", [](SnapshotContent &content) {
        content.leavingTargets = {{.address = Endpoint("127.0.0.1", 1)}, {.address = Endpoint("127.0.0.1", 1)}};
    });
    checkRefused("same requests", [](SnapshotContent &content) { content.routes.push_back(makeRoute("b", "/a")); });
}

TEST(SnapshotValidator, refusesInvalidFieldValues)
{
    using Content = SnapshotContent;
    using std::chrono::milliseconds;
    checkRefused("name", [](Content &content) { content.services.push_back({.name = "Rota"}); });
    checkRefused("name", [](Content &content) { content.routes[0].name = ""; });
    checkRefused("name", [](Content &content) { content.routes[0].name = std::string(129, 'a'); });
    checkRefused("slotsPerTarget", [](Content &content) { content.services[0].slotsPerTarget = 10001; });
    checkRefused("attemptTimeoutMs", [](Content &content) { content.services[0].attemptTimeout = milliseconds(9); });
    checkRefused("timeoutMs", [](Content &content) { content.routes[0].timeout = milliseconds(3600001); });
    checkRefused("host", [](Content &content) { content.routes[0].host = "UPPER"; });
    checkRefused("methods[0]", [](Content &content) { content.routes[0].methods = {"get"}; });
    checkRefused("methods[1]", [](Content &content) { content.routes[0].methods = {"GET", "GET"}; });
    checkRefused("requiredLabels", [](Content &content) { content.routes[0].requiredLabels = {{"a b", ""}}; });
    checkRefused("requiredLabels.x", [](Content &content) { content.routes[0].requiredLabels = {{"x", "\n"}}; });
    checkRefused("address", [](Content &content) { content.leavingTargets = {{.address = Endpoint("host", 1)}}; });
    for (const char *path : {"", "a", "/a/", "//", "/a//b", "/../a", "/a/.", "/a?b", "/a b"}) {
        checkRefused("pathPrefix", [&](Content &content) { content.routes[0].pathPrefix = path; });
    }
}

// Guards against accepting a configuration that other nodes cannot load: the limits for decoding a snapshot or a delta
// are derived from this size limit, and the layout in the store and the message sizes between peers depend on it.
TEST(SnapshotValidator, refusesMoreThanEightMegabytes)
{
    SnapshotContent content = makeContent({});
    const std::string padding(1000, 'x');
    // The encoding of a route has about 1,029 bytes. The limit is 8,388,608 bytes; 8,200 routes have 8,435,596 and
    // 7,000 routes 7,200,796.
    for (int i = 0; i < 8200; ++i) {
        content.routes.push_back(makeRoute("r" + std::to_string(i), "/" + std::to_string(i) + padding));
    }
    const auto snapshot = Snapshot::make(1, content);
    CHECK_FALSE(snapshot.has_value());
    STRCMP_CONTAINS("bytes", snapshot.error().message().c_str());
    content.routes.resize(7000);
    CHECK(Snapshot::make(1, content).has_value());
}
