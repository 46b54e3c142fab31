#include <hornbeam/settings/settings.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::size_t maxNameLength = 128;

/** Part of the grace period in which the process exits after its last response. */
constexpr std::chrono::milliseconds exitTime{500};

const nlohmann::json emptyObject = nlohmann::json::object();

// Names become parts of store keys and metric labels, so their characters are restricted.
bool isName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

/** Reads the members of one object of the settings. Absent optional members have their default values. */
class Section
{
public:
    /** @p value is null when the object is absent; the reader of the parent object reports this if it is required. */
    Section(const nlohmann::json *value, std::string path, JsonProblems &problems)
        : m_reader(value != nullptr ? *value : emptyObject, std::move(path), problems)
        , m_present(value != nullptr)
    {
    }

    ~Section()
    {
        m_reader.finish();
    }

    Section(const Section &) = delete;
    Section &operator=(const Section &) = delete;

    std::string name(const char *key)
    {
        const auto text = string(key);
        if (text && !isName(*text)) {
            m_reader.report(key, "must be 1..128 characters of [a-z0-9-]");
        }
        return text.value_or("");
    }

    Endpoint endpoint(const char *key)
    {
        const auto text = string(key);
        return text ? parseEndpoint(m_reader.pathOf(key), *text) : Endpoint();
    }

    std::optional<Endpoint> optionalEndpoint(const char *key)
    {
        const auto text = m_reader.optionalString(key);
        return text ? std::optional(parseEndpoint(m_reader.pathOf(key), *text)) : std::nullopt;
    }

    std::vector<Endpoint> endpoints(const char *key)
    {
        std::vector<Endpoint> result;
        for (const auto &text : m_reader.optionalStrings(key)) {
            const auto index = "[" + std::to_string(result.size()) + "]";
            result.push_back(parseEndpoint(m_reader.pathOf(key) + index, text));
        }
        return result;
    }

    std::uint32_t count(const char *key, std::uint32_t defaultValue, UnsignedRange range)
    {
        return static_cast<std::uint32_t>(m_reader.optionalUnsigned(key, range).value_or(defaultValue));
    }

    template <typename D>
    D duration(const char *key, D defaultValue, UnsignedRange range)
    {
        const auto n = m_reader.optionalUnsigned(key, range);
        return n ? D(static_cast<std::int64_t>(*n)) : defaultValue;
    }

    JsonReader &reader()
    {
        return m_reader;
    }

private:
    std::optional<std::string> string(const char *key)
    {
        if (!m_present) {
            return std::nullopt;
        }
        return m_reader.string(key);
    }

    Endpoint parseEndpoint(std::string path, const std::string &text)
    {
        const auto endpoint = Endpoint::parse(text);
        if (!endpoint) {
            m_reader.problems().push_back({.path = std::move(path), .text = endpoint.error().message()});
        }
        return endpoint.value_or(Endpoint());
    }

    JsonReader m_reader;
    bool m_present;
};

NodeSettings readNode(Section section)
{
    NodeSettings node{.zone = section.name("zone"), .region = section.name("region")};
    node.targetService = section.reader().optionalString("targetService").value_or("");
    return node;
}

/** The time limit of a graceful shutdown: either set directly or derived from the time after which the host kills. */
std::chrono::milliseconds readDrainBound(Section &section, std::chrono::milliseconds defaultValue)
{
    constexpr const char *graceKey = "stopGraceSeconds";
    const auto grace = section.reader().optionalNumber(graceKey, {.minimum = 1, .maximum = 3600});
    const auto bound = section.reader().optionalUnsigned("drainBoundMs", {0, 3600000});
    if (grace && bound) {
        section.reader().report(graceKey, "must not be set together with drainBoundMs");
    }
    if (grace) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(*grace)) - exitTime;
    }
    return bound ? std::chrono::milliseconds(*bound) : defaultValue;
}

