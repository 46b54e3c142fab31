#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/dissemination/peermessages.h>

#include "peer.pb.h"

namespace Hornbeam {

namespace PeerWire = hornbeam::peer::wire;

/** Bound of one gRPC message: a push, or a chunk of a fetched content. */
constexpr int maxPeerMessageBytes = 512 * 1024;

/** Bound of a chunk's data; leaves room for the framing of the message. */
constexpr std::size_t chunkBytes = std::size_t(256) * 1024;

/** Bound of a whole fetched content. */
constexpr std::size_t maxFetchBytes = 16 << 20;

PeerWire::PushRequest toWire(const PushRequest &request);

/** InvalidArgument for a malformed address, digest or range. */
Result<PushRequest> fromWire(const PeerWire::PushRequest &wire);

PeerWire::PushReply toWire(const PushReply &reply);
PushReply fromWire(const PeerWire::PushReply &wire);

PeerWire::FetchRequest toWire(const FetchRequest &request);
FetchRequest fromWire(const PeerWire::FetchRequest &wire);

/** Encodes the reply for transfer in chunks. */
std::string encodeFetchReply(const FetchReply &reply);

/** Decodes what encodeFetchReply() wrote. InvalidArgument for malformed bytes. */
Result<FetchReply> decodeFetchReply(const std::string &bytes);

} // namespace Hornbeam
