#include <hornbeam/config/configjson.h>

#include <nlohmann/json.hpp>

// CppUTest redefines "new", so it comes after the standard library and nlohmann-json.
#include "planfixture.h"

#include <algorithm>

using namespace Hornbeam;

namespace {

std::string routeName(int i)
{
    return "route-" + std::to_string(i);
}

/** The path contains a digest, so that the encoded routes hardly compress. */
Route makeRoute(int i, std::chrono::milliseconds timeout = std::chrono::milliseconds(1000))
{
    return {.name = routeName(i),
            .pathPrefix = "/" + std::to_string(i) + Digest::of(std::to_string(i)).hex(),
            .service = "rota",
            .timeout = timeout};
}

std::string intentOf(nlohmann::json operations)
{
    return nlohmann::json{{"operations", std::move(operations)}}.dump();
}

std::string setRoute(const Route &route)
{
    return intentOf({{{"op", "setRoute"}, {"route", toJson(route)}}});
}

} // namespace

TEST_GROUP(ConfigRepository)
{
    ManualExecutor executor;
    FakeTimerService timers;
    InMemoryStore shared{executor, timers};
    TestNode node{executor, shared};

    /** Adds routes with intents of at most 9,000 routes each, so that each plan fits into one value of the store. */
    void addRoutes(int n)
    {
        constexpr int routesPerIntent = 9000;
        for (int first = 0; first < n; first += routesPerIntent) {
            nlohmann::json operations = {{{"op", "setService"}, {"service", {{"name", "rota"}}}}};
            operations[0]["service"]["attemptTimeoutMs"] = 1000 + first;
            for (int i = first; i < std::min(n, first + routesPerIntent); ++i) {
                operations.push_back({{"op", "setRoute"}, {"route", toJson(makeRoute(i))}});
            }
            node.applyIntent(intentOf(std::move(operations)));
        }
    }

    std::vector<KeyValue> entries(const std::string &prefix)
    {
        std::vector<KeyValue> found;
        shared.range({.key = prefix, .prefix = true},
                     [&](const Result<RangeResult> &result) { found = result->entries; });
        executor.run();
        return found;
    }

    ConfigHead head()
    {
        const auto found = entries(ConfigRepository::headKey());
        return *ConfigHead::decode(found.front().value, found.front().modRevision);
    }
};

// Guards against values above the store's limit of 1 MB, and against a small change of a large configuration that
// rewrites more than a few pieces.
TEST(ConfigRepository, rewritesOneSmallPieceForOneChangedRoute)
{
    addRoutes(36000);
    CHECK(node.configuration.snapshot->encode().size() > 300000);
    const auto version = node.configuration.snapshot->version();
    const auto before = entries("/hornbeamring/config/");
    const auto revision = shared.revision();
    CHECK(before.size() > 40);
    CHECK_EQUAL(version + 1, node.applyIntent(setRoute(makeRoute(4711, std::chrono::milliseconds(1234)))));
    std::size_t written = 0;
    for (const auto &entry : entries("/hornbeamring/config/")) {
        CHECK(entry.value.size() < (1U << 20));
        written += entry.modRevision > revision ? entry.value.size() : 0;
    }
    CHECK_TEXT(written < 64U << 10, std::to_string(written).c_str());
    TestNode other{executor, shared};
    const auto loaded = other.load();
    CHECK(loaded->content() == node.configuration.snapshot->content());
}

// Guards against loading the whole configuration again when only one piece differs.
TEST(ConfigRepository, loadsOnlyMissingPieces)
{
    addRoutes(36000);
    const auto known = node.configuration.snapshot;
    const auto version = known->version() + 1;
    node.applyIntent(setRoute(makeRoute(1, std::chrono::milliseconds(1234))));
    TestNode other{executor, shared};
    CHECK_EQUAL(version, other.load(known)->version());
    CHECK_EQUAL(1, other.store.calls().writes);
    TestNode fresh{executor, shared};
    CHECK_EQUAL(version, fresh.load()->version());
    CHECK(fresh.store.calls().writes > 3);
}

