#include <hornbeam/config/configjson.h>

#include <hornbeam/config/snapshotvalidator.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

using nlohmann::json;

const char *priorityName(Priority priority)
{
    switch (priority) {
    case Priority::High:
        return "high";
    case Priority::Normal:
        return "normal";
    case Priority::Low:
        return "low";
    }
    return "normal";
}

const char *identityName(RequestIdentitySource source)
{
    switch (source) {
    case RequestIdentitySource::Header:
        return "header";
    case RequestIdentitySource::Content:
        return "content";
    case RequestIdentitySource::Attempt:
        return "attempt";
    }
    return "header";
}

const char *changeName(ConfigChange::Kind kind)
{
    switch (kind) {
    case ConfigChange::Kind::Added:
        return "added";
    case ConfigChange::Kind::Changed:
        return "changed";
    case ConfigChange::Kind::Removed:
        return "removed";
    }
    return "changed";
}

/** Returns the value whose name is @p text. If there is none, reports the valid names and returns the first value. */
template <typename T, typename NameOf>
T readEnum(JsonReader &reader, const char *key, const std::string &text, std::vector<T> values, NameOf nameOf)
{
    std::string known;
    for (const auto value : values) {
        if (text == nameOf(value)) {
            return value;
        }
        known += std::string(known.empty() ? "\"" : ", \"") + nameOf(value) + "\"";
    }
    reader.report(key, "must be one of " + known);
    return values.front();
}

std::chrono::milliseconds readMilliseconds(JsonReader &reader, const char *key, std::chrono::milliseconds defaultValue)
{
    // Checks only that the value fits the encoding; the validator checks the narrower range of the field.
    const auto value = reader.optionalUnsigned(key, {.minimum = 0, .maximum = UINT32_MAX});
    return value ? std::chrono::milliseconds(*value) : defaultValue;
}

/** Adds the problems of the resource that @p reader reads to the @p problems of the document, with JSON paths. */
void reportProblems(const std::vector<ResourceProblem> &resourceProblems,
                    const JsonReader &reader,
                    JsonProblems &problems)
{
    for (const auto &problem : resourceProblems) {
        problems.push_back({.path = reader.path() + "." + problem.field, .text = problem.text});
    }
}

std::vector<RouteSplit> readSplits(const json &values, const std::string &path, JsonProblems &problems)
{
    std::vector<RouteSplit> splits;
    for (std::size_t i = 0; i < values.size(); ++i) {
        JsonReader reader(values[i], path + "[" + std::to_string(i) + "]", problems);
        RouteSplit split;
        split.service = reader.string("service");
        split.weight =
            static_cast<std::uint32_t>(reader.unsignedNumber("weight", {.minimum = 0, .maximum = UINT32_MAX}));
        reader.finish();
        splits.push_back(std::move(split));
    }
    // The validator finds splits with the same service only if they are adjacent.
    std::sort(splits.begin(), splits.end());
    return splits;
}

std::optional<Resource> readResource(ResourceKind kind,
                                     const json *value,
                                     const std::string &path,
                                     JsonProblems &problems)
{
    if (value == nullptr) {
        return std::nullopt;
    }
    switch (kind) {
    case ResourceKind::Service:
        return readService(*value, path, problems);
    case ResourceKind::Route:
        return readRoute(*value, path, problems);
    case ResourceKind::ClientAccount:
        return readAccount(*value, path, problems);
    case ResourceKind::LeavingTarget:
        break;
    }
    JsonReader reader(*value, path, problems);
    LeavingTarget target{.address = readEndpoint(reader.string("address"), reader.pathOf("address"), problems)};
    reader.finish();
    return target;
}

json resourceJson(const Resource &resource)
{
    return std::visit([](const auto &value) { return toJson(value); }, resource);
}

/** The account without its keys. */
json accountJson(const ClientAccount &account)
{
    json result = {{"name", account.name}, {"ratePerSecond", account.ratePerSecond}, {"burst", account.burst}};
    if (account.priority) {
        result["priority"] = priorityName(*account.priority);
    }
    return result;
}

/** The account for diagnostics: enough of each digest to compare two nodes, and too little to look a key up. */
json accountSummary(const ClientAccount &account)
{
    constexpr std::size_t shownDigits = 8;
    json result = accountJson(account);
    result["keys"] = json::array();
    for (const auto &digest : account.keyDigests) {
        result["keys"].push_back(digest.hex().substr(0, shownDigits));
    }
    return result;
}

Priority readPriority(JsonReader &reader, const std::string &text)
{
    return readEnum<Priority>(
        reader, "priority", text, {Priority::High, Priority::Normal, Priority::Low}, priorityName);
}

void readKeys(JsonReader &reader, ClientAccount &account)
{
    for (const auto &key : reader.optionalStrings("keys")) {
        if (key.empty()) {
            reader.report("keys", "must not contain an empty key");
        }
        account.keyDigests.push_back(Digest::of(key));
    }
    for (const auto &text : reader.optionalStrings("keyDigests")) {
        const auto digest = Digest::fromHex(text);
        if (!digest) {
            reader.report("keyDigests", "must be 64 hexadecimal digits each");
        }
        account.keyDigests.push_back(digest.value_or(Digest()));
    }
    std::sort(account.keyDigests.begin(), account.keyDigests.end());
}

} // namespace

