#include "faultproxy.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

/** A validated control request. */
struct ControlRequest
{
    bool clear = false;
    std::vector<std::string> removals;
    std::vector<LinkOptions> links;
    std::vector<FaultRule> rules;
};

Result<Endpoint> parseEndpointMember(const Json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string()) {
        return makeError(ErrorCode::InvalidArgument, std::string(name) + " of a link is missing or not a string");
    }
    return Endpoint::parse(it->get<std::string>());
}

Result<LinkOptions> parseLink(const Json &value)
{
    if (!value.is_object() || !value.contains("name") || !value["name"].is_string()) {
        return makeError(ErrorCode::InvalidArgument, "link is not a JSON object with a name");
    }
    const auto listen = parseEndpointMember(value, "listen");
    if (!listen) {
        return tl::unexpected(listen.error());
    }
    const auto forward = parseEndpointMember(value, "forward");
    if (!forward) {
        return tl::unexpected(forward.error());
    }
    return LinkOptions{.name = value["name"].get<std::string>(), .listen = *listen, .forward = *forward};
}

template <typename Item, typename Parse>
Result<std::vector<Item>> parseList(const Json &request, const char *name, Parse parse)
{
    std::vector<Item> items;
    const auto list = request.value(name, Json::array());
    if (!list.is_array()) {
        return makeError(ErrorCode::InvalidArgument, std::string(name) + " is not an array");
    }
    for (const auto &value : list) {
        auto item = parse(value);
        if (!item) {
            return tl::unexpected(item.error());
        }
        items.push_back(*std::move(item));
    }
    return items;
}

Result<std::string> parseId(const Json &value)
{
    if (!value.is_string()) {
        return makeError(ErrorCode::InvalidArgument, "rule id to remove is not a string");
    }
    return value.get<std::string>();
}

Result<ControlRequest> parseControlRequest(const Json &request)
{
    if (!request.is_object()) {
        return makeError(ErrorCode::InvalidArgument, "control request is not a JSON object");
    }
    const auto clear = request.value("clear", Json(false));
    if (!clear.is_boolean()) {
        return makeError(ErrorCode::InvalidArgument, "clear is not a boolean");
    }
    auto removals = parseList<std::string>(request, "remove", parseId);
    if (!removals) {
        return tl::unexpected(removals.error());
    }
    auto links = parseList<LinkOptions>(request, "links", parseLink);
    if (!links) {
        return tl::unexpected(links.error());
    }
    auto rules = parseList<FaultRule>(request, "rules", parseFaultRule);
    if (!rules) {
        return tl::unexpected(rules.error());
    }
    return ControlRequest{.clear = clear.get<bool>(),
                          .removals = *std::move(removals),
                          .links = *std::move(links),
                          .rules = *std::move(rules)};
}

} // namespace

FaultProxy::FaultProxy(asio::io_context &io, std::uint64_t seed)
    : m_context(io, seed)
{
}

FaultProxy::~FaultProxy() = default;

Result<bool> FaultProxy::control(const Json &request)
{
    const auto parsed = parseControlRequest(request);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    if (parsed->clear) {
        m_context.rules.clear();
    }
    for (const auto &id : parsed->removals) {
        m_context.rules.remove(id);
    }
    for (const auto &options : parsed->links) {
        const auto added = addLink(options);
        if (!added) {
            return added;
        }
    }
    for (const auto &rule : parsed->rules) {
        addRule(rule);
    }
    return true;
}

Json FaultProxy::statusJson() const
{
    auto status = m_context.statistics.toJson();
    status["links"] = Json::array();
    for (const auto &[name, link] : m_links) {
        status["links"].push_back({{"name", name},
                                   {"listen", link->options().listen.toString()},
                                   {"forward", link->options().forward.toString()},
                                   {"openConnections", link->openConnections()}});
    }
    status["rules"] = m_context.rules.rules().size();
    return status;
}

Result<bool> FaultProxy::addLink(const LinkOptions &options)
{
    if (m_links.contains(options.name)) {
        return makeError(ErrorCode::Unavailable, "link " + options.name + " already exists");
    }
    auto link = Link::make(m_context, options);
    if (!link) {
        return tl::unexpected(link.error());
    }
    m_links.emplace(options.name, *std::move(link));
    return true;
}

void FaultProxy::addRule(const FaultRule &rule)
{
    m_context.rules.add(rule);
    for (const auto &[name, link] : m_links) {
        link->applyToOpenConnections(rule);
    }
}

} // namespace Hornbeam
