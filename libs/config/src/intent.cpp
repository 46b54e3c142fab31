#include <hornbeam/config/intent.h>

#include <hornbeam/config/configjson.h>
#include <hornbeam/config/snapshotvalidator.h>

#include "contentdiff.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Hornbeam {

namespace {

using nlohmann::json;

/** Identifies the resource that an operation sets or removes; an intent has at most one operation per resource. */
struct ResourceId
{
    ResourceKind kind = ResourceKind::Service;
    std::string name;

    friend auto operator<=>(const ResourceId &, const ResourceId &) = default;
};

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

ResourceId resourceOf(const IntentOperation &operation)
{
    using Kind = ResourceKind;
    return std::visit(
        Overloaded{
            [](const SetService &set) { return ResourceId{.kind = Kind::Service, .name = set.service.name}; },
            [](const RemoveService &remove) { return ResourceId{.kind = Kind::Service, .name = remove.name}; },
            [](const SetRoute &set) { return ResourceId{.kind = Kind::Route, .name = set.route.name}; },
            [](const RemoveRoute &remove) { return ResourceId{.kind = Kind::Route, .name = remove.name}; },
            [](const MarkLeaving &mark) {
                return ResourceId{.kind = Kind::LeavingTarget, .name = mark.target.toString()};
            },
            [](const ClearLeaving &clear) {
                return ResourceId{.kind = Kind::LeavingTarget, .name = clear.target.toString()};
            },
            [](const SetAccount &set) { return ResourceId{.kind = Kind::ClientAccount, .name = set.account.name}; },
            [](const RemoveAccount &remove) { return ResourceId{.kind = Kind::ClientAccount, .name = remove.name}; },
        },
        operation);
}

std::string operationPath(const std::string &path, std::size_t i)
{
    return path + ".operations[" + std::to_string(i) + "]";
}

IntentOperation readOperation(const json &value, const std::string &path, JsonProblems &problems)
{
    JsonReader reader(value, path, problems);
    IntentOperation operation;
    const auto op = reader.string("op");
    if (op == "setService") {
        const auto *service = reader.object("service");
        if (service != nullptr) {
            operation = SetService{.service = readService(*service, reader.pathOf("service"), problems)};
        }
    } else if (op == "removeService") {
        operation = RemoveService{.name = reader.string("name")};
    } else if (op == "setRoute") {
        const auto *route = reader.object("route");
        if (route != nullptr) {
            operation = SetRoute{.route = readRoute(*route, reader.pathOf("route"), problems)};
        }
    } else if (op == "removeRoute") {
        operation = RemoveRoute{.name = reader.string("name")};
    } else if (op == "setAccount") {
        const auto *account = reader.object("account");
        if (account != nullptr) {
            operation = SetAccount{.account = readAccount(*account, reader.pathOf("account"), problems)};
        }
    } else if (op == "removeAccount") {
        operation = RemoveAccount{.name = reader.string("name")};
    } else if (op == "markLeaving" || op == "clearLeaving") {
        const auto target = readEndpoint(reader.string("target"), reader.pathOf("target"), problems);
        if (op == "markLeaving") {
            operation = MarkLeaving{.target = target};
        } else {
            operation = ClearLeaving{.target = target};
        }
    } else {
        reader.report("op",
                      "must be one of setService, removeService, setRoute, removeRoute, markLeaving, clearLeaving, "
                      "setAccount, removeAccount");
        return operation;
    }
    reader.finish();
    return operation;
}

void reportDuplicates(const std::vector<IntentOperation> &operations, const std::string &path, JsonProblems &problems)
{
    std::map<ResourceId, std::size_t> first;
    for (std::size_t i = 0; i < operations.size(); ++i) {
        const auto [it, added] = first.emplace(resourceOf(operations[i]), i);
        if (!added) {
            problems.push_back({.path = operationPath(path, i),
                                .text = "changes the same resource as " + operationPath(path, it->second)});
        }
    }
}

/** The resources of one kind by key, while the operations of an intent are applied. */
template <typename T>
class ResourceMap
{
public:
    explicit ResourceMap(const std::vector<T> &sorted)
    {
        for (const auto &resource : sorted) {
            m_resources.emplace_hint(m_resources.end(), keyOf(resource), resource);
        }
    }

    void set(T resource)
    {
        auto key = keyOf(resource);
        m_resources.insert_or_assign(std::move(key), std::move(resource));
    }

    template <typename Key>
    bool remove(const Key &key)
    {
        return m_resources.erase(key) > 0;
    }

    std::vector<T> take()
    {
        std::vector<T> sorted;
        sorted.reserve(m_resources.size());
        for (auto &[key, resource] : m_resources) {
            sorted.push_back(std::move(resource));
        }
        return sorted;
    }

private:
    std::map<std::remove_cvref_t<decltype(keyOf(std::declval<T>()))>, T> m_resources;
};

/** Applies operations. Each call returns the reason why the operation is refused, or an empty string. */
class OperationApplier
{
public:
    explicit OperationApplier(const SnapshotContent &base)
        : m_services(base.services)
        , m_routes(base.routes)
        , m_leavingTargets(base.leavingTargets)
        , m_accounts(base.accounts)
        , m_limits(base.limits)
    {
    }