json toJson(const Service &service)
{
    return {{"name", service.name},
            {"slotsPerTarget", service.slotsPerTarget},
            {"attemptTimeoutMs", service.attemptTimeout.count()},
            {"maxRequestBytes", service.maxRequestBytes},
            {"maxConnections", service.maxConnections}};
}

json toJson(const Route &route)
{
    json labels = json::object();
    for (const auto &label : route.requiredLabels) {
        labels[label.name] = label.value;
    }
    json splits = json::array();
    for (const auto &split : route.splits) {
        splits.push_back({{"service", split.service}, {"weight", split.weight}});
    }
    return {{"name", route.name},
            {"host", route.host},
            {"pathPrefix", route.pathPrefix},
            {"methods", route.methods},
            {"service", route.service},
            {"requiredLabels", std::move(labels)},
            {"idempotent", route.idempotent},
            {"identity", identityName(route.identity)},
            {"priority", priorityName(route.priority)},
            {"timeoutMs", route.timeout.count()},
            {"splits", std::move(splits)},
            {"attempts", route.attempts},
            {"onlyBelow", route.onlyBelow},
            {"bulk", route.bulk},
            {"latencyObjectiveMs", route.latencyObjective.count()},
            {"anonymous", route.anonymous}};
}

json toJson(const LeavingTarget &target)
{
    return {{"address", target.address.toString()}};
}

json toJson(const ClientAccount &account)
{
    json result = accountJson(account);
    result["keyDigests"] = json::array();
    for (const auto &digest : account.keyDigests) {
        result["keyDigests"].push_back(digest.hex());
    }
    return result;
}

json toJson(const ConfigChange &change)
{
    json result = {
        {"kind", changeName(change.kind)}, {"resource", resourceKindName(change.resource)}, {"name", change.name}};
    if (change.before) {
        result["before"] = resourceJson(*change.before);
    }
    if (change.after) {
        result["after"] = resourceJson(*change.after);
    }
    return result;
}

json toJson(const JsonProblems &problems)
{
    json result = json::array();
    for (const auto &problem : problems) {
        result.push_back({{"path", problem.path}, {"reason", problem.text}});
    }
    return result;
}

json toJson(const Snapshot &snapshot)
{
    json result = {{"version", snapshot.version()},
                   {"digest", snapshot.contentDigest().hex()},
                   {"services", json::array()},
                   {"routes", json::array()},
                   {"leavingTargets", json::array()},
                   {"limits",
                    {{"maxHeaderBytes", snapshot.limits().maxHeaderBytes},
                     {"maxBodyBytes", snapshot.limits().maxBodyBytes},
                     {"headerTimeoutMs", snapshot.limits().headerTimeout.count()},
                     {"idleTimeoutMs", snapshot.limits().idleTimeout.count()}}}};
    for (const auto &service : snapshot.services()) {
        result["services"].push_back(toJson(service));
    }
    for (const auto &route : snapshot.routes()) {
        result["routes"].push_back(toJson(route));
    }
    for (const auto &target : snapshot.leavingTargets()) {
        result["leavingTargets"].push_back(toJson(target));
    }
    result["accounts"] = json::array();
    for (const auto &account : snapshot.accounts()) {
        result["accounts"].push_back(accountSummary(account));
    }
    return result;
}

Service readService(const json &value, const std::string &path, JsonProblems &problems)
{
    const auto problemsBefore = problems.size();
    JsonReader reader(value, path, problems);
    Service service;
    service.name = reader.string("name");
    const auto slots = reader.optionalUnsigned("slotsPerTarget", {.minimum = 0, .maximum = UINT32_MAX});
    service.slotsPerTarget = static_cast<std::uint32_t>(slots.value_or(service.slotsPerTarget));
    service.attemptTimeout = readMilliseconds(reader, "attemptTimeoutMs", service.attemptTimeout);
    service.maxRequestBytes = reader.optionalUnsigned("maxRequestBytes", {}).value_or(service.maxRequestBytes);
    const auto connections = reader.optionalUnsigned("maxConnections", {.minimum = 0, .maximum = UINT32_MAX});
    service.maxConnections = static_cast<std::uint32_t>(connections.value_or(service.maxConnections));
    reader.finish();
    // A field whose problem has been reported has a default value, which the validator might report once more.
    if (problems.size() == problemsBefore) {
        reportProblems(SnapshotValidator::check(service), reader, problems);
    }
    return service;
}

