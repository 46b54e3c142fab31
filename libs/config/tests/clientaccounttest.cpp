#include <hornbeam/config/configjson.h>
#include <hornbeam/config/delta.h>
#include <hornbeam/config/intent.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <limits>

using namespace Hornbeam;

namespace {

ClientAccount account(const std::string &name, const std::vector<std::string> &keys)
{
    ClientAccount result{.name = name};
    for (const auto &key : keys) {
        result.keyDigests.push_back(Digest::of(key));
    }
    return result;
}

Result<SnapshotPtr> tryMake(ConfigVersion version, std::vector<ClientAccount> accounts)
{
    SnapshotContent content;
    content.services = {{.name = "rota"}};
    content.routes = {{.name = "swap", .pathPrefix = "/swap", .service = "rota"}};
    content.accounts = std::move(accounts);
    return Snapshot::make(version, std::move(content));
}

SnapshotPtr make(ConfigVersion version, std::vector<ClientAccount> accounts)
{
    return tryMake(version, std::move(accounts)).value();
}

/** Name of the account that holds @p key; empty if none does. */
std::string holderOf(const Snapshot &snapshot, const std::string &key)
{
    const auto *holder = snapshot.findAccount(Digest::of(key));
    return holder != nullptr ? holder->name : std::string();
}

} // namespace

TEST_GROUP(ClientAccount){};

TEST(ClientAccount, isFoundByKeyAndName)
{
    const auto snapshot = make(1, {account("south", {"s"}), account("north", {"n2", "n1"}), account("empty", {})});
    STRCMP_EQUAL("north", holderOf(*snapshot, "n1").c_str());
    STRCMP_EQUAL("north", holderOf(*snapshot, "n2").c_str());
    STRCMP_EQUAL("south", holderOf(*snapshot, "s").c_str());
    STRCMP_EQUAL("", holderOf(*snapshot, "x").c_str());
    CHECK(snapshot->findAccountByName("empty") != nullptr);
    CHECK(snapshot->findAccountByName("none") == nullptr);
}

// Guards against nodes of the previous release computing another digest for the same content. The digest is that of the
// encoding before accounts existed.
TEST(ClientAccount, leavesTheEncodingOfOtherContentUnchanged)
{
    STRCMP_EQUAL("7cad4c16f68d69d14919d806a779ef3da009f93c4dd1ffa98c3e60ce237b930a",
                 make(1, {})->contentDigest().hex().c_str());
}

TEST(ClientAccount, isKeptByTheEncoding)
{
    auto full = account("north", {"n1", "n2"});
    full.priority = Priority::Normal;
    full.ratePerSecond = 0.5;
    full.burst = 12.25;
    const auto snapshot = make(3, {full, account("south", {})});
    const auto decoded = Snapshot::decode(snapshot->encode());
    CHECK(decoded.has_value());
    CHECK((*decoded)->content() == snapshot->content());
    CHECK((*decoded)->findAccountByName("north")->priority == Priority::Normal);
    CHECK_FALSE((*decoded)->findAccountByName("south")->priority.has_value());
    CHECK(snapshot->contentDigest() != make(3, {})->contentDigest());
}

// Guards against a delta that leaves a key with an account which has lost it, or takes it from one that has got it: in
// every order of versions, the result is the target.
TEST(ClientAccount, changesWithDeltasInEveryOrderOfVersions)
{
    const std::vector<std::vector<ClientAccount>> versions = {
        {},
        {account("north", {"a"}), account("south", {"b"})},
        {account("north", {"b"}), account("south", {"a"})}, // Two accounts exchange their keys.
        {account("north", {"a", "b"}), account("south", {})}, // A key moves, and it was the last one.
        {account("north", {"a"})},
        {account("east", {"a", "b", "c"})},
    };
    for (const auto &from : versions) {
        for (const auto &to : versions) {
            const auto base = make(4, from);
            const auto target = make(5, to);
            const auto delta = Delta::decode(Delta::between(*base, *target).encode());
            CHECK(delta.has_value());
            const auto result = delta->applyTo(*base);
            CHECK(result.has_value());
            CHECK((*result)->content() == target->content());
            for (const auto *key : {"a", "b", "c"}) {
                STRCMP_EQUAL(holderOf(*target, key).c_str(), holderOf(**result, key).c_str());
            }
        }
    }
}