// Guards against applying a configuration with damaged or swapped values in the store.
TEST(ConfigRepository, refusesPieceWhoseContentDoesNotMatchItsKey)
{
    addRoutes(1000);
    const auto pieces = entries("/hornbeamring/config/piece/");
    Transaction swap;
    swap.success = {Operation::put(pieces[0].key, pieces[1].value)};
    shared.commit(swap, [](const Result<TransactionResult> &) {});
    CHECK(node.tryLoad().error().code() == ErrorCode::InvalidArgument);
}

TEST(ConfigRepository, reportsHeadAndDeltasToWatchers)
{
    class Listener : public WatchListener
    {
    public:
        void changed(const std::vector<KeyValue> &changes) override
        {
            all.insert(all.end(), changes.begin(), changes.end());
        }

        void ended(const Error &) override {}

        std::vector<KeyValue> all;
    } listener;

    addRoutes(100);
    const auto base = node.configuration.snapshot;
    const auto watch = shared.watch({.prefix = ConfigRepository::watchPrefix()}, listener);
    node.applyIntent(setRoute(makeRoute(1, std::chrono::milliseconds(1234))));
    node.applyIntent(setRoute(makeRoute(2, std::chrono::milliseconds(1234))));
    executor.run();
    CHECK_EQUAL(4, listener.all.size());
    const auto update = ConfigRepository::parseChanges(listener.all);
    CHECK_EQUAL(3, update->head->version);
    CHECK_EQUAL(2, update->deltas.size());
    const auto middle = update->deltas[0].applyTo(*base);
    CHECK((*update->deltas[1].applyTo(**middle))->contentDigest() == update->head->contentDigest);
    Result<Delta> read = makeError(ErrorCode::Internal, "no answer");
    node.repository.readDelta(3, [&](Result<Delta> delta) { read = std::move(delta); });
    executor.run();
    CHECK_EQUAL(2, read->baseVersion());
}

// Guards against a store that grows with every change, and against garbage collection that deletes a piece of the
// accepted version.
TEST(ConfigRepository, confirmsDeletePiecesAndDeltasThatAreNoLongerNeeded)
{
    addRoutes(1000);
    for (int i = 0; i < 87; ++i) {
        node.applyIntent(setRoute(makeRoute(i, std::chrono::milliseconds(1234))));
    }
    CHECK_EQUAL(88, head().version);
    CHECK_EQUAL(head().pieceDigests.size(), entries("/hornbeamring/config/piece/").size());
    CHECK_EQUAL(ConfigRepository::deltaHistory, entries("/hornbeamring/config/version/delta/").size());
    TestNode other{executor, shared};
    CHECK(other.load()->contentDigest() == node.configuration.snapshot->contentDigest());
}

// Guards against garbage collection that deletes the pieces of a confirm in progress on another node, which no head
// refers to yet.
TEST(ConfigRepository, garbageCollectionKeepsPiecesOfAConfirmInProgress)
{
    addRoutes(10);
    auto content = node.configuration.snapshot->content();
    content.services.push_back({.name = "new"});
    const auto base = node.configuration.snapshot;
    const ConfigProposal proposal{
        .previous = head(), .base = base, .target = *Snapshot::make(2, content), .planId = "id"};
    bool written = false;
    node.repository.writePieces(proposal, [&](const Result<bool> &result) { written = result.has_value(); });
    executor.run();
    CHECK(written);
    node.repository.collectGarbage(head());
    executor.run();
    std::optional<bool> accepted;
    node.store.commit(ConfigRepository::acceptTransaction(proposal),
                      [&](const Result<TransactionResult> &result) { accepted = result->succeeded; });
    executor.run();
    CHECK(*accepted);
    CHECK_EQUAL(2, node.load()->version());
}