Route readRoute(const json &value, const std::string &path, JsonProblems &problems)
{
    const auto problemsBefore = problems.size();
    JsonReader reader(value, path, problems);
    Route route;
    route.name = reader.string("name");
    route.host = reader.optionalString("host").value_or(route.host);
    route.pathPrefix = reader.optionalString("pathPrefix").value_or(route.pathPrefix);
    route.methods = reader.optionalStrings("methods");
    route.service = reader.string("service");
    if (const auto *labels = reader.optionalObject("requiredLabels")) {
        route.requiredLabels = readLabels(*labels, reader.pathOf("requiredLabels"), problems);
    }
    route.idempotent = reader.optionalBool("idempotent").value_or(route.idempotent);
    if (const auto identity = reader.optionalString("identity")) {
        route.identity = readEnum<RequestIdentitySource>(
            reader,
            "identity",
            *identity,
            {RequestIdentitySource::Header, RequestIdentitySource::Content, RequestIdentitySource::Attempt},
            identityName);
    }
    if (const auto priority = reader.optionalString("priority")) {
        route.priority = readPriority(reader, *priority);
    }
    route.timeout = readMilliseconds(reader, "timeoutMs", route.timeout);
    if (const auto *splits = reader.optionalArray("splits")) {
        route.splits = readSplits(*splits, reader.pathOf("splits"), problems);
    }
    const auto attempts = reader.optionalUnsigned("attempts", {.minimum = 0, .maximum = UINT32_MAX});
    route.attempts = static_cast<std::uint32_t>(attempts.value_or(route.attempts));
    route.onlyBelow = reader.optionalBool("onlyBelow").value_or(route.onlyBelow);
    route.bulk = reader.optionalBool("bulk").value_or(route.bulk);
    route.latencyObjective = readMilliseconds(reader, "latencyObjectiveMs", route.latencyObjective);
    route.anonymous = reader.optionalBool("anonymous").value_or(route.anonymous);
    reader.finish();
    // See readService().
    if (problems.size() == problemsBefore) {
        reportProblems(SnapshotValidator::check(route), reader, problems);
    }
    // Not before the validation, which reports methods by their indexes in the document.
    std::sort(route.methods.begin(), route.methods.end());
    return route;
}

ClientAccount readAccount(const json &value, const std::string &path, JsonProblems &problems)
{
    const auto problemsBefore = problems.size();
    JsonReader reader(value, path, problems);
    ClientAccount account;
    account.name = reader.string("name");
    readKeys(reader, account);
    if (const auto priority = reader.optionalString("priority")) {
        account.priority = readPriority(reader, *priority);
    }
    constexpr NumberRange range{.minimum = 0, .maximum = 1e9};
    account.ratePerSecond = reader.optionalNumber("ratePerSecond", range).value_or(account.ratePerSecond);
    account.burst = reader.optionalNumber("burst", range).value_or(account.burst);
    reader.finish();
    // See readService().
    if (problems.size() == problemsBefore) {
        reportProblems(SnapshotValidator::check(account), reader, problems);
    }
    return account;
}

Endpoint readEndpoint(const std::string &text, const std::string &path, JsonProblems &problems)
{
    auto endpoint = Endpoint::parse(text);
    if (!endpoint || endpoint->toString() != text) {
        problems.push_back({.path = path, .text = "must be an IP address and a port, for example 192.0.2.1:80"});
        return {};
    }
    return *std::move(endpoint);
}

ConfigChange readChange(const json &value, const std::string &path, JsonProblems &problems)
{
    using Kind = ConfigChange::Kind;
    JsonReader reader(value, path, problems);
    ConfigChange change;
    change.kind =
        readEnum<Kind>(reader, "kind", reader.string("kind"), {Kind::Added, Kind::Changed, Kind::Removed}, changeName);
    change.resource = readEnum<ResourceKind>(
        reader,
        "resource",
        reader.string("resource"),
        {ResourceKind::Service, ResourceKind::Route, ResourceKind::LeavingTarget, ResourceKind::ClientAccount},
        resourceKindName);
    change.name = reader.string("name");
    const auto *before = change.kind == Kind::Added ? nullptr : reader.object("before");
    const auto *after = change.kind == Kind::Removed ? nullptr : reader.object("after");
    change.before = readResource(change.resource, before, reader.pathOf("before"), problems);
    change.after = readResource(change.resource, after, reader.pathOf("after"), problems);
    reader.finish();
    return change;
}

std::vector<Label> readLabels(const json &value, const std::string &path, JsonProblems &problems)
{
    const JsonReader reader(value, path, problems);
    std::vector<Label> labels;
    if (!value.is_object()) {
        // The reader has reported this in its constructor.
        return labels;
    }
    for (const auto &[name, text] : value.items()) {
        if (!text.is_string()) {
            problems.push_back({.path = reader.pathOf(name), .text = "must be a string"});
            continue;
        }
        if (!isLabelName(name)) {
            problems.push_back(
                {.path = reader.pathOf(name), .text = "has a name that is not 1..64 characters of [A-Za-z0-9._-]"});
        }
        if (!isLabelValue(text.get_ref<const std::string &>())) {
            problems.push_back({.path = reader.pathOf(name), .text = "must be 0..128 printable characters"});
        }
        labels.push_back({.name = name, .value = text.get<std::string>()});
    }
    std::sort(labels.begin(), labels.end());
    return labels;
}

} // namespace Hornbeam
