#include <hornbeam/config/plan.h>

#include <hornbeam/config/configjson.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

using nlohmann::json;

constexpr std::size_t planIdLength = 32;

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

Digest readDigest(JsonReader &reader, const char *key)
{
    const auto digest = Digest::fromHex(reader.string(key));
    if (!digest) {
        reader.report(key, "must be 64 hexadecimal digits");
    }
    return digest.value_or(Digest());
}

JsonProblems readRefusals(const json &value, const std::string &path, JsonProblems &problems)
{
    JsonProblems refusals;
    for (std::size_t i = 0; i < value.size(); ++i) {
        JsonReader reader(value[i], path + "[" + std::to_string(i) + "]", problems);
        refusals.push_back({.path = reader.string("path"), .text = reader.string("reason")});
        reader.finish();
    }
    return refusals;
}

PlanImpact readImpact(const json &value, const std::string &path, JsonProblems &problems)
{
    JsonReader reader(value, path, problems);
    const PlanImpact impact{.proxies = reader.unsignedNumber("proxies", {}),
                            .targets = reader.unsignedNumber("targets", {})};
    reader.finish();
    return impact;
}

std::vector<ConfigChange> readChanges(const json &value, const std::string &path, JsonProblems &problems)
{
    std::vector<ConfigChange> changes;
    for (std::size_t i = 0; i < value.size(); ++i) {
        changes.push_back(readChange(value[i], path + "[" + std::to_string(i) + "]", problems));
    }
    return changes;
}

} // namespace

bool isPlanId(std::string_view text)
{
    return text.size() == planIdLength && std::all_of(text.begin(), text.end(), isHexDigit);
}

std::string Plan::toJson() const
{
    json result = {{"id", id},
                   {"baseVersion", baseVersion},
                   {"baseDigest", baseDigest.hex()},
                   {"targetVersion", targetVersion},
                   {"targetDigest", targetDigest.hex()},
                   {"changes", json::array()},
                   {"refusals", Hornbeam::toJson(refusals)},
                   {"notices", notices},
                   {"affected", {{"proxies", impact.proxies}, {"targets", impact.targets}}},
                   {"intent", intent.toJson()}};
    for (const auto &change : changes) {
        result["changes"].push_back(Hornbeam::toJson(change));
    }
    if (confirmedVersion) {
        result["confirmedVersion"] = *confirmedVersion;
    }
    return result.dump();
}

Result<Plan> Plan::fromJson(std::string_view json)
{
    const auto document = parseJson(json);
    if (!document) {
        return makeError(ErrorCode::InvalidArgument, "the plan " + document.error().text);
    }
    JsonProblems problems;
    JsonReader reader(*document, "$", problems);
    Plan plan;
    plan.id = reader.string("id");
    plan.baseVersion = reader.unsignedNumber("baseVersion", {});
    plan.baseDigest = readDigest(reader, "baseDigest");
    plan.targetVersion = reader.unsignedNumber("targetVersion", {});
    plan.targetDigest = readDigest(reader, "targetDigest");
    if (const auto *changes = reader.array("changes")) {
        plan.changes = readChanges(*changes, reader.pathOf("changes"), problems);
    }
    if (const auto *refusals = reader.array("refusals")) {
        plan.refusals = readRefusals(*refusals, reader.pathOf("refusals"), problems);
    }
    plan.notices = reader.optionalStrings("notices");
    if (const auto *affected = reader.object("affected")) {
        plan.impact = readImpact(*affected, reader.pathOf("affected"), problems);
    }
    plan.confirmedVersion = reader.optionalUnsigned("confirmedVersion", {});
    if (const auto *intent = reader.object("intent")) {
        auto parsed = Intent::fromJson(*intent, reader.pathOf("intent"));
        if (parsed) {
            plan.intent = *std::move(parsed);
        } else {
            problems.insert(problems.end(), parsed.error().begin(), parsed.error().end());
        }
    }
    reader.finish();
    if (!problems.empty()) {
        return makeError(ErrorCode::InvalidArgument, problems.front().path + " " + problems.front().text);
    }
    return plan;
}

} // namespace Hornbeam