TrafficSettings readTraffic(Section section)
{
    TrafficSettings traffic;
    traffic.listen = section.endpoint("listen");
    traffic.threads = section.count("threads", traffic.threads, {1, 64});
    traffic.maxConnections = section.count("maxConnections", traffic.maxConnections, {1, 100000});
    traffic.maxHeaderBytes = section.count("maxHeaderBytes", traffic.maxHeaderBytes, {1024, 1048576});
    traffic.maxQueuedRequests = section.count("maxQueuedRequests", traffic.maxQueuedRequests, {0, 100000});
    traffic.maxBufferedBytes = section.count("maxBufferedBytes", traffic.maxBufferedBytes, {65536, 1073741824});
    traffic.idleTimeout = section.duration("idleTimeoutMs", traffic.idleTimeout, {100, 3600000});
    traffic.drainBound = readDrainBound(section, traffic.drainBound);
    traffic.retryBudgetPercent = section.count("retryBudgetPercent", traffic.retryBudgetPercent, {0, 100});
    traffic.relayListen = section.optionalEndpoint("relayListen");
    traffic.retryBudgetRatio =
        section.reader().optionalNumber("retryBudgetRatio", {.minimum = 0, .maximum = 1}).value_or(0);
    traffic.targetPace = section.reader().optionalBool("targetPace").value_or(traffic.targetPace);
    traffic.linkMegabitsPerSecond =
        section.reader().optionalNumber("linkMegabitsPerSecond", {.minimum = 0, .maximum = 1e6}).value_or(0);
    traffic.retryBudgetReserve = section.count("retryBudgetReserve", traffic.retryBudgetReserve, {0, 100000});
    traffic.stopNotice = section.duration("stopNoticeMs", traffic.stopNotice, {0, 60000});
    traffic.slowStart = section.duration("slowStartMs", traffic.slowStart, {0, 600000});
    return traffic;
}

AdminSettings readAdmin(Section section)
{
    AdminSettings admin;
    admin.listen = section.endpoint("listen");
    admin.healthListen = section.optionalEndpoint("healthListen");
    admin.metricsListen = section.optionalEndpoint("metricsListen");
    return admin;
}

PeerSettings readPeer(Section section)
{
    PeerSettings peer;
    peer.listen = section.endpoint("listen");
    peer.advertise = section.optionalEndpoint("advertise").value_or(peer.listen);
    peer.seeds = section.endpoints("seeds");
    return peer;
}

StoreSettings readStore(Section section)
{
    StoreSettings store;
    store.endpoints = section.endpoints("endpoints");
    if (store.endpoints.empty()) {
        section.reader().report("endpoints", "must be an array of at least one endpoint");
    }
    store.requestTimeout = section.duration("requestTimeoutMs", store.requestTimeout, {10, 60000});
    store.watchersPerZone = section.count("watchersPerZone", store.watchersPerZone, {1, 16});
    store.claimRetention = section.duration("claimRetentionSeconds", store.claimRetention, {60, 604800});
    return store;
}

RolloutSettings readRollout(Section section)
{
    RolloutSettings rollout;
    rollout.canaryShare =
        section.reader().optionalNumber("canaryShare", {.minimum = 0, .maximum = 1}).value_or(rollout.canaryShare);
    rollout.canarySlack = section.count("canarySlack", rollout.canarySlack, {0, 100000});
    rollout.rollbackTime = section.duration("rollbackMs", rollout.rollbackTime, {500, 600000});
    return rollout;
}

LogSettings readLog(Section section)
{
    const auto level = section.reader().optionalString("level").value_or("info");
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
        section.reader().report("level", "must be one of debug, info, warning, error");
    }
    return {.level = LogLevel::Info};
}

Environment readEnvironment(JsonReader &reader)
{
    const auto text = reader.optionalString("environment").value_or("standalone");
    if (text != "standalone" && text != "platform") {
        reader.report("environment", "must be one of standalone, platform");
    }
    return text == "platform" ? Environment::Platform : Environment::Standalone;
}

Settings readSettings(const nlohmann::json &document, JsonProblems &problems)
{
    JsonReader reader(document, "$", problems);
    const auto required = [&](const char *key) {
        return Section(reader.object(key), reader.pathOf(key), problems);
    };
    Settings settings;
    settings.environment = readEnvironment(reader);
    settings.node = readNode(required("node"));
    settings.traffic = readTraffic(required("traffic"));
    settings.admin = readAdmin(required("admin"));
    settings.peer = readPeer(required("peer"));
    settings.store = readStore(required("store"));
    if (const auto *rollout = reader.optionalObject("rollout")) {
        settings.rollout = readRollout(Section(rollout, reader.pathOf("rollout"), problems));
    }
    settings.log = readLog(Section(reader.optionalObject("log"), reader.pathOf("log"), problems));
    reader.finish();
    return settings;
}

} // namespace

tl::expected<Settings, JsonProblems> Settings::parse(std::string_view json)
{
    const auto document = parseJson(json);
    if (!document) {
        return tl::unexpected(JsonProblems{document.error()});
    }
    JsonProblems problems;
    auto settings = readSettings(*document, problems);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return settings;
}

} // namespace Hornbeam
