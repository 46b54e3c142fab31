#include <hornbeam/admin/announcement.h>

#include <hornbeam/config/configjson.h>
#include <hornbeam/config/snapshotvalidator.h>

#include <nlohmann/json.hpp>

namespace Hornbeam {

namespace {

constexpr std::uint64_t maxSlots = 10000;
constexpr std::uint64_t maxTimeToLiveMs = 3600000;
constexpr double maxLoad = 1e6;
constexpr std::size_t maxLabels = 16;

const char *stateName(TargetState state)
{
    return state == TargetState::Leaving ? "leaving" : "serving";
}

TargetState readState(JsonReader &reader)
{
    const auto text = reader.string("state");
    if (text != "serving" && text != "leaving") {
        reader.report("state", "must be one of \"serving\", \"leaving\"");
    }
    return text == "leaving" ? TargetState::Leaving : TargetState::Serving;
}

Announcement readAnnouncement(const Endpoint &address, const nlohmann::json &document, JsonProblems &problems)
{
    JsonReader reader(document, "$", problems);
    Announcement announcement;
    auto &target = announcement.target;
    target.address = address;
    target.service = reader.string("service");
    if (problems.empty() && !isResourceName(target.service)) {
        reader.report("service", "must be 1..128 characters of [a-z0-9-]");
    }
    target.slots = static_cast<std::uint32_t>(reader.unsignedNumber("slots", {.minimum = 1, .maximum = maxSlots}));
    if (const auto *labels = reader.optionalObject("labels")) {
        target.labels = readLabels(*labels, reader.pathOf("labels"), problems);
        if (labels->size() > maxLabels) {
            reader.report("labels", "has more than 16 elements");
        }
    }
    target.state = readState(reader);
    announcement.timeToLive =
        std::chrono::milliseconds(reader.unsignedNumber("ttlMs", {.minimum = 1, .maximum = maxTimeToLiveMs}));
    announcement.load = reader.optionalNumber("load", {.minimum = 0, .maximum = maxLoad}).value_or(0);
    target.instance = reader.optionalUnsigned("instance", {}).value_or(0);
    announcement.sequence = reader.optionalUnsigned("sequence", {}).value_or(0);
    target.name = reader.optionalString("name").value_or("");
    reader.finish();
    return announcement;
}

} // namespace

tl::expected<Announcement, JsonProblems> Announcement::parse(const Endpoint &address, std::string_view json)
{
    const auto document = parseJson(json);
    if (!document) {
        return tl::unexpected(JsonProblems{document.error()});
    }
    JsonProblems problems;
    auto announcement = readAnnouncement(address, *document, problems);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return announcement;
}

nlohmann::json toJson(const Target &target)
{
    auto labels = nlohmann::json::object();
    for (const auto &label : target.labels) {
        labels[label.name] = label.value;
    }
    return {{"address", target.address.toString()},
            {"service", target.service},
            {"zone", target.zone},
            {"slots", target.slots},
            {"labels", std::move(labels)},
            {"state", stateName(target.state)},
            {"instance", target.instance},
            {"name", target.name},
            {"gateway", target.isBehindGateway() ? target.gateway.toString() : std::string()}};
}

} // namespace Hornbeam
