#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/dissemination/peermessages.h>

#include "peer.pb.h"

namespace Hornbeam {

namespace PeerWire = hornbeam::peer::wire;

/** Maximum size of one gRPC message: a push, or a chunk of a response to a fetch. */
constexpr int maxPeerMessageBytes = 512 * 1024;

/** Size of a chunk's data; leaves room for the encoding of the message. */
constexpr std::size_t chunkBytes = std::size_t(256) * 1024;

/** Maximum size of a whole response to a fetch. */
constexpr std::size_t maxFetchBytes = 16 << 20;

PeerWire::PushRequest toWire(const PushRequest &request);

/** InvalidArgument for a malformed sender address, digest or range, or an oversized zone name. */
Result<PushRequest> fromWire(const PeerWire::PushRequest &wire);

PeerWire::PushReply toWire(const PushReply &reply);
PushReply fromWire(const PeerWire::PushReply &wire);

PeerWire::FetchRequest toWire(const FetchRequest &request);
FetchRequest fromWire(const PeerWire::FetchRequest &wire);

/** Encodes the reply as bytes that can be sent in chunks. */
std::string encodeFetchReply(const FetchReply &reply);

/** Decodes what encodeFetchReply() wrote. InvalidArgument for malformed bytes. */
Result<FetchReply> decodeFetchReply(const std::string &bytes);

} // namespace Hornbeam