TEST(ClientAccount, isValidated)
{
    CHECK(tryMake(1, {account("north", {"a"}), account("south", {"b"})}).has_value());
    CHECK_FALSE(tryMake(1, {account("north", {"a"}), account("south", {"a"})}).has_value());
    CHECK_FALSE(tryMake(1, {account("north", {"a", "a"})}).has_value());
    CHECK_FALSE(tryMake(1, {account("north", {"a"}), account("north", {"b"})}).has_value());
    for (const auto *name : {"", "two words", "line\nbreak", "n\xc3\xb6rth"}) {
        CHECK_FALSE(tryMake(1, {account(name, {"a"})}).has_value());
    }
    for (const double rate : {-1.0, 1e10, std::numeric_limits<double>::quiet_NaN()}) {
        auto limited = account("north", {"a"});
        limited.ratePerSecond = rate;
        CHECK_FALSE(tryMake(1, {limited}).has_value());
        limited.ratePerSecond = 1;
        limited.burst = rate;
        CHECK_FALSE(tryMake(1, {limited}).has_value());
    }
    std::vector<std::string> keys;
    for (int i = 0; i <= 1000; ++i) {
        keys.push_back(std::to_string(i));
    }
    CHECK_FALSE(tryMake(1, {account("north", keys)}).has_value());
}

// Guards against keys, or digests by which a key can be looked up, in the state dump of a node.
TEST(ClientAccount, isDumpedWithoutItsKeys)
{
    const auto snapshot = make(1, {account("north", {"key-of-north"})});
    const auto dump = toJson(*snapshot).dump();
    CHECK(dump.find("north") != std::string::npos);
    CHECK(dump.find("key-of-north") == std::string::npos);
    const auto digest = Digest::of("key-of-north").hex();
    CHECK(dump.find(digest) == std::string::npos);
    CHECK(dump.find('"' + digest.substr(0, 8) + '"') != std::string::npos);
}

// Guards against a plan in the store that contains a key of the intent.
TEST(ClientAccount, isSetByAnIntentThatDoesNotKeepTheKeys)
{
    const auto intent = Intent::parse(
        R"({"operations":[{"op":"setAccount","account":{"name":"north","keys":["secret"],"priority":"high",)"
        R"("ratePerSecond":0.5,"burst":3}}]})");
    CHECK(intent.has_value());
    const auto stored = intent->toJson().dump();
    CHECK(stored.find("secret") == std::string::npos);
    CHECK(Intent::parse(stored).value() == *intent);
    const auto effect = intent->applyTo(make(1, {account("south", {"s"})})->content());
    CHECK(effect.refusals.empty());
    const auto after = Snapshot::make(2, effect.content).value();
    STRCMP_EQUAL("north", holderOf(*after, "secret").c_str());
    CHECK(after->findAccountByName("north")->priority == Priority::High);

    const auto removal = Intent::parse(R"({"operations":[{"op":"removeAccount","name":"north"}]})").value();
    CHECK(Snapshot::make(3, removal.applyTo(after->content()).content).value()->findAccountByName("north") == nullptr);
    CHECK_FALSE(removal.applyTo(make(1, {})->content()).refusals.empty());
}

TEST(ClientAccount, isRefusedInAnIntentWithInvalidFields)
{
    for (const auto *fields : {R"("keys":[""])",
                               R"("keyDigests":["12"])",
                               R"("keys":"k")",
                               R"("burst":-1)",
                               R"("ratePerSecond":"1")",
                               R"("priority":0)",
                               R"("quota":1)"}) {
        const auto text =
            std::string(R"({"operations":[{"op":"setAccount","account":{"name":"north",)") + fields + "}}]}";
        CHECK_FALSE(Intent::parse(text).has_value());
    }
}
