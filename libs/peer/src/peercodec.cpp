#include "peercodec.h"

#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t digestBytes = 32;
constexpr std::size_t maxZoneBytes = 128;

} // namespace

PeerWire::PushRequest toWire(const PushRequest &request)
{
    PeerWire::PushRequest wire;
    wire.set_version(request.version);
    wire.set_content_digest(request.contentDigest.bytes());
    wire.set_delta(request.delta);
    wire.set_zone(request.zone);
    wire.set_range_first(request.range.first);
    wire.set_range_last(request.range.last);
    wire.set_sender(request.sender.toString());
    return wire;
}

Result<PushRequest> fromWire(const PeerWire::PushRequest &wire)
{
    const auto sender = Endpoint::parse(wire.sender());
    if (!sender || wire.content_digest().size() != digestBytes || wire.zone().size() > maxZoneBytes
        || wire.range_first() > wire.range_last()) {
        return makeError(ErrorCode::InvalidArgument, "malformed push request");
    }
    return PushRequest{.version = wire.version(),
                       .contentDigest = Digest::fromBytes(wire.content_digest()),
                       .delta = wire.delta(),
                       .zone = wire.zone(),
                       .range = {.first = wire.range_first(), .last = wire.range_last()},
                       .sender = *sender};
}

PeerWire::PushReply toWire(const PushReply &reply)
{
    PeerWire::PushReply wire;
    wire.set_outcome(static_cast<PeerWire::PushReply::Outcome>(reply.outcome));
    wire.set_version(reply.version);
    return wire;
}

PushReply fromWire(const PeerWire::PushReply &wire)
{
    const bool known = PeerWire::PushReply::Outcome_IsValid(wire.outcome());
    return {.outcome = known ? static_cast<PushOutcome>(wire.outcome()) : PushOutcome::Refused,
            .version = wire.version()};
}

PeerWire::FetchRequest toWire(const FetchRequest &request)
{
    PeerWire::FetchRequest wire;
    wire.set_have_version(request.haveVersion);
    wire.set_have_digest(request.haveDigest.bytes());
    return wire;
}

FetchRequest fromWire(const PeerWire::FetchRequest &wire)
{
    return {.haveVersion = wire.have_version(), .haveDigest = Digest::fromBytes(wire.have_digest())};
}

std::string encodeFetchReply(const FetchReply &reply)
{
    PeerWire::FetchContent content;
    content.set_version(reply.version);
    for (const auto &delta : reply.deltas) {
        content.add_deltas(delta);
    }
    content.set_snapshot(reply.snapshot);
    return content.SerializeAsString();
}

Result<FetchReply> decodeFetchReply(const std::string &bytes)
{
    PeerWire::FetchContent content;
    if (!content.ParseFromString(bytes)) {
        return makeError(ErrorCode::InvalidArgument, "malformed response to a fetch");
    }
    FetchReply reply;
    reply.version = content.version();
    reply.deltas.assign(content.deltas().begin(), content.deltas().end());
    reply.snapshot = std::move(*content.mutable_snapshot());
    return reply;
}

} // namespace Hornbeam
