#pragma once

#include <hornbeam/config/snapshot.h>
#include <hornbeam/json/jsonreader.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hornbeam {

/** Adds a service or replaces the one of the same name. */
struct SetService
{
    Service service;

    friend bool operator==(const SetService &, const SetService &) = default;
};

/** Removes a service. No route may refer to it in the resulting content. */
struct RemoveService
{
    std::string name;

    friend bool operator==(const RemoveService &, const RemoveService &) = default;
};

/** Adds a route or replaces the one of the same name. */
struct SetRoute
{
    Route route;

    friend bool operator==(const SetRoute &, const SetRoute &) = default;
};

struct RemoveRoute
{
    std::string name;

    friend bool operator==(const RemoveRoute &, const RemoveRoute &) = default;
};

struct MarkLeaving
{
    Endpoint target;

    friend bool operator==(const MarkLeaving &, const MarkLeaving &) = default;
};

struct ClearLeaving
{
    Endpoint target;

    friend bool operator==(const ClearLeaving &, const ClearLeaving &) = default;
};

/** Adds a client account or replaces the one of the same name. */
struct SetAccount
{
    ClientAccount account;

    friend bool operator==(const SetAccount &, const SetAccount &) = default;
};

struct RemoveAccount
{
    std::string name;

    friend bool operator==(const RemoveAccount &, const RemoveAccount &) = default;
};

using IntentOperation = std::
    variant<SetService, RemoveService, SetRoute, RemoveRoute, MarkLeaving, ClearLeaving, SetAccount, RemoveAccount>;

/** The content that results from an intent, or the reasons why the intent is refused. */
struct IntentEffect
{
    SnapshotContent content; ///< Sorted and valid when there are no refusals.
    JsonProblems refusals; ///< With JSON paths into the intent.
};

/**
 * A change requested by an operator: a list of operations that take effect together or not at all.
 * JSON: {"operations": [{"op": "setRoute", "route": {...}}, {"op": "markLeaving", "target": "192.0.2.1:80"}, ...]}.
 */
class Intent
{
public:
    /** Makes an empty intent, to be assigned later; parse() refuses intents without operations. */
    Intent() = default;

    static constexpr std::size_t maxOperations = 20000;

    /** Parses an intent; when it is invalid, returns all problems found. */
    static tl::expected<Intent, JsonProblems> parse(std::string_view json);

    /** Like parse(), for an already parsed JSON value; @p path is its JSON path. */
    static tl::expected<Intent, JsonProblems> fromJson(const nlohmann::json &value, const std::string &path);

    nlohmann::json toJson() const;

    const std::vector<IntentOperation> &operations() const
    {
        return m_operations;
    }

    /** Computes the effect on sorted content. Refuses to remove or clear resources that do not exist. */
    IntentEffect applyTo(const SnapshotContent &base) const;

    friend bool operator==(const Intent &, const Intent &) = default;

private:
    std::vector<IntentOperation> m_operations;
};

} // namespace Hornbeam
