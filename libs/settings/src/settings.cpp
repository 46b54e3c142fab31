#include <hornbeam/settings/settings.h>

#include "jsonobjectreader.h"

namespace Hornbeam {

namespace {

using Problems = std::vector<SettingsProblem>;

std::uint32_t readCount(JsonObjectReader &reader, const char *key, std::uint32_t defaultValue, IntegerRange range)
{
    return static_cast<std::uint32_t>(reader.integer(key, defaultValue, range));
}

std::chrono::milliseconds readDuration(JsonObjectReader &reader,
                                       const char *key,
                                       std::chrono::milliseconds defaultValue,
                                       IntegerRange range)
{
    return std::chrono::milliseconds(reader.integer(key, defaultValue.count(), range));
}

NodeSettings readNode(JsonObjectReader reader)
{
    NodeSettings node;
    node.zone = reader.requiredName("zone");
    node.region = reader.requiredName("region");
    return node;
}

TrafficSettings readTraffic(JsonObjectReader reader)
{
    TrafficSettings traffic;
    traffic.listen = reader.requiredEndpoint("listen");
    traffic.threads = readCount(reader, "threads", traffic.threads, {1, 64});
    traffic.maxConnections = readCount(reader, "maxConnections", traffic.maxConnections, {1, 100000});
    traffic.maxHeaderBytes = readCount(reader, "maxHeaderBytes", traffic.maxHeaderBytes, {1024, 1048576});
    traffic.maxQueuedRequests = readCount(reader, "maxQueuedRequests", traffic.maxQueuedRequests, {0, 100000});
    traffic.idleTimeout = readDuration(reader, "idleTimeoutMs", traffic.idleTimeout, {100, 3600000});
    traffic.drainBound = readDuration(reader, "drainBoundMs", traffic.drainBound, {0, 3600000});
    traffic.retryBudgetPercent = readCount(reader, "retryBudgetPercent", traffic.retryBudgetPercent, {0, 100});
    traffic.slowStart = readDuration(reader, "slowStartMs", traffic.slowStart, {0, 600000});
    return traffic;
}

AdminSettings readAdmin(JsonObjectReader reader)
{
    return {.listen = reader.requiredEndpoint("listen")};
}

PeerSettings readPeer(JsonObjectReader reader)
{
    PeerSettings peer;
    peer.listen = reader.requiredEndpoint("listen");
    peer.advertise = reader.optionalEndpoint("advertise").value_or(peer.listen);
    peer.seeds = reader.endpoints("seeds", 0);
    return peer;
}

StoreSettings readStore(JsonObjectReader reader)
{
    StoreSettings store;
    store.endpoints = reader.endpoints("endpoints", 1);
    store.requestTimeout = readDuration(reader, "requestTimeoutMs", store.requestTimeout, {10, 60000});
    store.watchersPerZone = readCount(reader, "watchersPerZone", store.watchersPerZone, {1, 16});
    const auto retention = reader.integer("claimRetentionSeconds", store.claimRetention.count(), {60, 604800});
    store.claimRetention = std::chrono::seconds(retention);
    return store;
}

LogSettings readLog(JsonObjectReader reader)
{
    const auto level = reader.optionalString("level").value_or("info");
    if (level == "debug") {
        return {.level = LogLevel::Debug};
    }
    if (level == "warning") {
        return {.level = LogLevel::Warning};
    }
    if (level == "error") {
        return {.level = LogLevel::Error};
    }
    if (level != "info") {
        reader.report("level", "must be one of debug, info, warning, error");
    }
    return {.level = LogLevel::Info};
}

Settings readSettings(const nlohmann::json &document, Problems &problems)
{
    JsonObjectReader reader(document, "$", problems);
    Settings settings;
    settings.node = readNode(reader.object("node"));
    settings.traffic = readTraffic(reader.object("traffic"));
    settings.admin = readAdmin(reader.object("admin"));
    settings.peer = readPeer(reader.object("peer"));
    settings.store = readStore(reader.object("store"));
    settings.log = readLog(reader.optionalObject("log"));
    return settings;
}

} // namespace

tl::expected<Settings, std::vector<SettingsProblem>> Settings::parse(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded()) {
        return tl::unexpected(Problems{{.jsonPath = "$", .text = "is not valid JSON"}});
    }
    Problems problems;
    auto settings = readSettings(document, problems);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return settings;
}

} // namespace Hornbeam
