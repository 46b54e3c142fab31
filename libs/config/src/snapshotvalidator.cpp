#include <hornbeam/config/snapshotvalidator.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace Hornbeam {

namespace {

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxHostLength = 253;
constexpr std::size_t maxPathLength = 1024;
constexpr std::size_t maxMethods = 16;
constexpr std::size_t maxMethodLength = 32;
constexpr std::size_t maxLabels = 16;
constexpr std::size_t maxLabelNameLength = 64;
constexpr std::size_t maxLabelValueLength = 128;
constexpr std::uint32_t maxSlots = 10000;
constexpr std::uint64_t maxRequestBytesUpperBound = 1ULL << 40; // Of Service::maxRequestBytes.
constexpr std::chrono::milliseconds minTimeout{10};
constexpr std::chrono::milliseconds maxAttemptTimeout{600000};
constexpr std::chrono::milliseconds maxRouteTimeout{3600000};
constexpr std::uint32_t maxAttempts = 16;
constexpr std::size_t maxSplits = 64;
constexpr std::uint32_t maxWeight = 1000000;
constexpr std::uint32_t maxTargetConnections = 1000000;
constexpr std::size_t maxAccounts = 100000;
constexpr std::size_t maxKeys = 1000; // Of one account; its encoding is then smaller than a piece of the configuration.
constexpr double maxRate = 1e9; // Of ClientAccount::ratePerSecond and ClientAccount::burst.

bool isLowerAlnum(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isAlnum(char c)
{
    return isLowerAlnum(c) || (c >= 'A' && c <= 'Z');
}

bool isGraphic(char c)
{
    return c > ' ' && c < '\x7f';
}

template <typename Predicate>
bool consistsOf(std::string_view text, std::size_t maxLength, Predicate allowed)
{
    return text.size() <= maxLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isHost(std::string_view text)
{
    return consistsOf(text, maxHostLength, [](char c) { return isLowerAlnum(c) || c == '-' || c == '.'; });
}

bool isMethod(std::string_view text)
{
    return !text.empty()
        && consistsOf(text, maxMethodLength, [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}

// Prefixes are compared with request paths byte by byte, so they have to be normalised.
bool isNormalisedPath(std::string_view path)
{
    const auto allowed = [](char c) {
        return isGraphic(c) && c != '?' && c != '#';
    };
    if (path.empty() || path.front() != '/' || !consistsOf(path, maxPathLength, allowed)) {
        return false;
    }
    if (path == "/") {
        return true;
    }
    for (std::size_t begin = 1; begin <= path.size();) {
        const auto end = std::min(path.find('/', begin), path.size());
        const auto segment = path.substr(begin, end - begin);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        begin = end + 1;
    }
    return true;
}

/** Collects the problems of one resource. */
class ProblemCollector
{
public:
    ProblemCollector(ResourceKind kind, std::string name)
        : m_kind(kind)
        , m_name(std::move(name))
    {
    }

    void require(bool condition, std::string field, std::string text)
    {
        if (!condition) {
            m_problems.push_back({.kind = m_kind, .name = m_name, .field = std::move(field), .text = std::move(text)});
        }
    }

    std::vector<ResourceProblem> take()
    {
        return std::move(m_problems);
    }

private:
    ResourceKind m_kind;
    std::string m_name;
    std::vector<ResourceProblem> m_problems;
};

void append(std::vector<ResourceProblem> &problems, std::vector<ResourceProblem> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(problems));
}

std::string indexed(const char *field, std::size_t i)
{
    return std::string(field) + "[" + std::to_string(i) + "]";
}

void checkMethods(const Route &route, ProblemCollector &collector)
{
    collector.require(route.methods.size() <= maxMethods, "methods", "has more than 16 elements");
    for (std::size_t i = 0; i < route.methods.size(); ++i) {
        collector.require(isMethod(route.methods[i]), indexed("methods", i), "must be 1..32 characters of [A-Z-]");
        const auto first = std::find(route.methods.begin(), route.methods.end(), route.methods[i]);
        const auto position = static_cast<std::size_t>(first - route.methods.begin());
        collector.require(position == i, indexed("methods", i), "is a duplicate");
    }
}

void checkSplits(const Route &route, ProblemCollector &collector)
{
    collector.require(route.splits.size() <= maxSplits, "splits", "has more than 64 elements");
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < route.splits.size(); ++i) {
        const auto &split = route.splits[i];
        collector.require(
            isResourceName(split.service), indexed("splits", i), "service must be 1..128 characters of [a-z0-9-]");
        collector.require(split.weight <= maxWeight, indexed("splits", i), "weight must be 0..1000000");
        // The splits are sorted, so that those with the same service are adjacent.
        const bool repeated = i > 0 && route.splits[i - 1].service == split.service;
        collector.require(!repeated, indexed("splits", i), "has the same service as another element");
        total += split.weight;
    }
    collector.require(route.splits.empty() || total > 0, "splits", "all weights are 0");
}

void checkLabels(const Route &route, ProblemCollector &collector)
{
    collector.require(route.requiredLabels.size() <= maxLabels, "requiredLabels", "has more than 16 elements");
    for (std::size_t i = 0; i < route.requiredLabels.size(); ++i) {
        const auto &label = route.requiredLabels[i];
        collector.require(
            isLabelName(label.name), "requiredLabels", "a name must be 1..64 characters of [A-Za-z0-9._-]");
        const auto field = "requiredLabels." + label.name;
        collector.require(isLabelValue(label.value), field, "must be 0..128 printable characters");
        const bool first = std::none_of(route.requiredLabels.begin(),
                                        route.requiredLabels.begin() + static_cast<std::ptrdiff_t>(i),
                                        [&](const Label &other) { return other.name == label.name; });
        collector.require(first, field, "is a duplicate");
    }
}

template <typename T, typename KeyOf>
void checkDuplicates(const std::vector<T> &sorted,
                     ResourceKind kind,
                     KeyOf keyOf,
                     std::vector<ResourceProblem> &problems)
{
    for (std::size_t i = 1; i < sorted.size(); ++i) {
        if (keyOf(sorted[i - 1]) == keyOf(sorted[i])) {
            problems.push_back({.kind = kind, .name = keyOf(sorted[i]), .field = {}, .text = "is defined twice"});
        }
    }
}

/**
 * Whether a request can match both routes by its method without one of them being more specific. A route that lists
 * methods takes precedence over one for all methods, so these two are not ambiguous.
 */
bool haveAmbiguousMethods(const Route &a, const Route &b)
{
    if (a.methods.empty() || b.methods.empty()) {
        return a.methods.empty() && b.methods.empty();
    }
    return std::any_of(a.methods.begin(), a.methods.end(), [&](const std::string &method) {
        return std::find(b.methods.begin(), b.methods.end(), method) != b.methods.end();
    });
}

// Routes that match the same requests with equal specificity are refused: only their names would decide between them.
void checkAmbiguity(const std::vector<Route> &routes, std::vector<ResourceProblem> &problems)
{
    std::vector<const Route *> byPrefixAndHost;
    byPrefixAndHost.reserve(routes.size());
    for (const auto &route : routes) {
        byPrefixAndHost.push_back(&route);
    }
    const auto key = [](const Route *route) {
        return std::tie(route->pathPrefix, route->host);
    };
    std::sort(byPrefixAndHost.begin(), byPrefixAndHost.end(), [&](const Route *a, const Route *b) {
        return std::tuple(key(a), std::string_view(a->name)) < std::tuple(key(b), std::string_view(b->name));
    });
    for (std::size_t i = 0; i < byPrefixAndHost.size(); ++i) {
        for (std::size_t j = i + 1; j < byPrefixAndHost.size() && key(byPrefixAndHost[i]) == key(byPrefixAndHost[j]);
             ++j) {
            // Routes with the same name are reported by checkDuplicates().
            if (byPrefixAndHost[i]->name != byPrefixAndHost[j]->name
                && haveAmbiguousMethods(*byPrefixAndHost[i], *byPrefixAndHost[j])) {
                problems.push_back({.kind = ResourceKind::Route,
                                    .name = byPrefixAndHost[j]->name,
                                    .field = "pathPrefix",
                                    .text = "matches the same requests as route \"" + byPrefixAndHost[i]->name + "\""});
                break;
            }
        }
    }
}

void checkKeyHolders(const std::vector<ClientAccount> &accounts, std::vector<ResourceProblem> &problems)
{
    if (accounts.size() > maxAccounts) {
        problems.push_back({.kind = ResourceKind::ClientAccount,
                            .name = accounts.back().name,
                            .field = {},
                            .text = "there are more than 100000 accounts"});
    }
    std::map<Digest, const ClientAccount *> holders;
    for (const auto &account : accounts) {
        for (const auto &digest : account.keyDigests) {
            const auto [it, added] = holders.emplace(digest, &account);
            if (!added && it->second != &account) {
                problems.push_back({.kind = ResourceKind::ClientAccount,
                                    .name = account.name,
                                    .field = "keyDigests",
                                    .text = "has a key that account \"" + it->second->name + "\" has"});
            }
        }
    }
}

void checkServicesPresent(const SnapshotContent &content, std::vector<ResourceProblem> &problems)
{
    const auto byName = [](const Service &service, std::string_view name) {
        return service.name < name;
    };
    const auto requirePresent = [&](const Route &route, const char *field, const std::string &service) {
        const auto it = std::lower_bound(content.services.begin(), content.services.end(), service, byName);
        if (it == content.services.end() || it->name != service) {
            problems.push_back({.kind = ResourceKind::Route,
                                .name = route.name,
                                .field = field,
                                .text = "there is no service \"" + service + "\""});
        }
    };
    for (const auto &route : content.routes) {
        requirePresent(route, "service", route.service);
        for (const auto &split : route.splits) {
            requirePresent(route, "splits", split.service);
        }
    }
}

} // namespace

bool isResourceName(std::string_view text)
{
    return !text.empty() && consistsOf(text, maxNameLength, [](char c) { return isLowerAlnum(c) || c == '-'; });
}

bool isAccountName(std::string_view text)
{
    return !text.empty() && consistsOf(text, maxNameLength, isGraphic);
}

bool isLabelName(std::string_view text)
{
    const auto allowed = [](char c) {
        return isAlnum(c) || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && consistsOf(text, maxLabelNameLength, allowed);
}

bool isLabelValue(std::string_view text)
{
    return consistsOf(text, maxLabelValueLength, isGraphic);
}

const char *resourceKindName(ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Service:
        return "service";
    case ResourceKind::Route:
        return "route";
    case ResourceKind::LeavingTarget:
        return "leavingTarget";
    case ResourceKind::ClientAccount:
        return "account";
    }
    return "service";
}

std::string ResourceProblem::toString() const
{
    std::string result = std::string(resourceKindName(kind)) + " \"" + name + "\": ";
    if (!field.empty()) {
        result += field + ": ";
    }
    return result + text;
}

std::vector<ResourceProblem> SnapshotValidator::check(const Service &service)
{
    ProblemCollector collector(ResourceKind::Service, service.name);
    collector.require(isResourceName(service.name), "name", "must be 1..128 characters of [a-z0-9-]");
    collector.require(service.slotsPerTarget <= maxSlots, "slotsPerTarget", "must be 0..10000");
    collector.require(service.attemptTimeout >= minTimeout && service.attemptTimeout <= maxAttemptTimeout,
                      "attemptTimeoutMs",
                      "must be 10..600000");
    collector.require(
        service.maxRequestBytes <= maxRequestBytesUpperBound, "maxRequestBytes", "must be 0..1099511627776");
    collector.require(service.maxConnections <= maxTargetConnections, "maxConnections", "must be 0..1000000");
    return collector.take();
}

std::vector<ResourceProblem> SnapshotValidator::check(const Route &route)
{
    ProblemCollector collector(ResourceKind::Route, route.name);
    collector.require(isResourceName(route.name), "name", "must be 1..128 characters of [a-z0-9-]");
    collector.require(isHost(route.host), "host", "must be 0..253 characters of [a-z0-9.-]");
    collector.require(isNormalisedPath(route.pathPrefix),
                      "pathPrefix",
                      "must start with '/', have no empty, \".\" or \"..\" segment and at most 1024 characters");
    collector.require(isResourceName(route.service), "service", "must be 1..128 characters of [a-z0-9-]");
    collector.require(
        route.timeout >= minTimeout && route.timeout <= maxRouteTimeout, "timeoutMs", "must be 10..3600000");
    collector.require(route.attempts >= 1 && route.attempts <= maxAttempts, "attempts", "must be 1..16");
    collector.require(route.latencyObjective.count() >= 0 && route.latencyObjective <= maxRouteTimeout,
                      "latencyObjectiveMs",
                      "must be 0..3600000");
    checkSplits(route, collector);
    checkMethods(route, collector);
    checkLabels(route, collector);
    return collector.take();
}

std::vector<ResourceProblem> SnapshotValidator::check(const LeavingTarget &target)
{
    const auto text = target.address.toString();
    ProblemCollector collector(ResourceKind::LeavingTarget, text);
    const auto parsed = Endpoint::parse(text);
    collector.require(parsed.has_value() && *parsed == target.address, "address", "must be an IP address and a port");
    return collector.take();
}

std::vector<ResourceProblem> SnapshotValidator::check(const ClientAccount &account)
{
    // Negated comparisons would accept NaN.
    const auto inRange = [](double value) {
        return value >= 0 && value <= maxRate;
    };
    ProblemCollector collector(ResourceKind::ClientAccount, account.name);
    collector.require(isAccountName(account.name), "name", "must be 1..128 printable characters without spaces");
    collector.require(account.keyDigests.size() <= maxKeys, "keyDigests", "has more than 1000 elements");
    collector.require(inRange(account.ratePerSecond), "ratePerSecond", "must be 0..1000000000");
    collector.require(inRange(account.burst), "burst", "must be 0..1000000000");
    const bool repeated =
        std::adjacent_find(account.keyDigests.begin(), account.keyDigests.end()) != account.keyDigests.end();
    collector.require(!repeated, "keyDigests", "has a duplicate");
    return collector.take();
}

std::vector<ResourceProblem> SnapshotValidator::check(const SnapshotContent &content)
{
    std::vector<ResourceProblem> problems;
    for (const auto &service : content.services) {
        append(problems, check(service));
    }
    for (const auto &route : content.routes) {
        append(problems, check(route));
    }
    for (const auto &target : content.leavingTargets) {
        append(problems, check(target));
    }
    for (const auto &account : content.accounts) {
        append(problems, check(account));
    }
    const auto nameOf = [](const auto &resource) {
        return resource.name;
    };
    const auto addressOf = [](const LeavingTarget &target) {
        return target.address.toString();
    };
    checkDuplicates(content.services, ResourceKind::Service, nameOf, problems);
    checkDuplicates(content.routes, ResourceKind::Route, nameOf, problems);
    checkDuplicates(content.leavingTargets, ResourceKind::LeavingTarget, addressOf, problems);
    checkDuplicates(content.accounts, ResourceKind::ClientAccount, nameOf, problems);
    checkKeyHolders(content.accounts, problems);
    checkAmbiguity(content.routes, problems);
    checkServicesPresent(content, problems);
    return problems;
}

void SnapshotValidator::sort(SnapshotContent &content)
{
    for (auto &route : content.routes) {
        std::sort(route.methods.begin(), route.methods.end());
        std::sort(route.requiredLabels.begin(), route.requiredLabels.end());
        std::sort(route.splits.begin(), route.splits.end());
    }
    std::sort(content.services.begin(), content.services.end());
    std::sort(content.routes.begin(), content.routes.end());
    std::sort(content.leavingTargets.begin(), content.leavingTargets.end());
    for (auto &account : content.accounts) {
        std::sort(account.keyDigests.begin(), account.keyDigests.end());
    }
    std::sort(content.accounts.begin(), content.accounts.end());
}

} // namespace Hornbeam
