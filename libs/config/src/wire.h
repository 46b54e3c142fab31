#pragma once

#include <hornbeam/config/snapshot.h>

#include <string_view>

namespace Hornbeam {

namespace Wire {
class ClientAccount;
class Content;
class LeavingTarget;
class Route;
class Service;
class TrafficLimits;
} // namespace Wire

void toWire(const Service &service, Wire::Service &message);
void toWire(const Route &route, Wire::Route &message);
void toWire(const LeavingTarget &target, Wire::LeavingTarget &message);
void toWire(const ClientAccount &account, Wire::ClientAccount &message);
void toWire(const TrafficLimits &limits, Wire::TrafficLimits &message);
void toWire(const SnapshotContent &content, Wire::Content &message);

/** Appends the resources of @p message to @p content. InvalidArgument for unknown enum values, bad addresses and
 * bad digests. */
Result<void> appendFromWire(const Wire::Content &message, SnapshotContent &content);

/** Encodes sorted content; equal content has equal bytes. */
std::string encodeContent(const SnapshotContent &content);

/** Parses @p bytes into @p message; false for malformed bytes. */
template <typename Message>
bool parseWire(Message &message, std::string_view bytes)
{
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace Hornbeam
