#include <hornbeam/accounts/accountresolver.h>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

SnapshotPtr makeSnapshot(std::vector<ClientAccount> accounts)
{
    SnapshotContent content;
    content.services = {{.name = "rota"}};
    content.routes = {{.name = "open", .pathPrefix = "/open", .service = "rota", .anonymous = true},
                      {.name = "swap", .pathPrefix = "/swap", .service = "rota"}};
    content.accounts = std::move(accounts);
    return Snapshot::make(1, std::move(content)).value();
}

const CallAccount northAccount{.name = "north", .priority = Priority::High};

} // namespace

TEST_GROUP(AccountResolver)
{
    const TimePoint started = TimePoint() + 1h;
    const TimePoint later = started + 1min;
    const AccountResolver resolver = AccountResolver(started);
    SnapshotPtr snapshot = makeSnapshot(
        {{.name = "north", .keyDigests = {Digest::of("key-n1"), Digest::of("key-n2")}, .priority = Priority::High},
         {.name = "south", .keyDigests = {Digest::of("key-s")}},
         {.name = "unused"}});

    AccountDecision resolve(std::vector<std::string_view> keys,
                            const char *path = "/swap",
                            CallParent parent = CallParent::None,
                            std::optional<CallAccount> parentAccount = std::nullopt) const
    {
        return resolver.resolve({.snapshot = *snapshot,
                                 .route = *snapshot->matchRoute("", "GET", path),
                                 .keys = std::move(keys),
                                 .parent = parent,
                                 .parentAccount = std::move(parentAccount)},
                                later);
    }

    void checkVerdict(AccountVerdict expected, std::vector<std::string_view> keys) const
    {
        const auto decision = resolve(std::move(keys));
        CHECK(decision.verdict == expected);
        CHECK_FALSE(decision.account.has_value());
    }
};

TEST(AccountResolver, findsTheAccountThatHoldsTheKey)
{
    CHECK(resolve({"key-n1"}) == AccountDecision{.account = northAccount});
    CHECK(resolve({"key-n2"}) == AccountDecision{.account = northAccount});
    CHECK(resolve({"key-s"}) == AccountDecision{.account = CallAccount{.name = "south"}});
    // Whitespace around a header's value is not part of it.
    CHECK(resolve({" \tkey-s  "}) == AccountDecision{.account = CallAccount{.name = "south"}});
}

// Guards against running a request whose key no configuration holds.
TEST(AccountResolver, refusesWhatIsNotExactlyOneKnownKey)
{
    const std::string longKey(10240, 'k');
    checkVerdict(AccountVerdict::NoKey, {});
    checkVerdict(AccountVerdict::EmptyKey, {""});
    checkVerdict(AccountVerdict::EmptyKey, {" \t "});
    checkVerdict(AccountVerdict::UnknownKey, {"key-x"});
    checkVerdict(AccountVerdict::UnknownKey, {"KEY-N1"});
    checkVerdict(AccountVerdict::UnknownKey, {"key n1"});
    checkVerdict(AccountVerdict::UnknownKey, {"key-n1,key-n1"});
    checkVerdict(AccountVerdict::UnknownKey, {longKey});
    // Two parsers could choose different ones.
    checkVerdict(AccountVerdict::RepeatedKey, {"key-n1", "key-n1"});
    checkVerdict(AccountVerdict::RepeatedKey, {"key-n1", ""});
}

// Guards against a deployment without accounts being refused, and against an account on a route that needs none.
TEST(AccountResolver, requiresNoKeyWhereTheConfigurationDoesNot)
{
    for (const auto &keys : std::vector<std::vector<std::string_view>>{{}, {"key-n1"}, {"key-x"}, {"a", "b"}}) {
        CHECK(resolve(keys, "/open") == AccountDecision{});
    }
    snapshot = makeSnapshot({});
    CHECK(resolve({}) == AccountDecision{});
    CHECK(resolve({"key-n1"}) == AccountDecision{});
}

TEST(AccountResolver, givesANestedCallTheAccountOfItsParent)
{
    const auto decision = resolve({}, "/swap", CallParent::Running, northAccount);
    CHECK(decision.verdict == AccountVerdict::Accepted);
    CHECK(decision.account.has_value());
    STRCMP_EQUAL("north", decision.account->name.c_str());
    CHECK(decision.account->priority == Priority::High);
    CHECK(decision.account->inherited);
    // The parent runs on an anonymous route, or since before the configuration had accounts.
    CHECK(resolve({}, "/swap", CallParent::Running) == AccountDecision{});
}

// Guards against an account that is chosen by the form of a request id.
TEST(AccountResolver, decidesByTheKeyOfANestedCallThatCarriesOne)
{
    CHECK(resolve({"key-x"}, "/swap", CallParent::Running, northAccount).verdict == AccountVerdict::UnknownKey);
    CHECK(resolve({"key-s"}, "/swap", CallParent::Running, northAccount).account == CallAccount{.name = "south"});
}

// Guards against the final answer 401 to the calls of a request that still runs at the target, but whose attempt has
// ended on this node or was sent by an earlier process.
TEST(AccountResolver, refusesTheCallOfAnUnknownParentOnlyForNow)
{
    CHECK(resolve({}, "/swap", CallParent::Ended).verdict == AccountVerdict::UnknownParent);
    const AccountRequest request{
        .snapshot = *snapshot, .route = *snapshot->matchRoute("", "GET", "/swap"), .parent = CallParent::Unknown};
    CHECK(resolver.resolve(request, started + 9s).verdict == AccountVerdict::UnknownParent);
    CHECK(resolver.resolve(request, started + 10s).verdict == AccountVerdict::NoKey);
}
