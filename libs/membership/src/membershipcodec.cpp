#include "membershipcodec.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::size_t maxIdBytes = 64;
constexpr std::size_t maxNameBytes = 128;
constexpr int maxTargetsPerMember = 8;
constexpr int maxLabelsPerTarget = 16;
constexpr std::uint32_t maxSlots = 10000;
constexpr std::uint32_t maxRumorMilliseconds = 3600000;
constexpr int maxBuckets = 256;
constexpr std::size_t digestBytes = 32;

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameBytes;
}

bool isValidId(const std::string &id)
{
    return !id.empty() && id.size() <= maxIdBytes;
}

bool isValidEndpoint(const std::string &text)
{
    return Endpoint::parse(text).has_value();
}

bool isValidLabel(const Wire::Label &label)
{
    return isValidName(label.name()) && label.value().size() <= maxNameBytes;
}

bool isValidTarget(const Wire::Target &target)
{
    return isValidEndpoint(target.address()) && isValidName(target.service()) && target.zone().size() <= maxNameBytes
        && target.name().size() <= maxNameBytes && target.version().size() <= maxNameBytes
        && (target.gateway().empty() || isValidEndpoint(target.gateway())) && target.slots() >= 1
        && target.slots() <= maxSlots && target.labels_size() <= maxLabelsPerTarget
        && std::all_of(target.labels().begin(), target.labels().end(), isValidLabel);
}

bool isLive(Wire::State state)
{
    return state == Wire::ALIVE || state == Wire::SUSPECT;
}

bool isValidUpdate(const Wire::MemberUpdate &update)
{
    if (!isValidId(update.id()) || update.incarnation() > maxIncarnation || !Wire::State_IsValid(update.state())) {
        return false;
    }
    if (!isLive(update.state())) {
        return true;
    }
    return isValidName(update.zone()) && isValidEndpoint(update.address())
        && update.targets_size() <= maxTargetsPerMember
        && std::all_of(update.targets().begin(), update.targets().end(), isValidTarget);
}

bool isValidRumor(const Wire::Rumor &rumor)
{
    return rumor.request_digest().size() == digestBytes && isValidEndpoint(rumor.target())
        && rumor.time_to_live_ms() >= 1 && rumor.time_to_live_ms() <= maxRumorMilliseconds;
}

bool isValidBody(const Wire::Datagram &datagram)
{
    switch (datagram.body_case()) {
    case Wire::Datagram::BODY_NOT_SET:
        return false;
    case Wire::Datagram::kPingRequest:
        return isValidEndpoint(datagram.ping_request().target_address());
    case Wire::Datagram::kBucketDigests:
        return datagram.bucket_digests().buckets_size() == maxBuckets;
    case Wire::Datagram::kPayload:
        return datagram.payload().content().size() <= maxPayloadBytes;
    case Wire::Datagram::kTableRequest:
        return datagram.table_request().first() <= datagram.table_request().last();
    default:
        return true;
    }
}

Wire::Target toWire(const Target &target, const std::string &memberZone)
{
    Wire::Target wire;
    wire.set_address(target.address.toString());
    wire.set_service(target.service);
    if (target.zone != memberZone) {
        wire.set_zone(target.zone);
    }
    for (const auto &label : target.labels) {
        auto *added = wire.add_labels();
        added->set_name(label.name);
        added->set_value(label.value);
    }
    wire.set_slots(target.slots);
    wire.set_leaving(target.state == TargetState::Leaving);
    wire.set_instance(target.instance);
    wire.set_name(target.name);
    if (target.isBehindGateway()) {
        wire.set_gateway(target.gateway.toString());
    }
    wire.set_version(target.version);
    return wire;
}

Target fromWire(const Wire::Target &wire, const std::string &memberZone)
{
    Target target;
    target.address = endpointFromWire(wire.address());
    target.service = wire.service();
    target.zone = wire.zone().empty() ? memberZone : wire.zone();
    for (const auto &label : wire.labels()) {
        target.labels.push_back({.name = label.name(), .value = label.value()});
    }
    std::sort(target.labels.begin(), target.labels.end());
    target.slots = wire.slots();
    target.state = wire.leaving() ? TargetState::Leaving : TargetState::Serving;
    target.instance = wire.instance();
    target.name = wire.name();
    if (!wire.gateway().empty()) {
        target.gateway = endpointFromWire(wire.gateway());
    }
    target.version = wire.version();
    return target;
}

} // namespace

std::optional<Wire::Datagram> decodeDatagram(std::string_view bytes)
{
    Wire::Datagram datagram;
    if (bytes.size() > maxDatagramBytes || !datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    const bool valid = isValidId(datagram.sender_id()) && isValidEndpoint(datagram.sender_address())
        && datagram.incarnation() <= maxIncarnation && isValidBody(datagram)
        && std::all_of(datagram.updates().begin(), datagram.updates().end(), isValidUpdate)
        && std::all_of(datagram.rumors().begin(), datagram.rumors().end(), isValidRumor)
        && std::all_of(datagram.refutations().begin(), datagram.refutations().end(), isValidRumor);
    if (!valid) {
        return std::nullopt;
    }
    return datagram;
}

Wire::MemberUpdate toWire(const Member &member)
{
    Wire::MemberUpdate update;
    update.set_id(member.id);
    update.set_incarnation(member.incarnation);
    update.set_state(static_cast<Wire::State>(member.state));
    if (!isLive(update.state())) {
        return update;
    }
    update.set_zone(member.zone);
    update.set_address(member.peerAddress.toString());
    update.set_config_version(member.configVersion);
    update.set_store_watcher(member.storeWatcher);
    for (const auto &target : member.targets) {
        *update.add_targets() = toWire(target, member.zone);
    }
    return update;
}

Member fromWire(const Wire::MemberUpdate &update)
{
    Member member;
    member.id = update.id();
    member.incarnation = update.incarnation();
    member.state = static_cast<MemberState>(update.state());
    if (!isLive(update.state())) {
        return member;
    }
    member.zone = update.zone();
    member.peerAddress = endpointFromWire(update.address());
    member.configVersion = update.config_version();
    member.storeWatcher = update.store_watcher();
    for (const auto &target : update.targets()) {
        member.targets.push_back(fromWire(target, member.zone));
    }
    std::sort(member.targets.begin(), member.targets.end());
    return member;
}

Wire::Rumor toWire(const Rumor &rumor)
{
    Wire::Rumor wire;
    wire.set_request_digest(rumor.request.bytes());
    wire.set_target(rumor.target.toString());
    wire.set_time_to_live_ms(static_cast<std::uint32_t>(rumor.timeToLive.count()));
    wire.set_event(rumor.event);
    return wire;
}

Rumor fromWire(const Wire::Rumor &wire, bool refuted)
{
    return {.request = Digest::fromBytes(wire.request_digest()),
            .target = endpointFromWire(wire.target()),
            .event = wire.event(),
            .refuted = refuted,
            .timeToLive = std::chrono::milliseconds(wire.time_to_live_ms())};
}

void append(Wire::Datagram &datagram, const Rumor &rumor)
{
    *(rumor.refuted ? datagram.add_refutations() : datagram.add_rumors()) = toWire(rumor);
}

Endpoint endpointFromWire(const std::string &text)
{
    return Endpoint::parse(text).value_or(Endpoint());
}

} // namespace Hornbeam