    std::string operator()(const SetService &set)
    {
        m_services.set(set.service);
        return {};
    }

    std::string operator()(const RemoveService &remove)
    {
        return m_services.remove(remove.name) ? "" : "there is no service \"" + remove.name + "\"";
    }

    std::string operator()(const SetRoute &set)
    {
        m_routes.set(set.route);
        return {};
    }

    std::string operator()(const RemoveRoute &remove)
    {
        return m_routes.remove(remove.name) ? "" : "there is no route \"" + remove.name + "\"";
    }

    std::string operator()(const MarkLeaving &mark)
    {
        m_leavingTargets.set({.address = mark.target});
        return {};
    }

    std::string operator()(const ClearLeaving &clear)
    {
        const bool removed = m_leavingTargets.remove(clear.target);
        return removed ? "" : "target " + clear.target.toString() + " is not marked as leaving";
    }

    std::string operator()(const SetAccount &set)
    {
        m_accounts.set(set.account);
        return {};
    }

    std::string operator()(const RemoveAccount &remove)
    {
        return m_accounts.remove(remove.name) ? "" : "there is no account \"" + remove.name + "\"";
    }

    SnapshotContent take()
    {
        return {.services = m_services.take(),
                .routes = m_routes.take(),
                .leavingTargets = m_leavingTargets.take(),
                .limits = m_limits,
                .accounts = m_accounts.take()};
    }

private:
    ResourceMap<Service> m_services;
    ResourceMap<Route> m_routes;
    ResourceMap<LeavingTarget> m_leavingTargets;
    ResourceMap<ClientAccount> m_accounts;
    TrafficLimits m_limits;
};

} // namespace

tl::expected<Intent, JsonProblems> Intent::parse(std::string_view json)
{
    const auto document = parseJson(json);
    if (!document) {
        return tl::unexpected(JsonProblems{document.error()});
    }
    return fromJson(*document, "$");
}

tl::expected<Intent, JsonProblems> Intent::fromJson(const json &value, const std::string &path)
{
    JsonProblems problems;
    JsonReader reader(value, path, problems);
    const auto *operations = reader.array("operations");
    reader.finish();
    if (operations != nullptr && (operations->empty() || operations->size() > maxOperations)) {
        reader.report("operations", "must have 1..20000 elements");
    }
    if (operations == nullptr || !problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    Intent intent;
    for (std::size_t i = 0; i < operations->size(); ++i) {
        intent.m_operations.push_back(readOperation((*operations)[i], operationPath(path, i), problems));
    }
    if (problems.empty()) {
        reportDuplicates(intent.m_operations, path, problems);
    }
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return intent;
}

json Intent::toJson() const
{
    json operations = json::array();
    for (const auto &operation : m_operations) {
        operations.push_back(
            std::visit(Overloaded{
                           [](const SetService &set) {
                               return json{{"op", "setService"}, {"service", Hornbeam::toJson(set.service)}};
                           },
                           [](const RemoveService &remove) {
                               return json{{"op", "removeService"}, {"name", remove.name}};
                           },
                           [](const SetRoute &set) {
                               return json{{"op", "setRoute"}, {"route", Hornbeam::toJson(set.route)}};
                           },
                           [](const RemoveRoute &remove) {
                               return json{{"op", "removeRoute"}, {"name", remove.name}};
                           },
                           [](const MarkLeaving &mark) {
                               return json{{"op", "markLeaving"}, {"target", mark.target.toString()}};
                           },
                           [](const ClearLeaving &clear) {
                               return json{{"op", "clearLeaving"}, {"target", clear.target.toString()}};
                           },
                           [](const SetAccount &set) {
                               return json{{"op", "setAccount"}, {"account", Hornbeam::toJson(set.account)}};
                           },
                           [](const RemoveAccount &remove) {
                               return json{{"op", "removeAccount"}, {"name", remove.name}};
                           },
                       },
                       operation));
    }
    return {{"operations", std::move(operations)}};
}

IntentEffect Intent::applyTo(const SnapshotContent &base) const
{
    IntentEffect effect;
    OperationApplier applier(base);
    std::map<ResourceId, std::size_t> positions;
    for (std::size_t i = 0; i < m_operations.size(); ++i) {
        positions.emplace(resourceOf(m_operations[i]), i);
        auto refusal = std::visit(applier, m_operations[i]);
        if (!refusal.empty()) {
            effect.refusals.push_back({.path = operationPath("$", i), .text = std::move(refusal)});
        }
    }
    effect.content = applier.take();
    SnapshotValidator::sort(effect.content);
    for (const auto &problem : SnapshotValidator::check(effect.content)) {
        const auto it = positions.find({.kind = problem.kind, .name = problem.name});
        auto path = it != positions.end() ? operationPath("$", it->second) : std::string("$");
        effect.refusals.push_back({.path = std::move(path), .text = problem.toString()});
    }
    return effect;
}

} // namespace Hornbeam
