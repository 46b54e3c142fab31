#include <hornbeam/config/delta.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Hornbeam;

namespace {

SnapshotPtr makeSnapshot(ConfigVersion version, int routes)
{
    SnapshotContent content;
    content.services = {{.name = "rota"}, {.name = "watch"}};
    for (int i = 0; i < routes; ++i) {
        const auto text = std::to_string(i);
        content.routes.push_back({.name = "route-" + text, .pathPrefix = "/path/" + text, .service = "rota"});
    }
    return *Snapshot::make(version, std::move(content));
}

SnapshotPtr changed(const Snapshot &base)
{
    auto content = base.content();
    content.services.erase(content.services.begin() + 1);
    content.services.push_back({.name = "badges"});
    content.routes.erase(content.routes.begin());
    content.routes[0].service = "badges";
    content.leavingTargets.push_back({.address = Endpoint("127.0.0.1", 8080)});
    return *Snapshot::make(base.version() + 1, std::move(content));
}

} // namespace

TEST_GROUP(Delta){};

TEST(Delta, turnsBaseIntoTarget)
{
    const auto base = makeSnapshot(7, 20);
    const auto target = changed(*base);
    const auto forward = Delta::decode(Delta::between(*base, *target).encode());
    CHECK(forward.has_value());
    CHECK_EQUAL(5, forward->changeCount());
    const auto result = forward->applyTo(*base);
    CHECK(result.has_value());
    CHECK((*result)->content() == target->content());
    CHECK_EQUAL(8, (*result)->version());

    const auto restored = *Snapshot::make(9, base->content());
    const auto backward = Delta::decode(Delta::between(*target, *restored).encode());
    CHECK((*backward->applyTo(*target))->contentDigest() == base->contentDigest());
}

// Guards against applying a delta to content that it was not computed from, which would mix two versions.
TEST(Delta, refusesOtherBase)
{
    const auto base = makeSnapshot(7, 20);
    const auto delta = Delta::between(*base, *changed(*base));
    for (const auto &other : {makeSnapshot(7, 19), makeSnapshot(6, 20)}) {
        const auto result = delta.applyTo(*other);
        CHECK_FALSE(result.has_value());
        CHECK(result.error().code() == ErrorCode::Conflict);
    }
}

// Guards against damaged deltas: with any one byte changed, a delta must be refused or have the same result.
TEST(Delta, damagedBytesNeverChangeTheResult)
{
    const auto base = makeSnapshot(7, 20);
    const auto target = changed(*base);
    const auto encoded = Delta::between(*base, *target).encode();
    for (std::size_t i = 0; i < encoded.size(); ++i) {
        auto damaged = encoded;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x11);
        const auto delta = Delta::decode(damaged);
        if (!delta) {
            continue;
        }
        const auto result = delta->applyTo(*base);
        CHECK(!result.has_value() || (*result)->contentDigest() == target->contentDigest());
    }
}

// Distributing one changed route of a 1 MB configuration may cost at most 4 KB per node; guards against deltas that
// contain more than the change.
TEST(Delta, isSmallForOneChangedRoute)
{
    const auto base = makeSnapshot(1, 20000);
    auto content = base->content();
    content.routes[500].service = "watch";
    const auto target = *Snapshot::make(2, std::move(content));
    CHECK(Delta::between(*base, *target).encode().size() < 300);
}
