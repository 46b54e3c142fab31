#pragma once

#include <hornbeam/base/error.h>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

enum class FaultKind {
    Cut, ///< Resets the matching connections and every new one; drops datagrams.
    Silent, ///< The connections that exist now pass no more bytes and stay open, for good; new ones work.
    BlackHole, ///< Holds the bytes of existing and new connections until the rule is cleared; drops datagrams.
    Delay, ///< Delays bytes and datagrams by a fixed time plus a random one; bytes of a connection stay in order.
    Loss, ///< Drops datagrams with a probability.
    Duplicate, ///< Sends datagrams twice with a probability.
    Reorder, ///< Delays datagrams with a probability, so that later ones overtake them.
    DropResponse, ///< Discards a response after its request was forwarded.
};

/** Direction relative to the side that opened the connection. Datagrams always travel forward. */
enum class FlowDirection {
    Forward,
    Backward,
};

enum class DirectionFilter {
    Both,
    Forward,
    Backward,
};

enum class FlowProtocol {
    Tcp,
    Udp,
};

enum class ProtocolFilter {
    Any,
    Tcp,
    Udp,
};

/** What becomes of a connection whose response was dropped. */
enum class AfterDrop {
    Reset,
    Silence,
};

/** Where bytes come from and where they go. */
struct Flow
{
    std::string source; ///< IP address that opened the connection or sent the datagram.
    std::string link; ///< Name of the link.

    friend auto operator<=>(const Flow &, const Flow &) = default;
};

/** One fault and the flows it applies to. */
struct FaultRule
{
    std::string id; ///< Names the rule for its removal.
    FaultKind kind = FaultKind::Cut;
    std::set<std::string> sources; ///< Source IP addresses; empty matches all.
    std::set<std::string> links; ///< Names of links; empty matches all.
    DirectionFilter direction = DirectionFilter::Both;
    ProtocolFilter protocol = ProtocolFilter::Any;
    std::chrono::microseconds delay{0}; ///< For Delay and Reorder.
    std::chrono::microseconds jitter{0}; ///< For Delay: upper bound of the random part.
    double probability = 1; ///< For Loss, Duplicate and Reorder. 0..1.
    std::uint32_t count = 0; ///< For DropResponse: how many responses to drop; 0 is no limit.
    std::vector<std::string> requestContains; ///< For DropResponse: texts that all occur in the request.
    AfterDrop afterDrop = AfterDrop::Reset; ///< For DropResponse.

    bool matches(const Flow &flow) const;
    bool matches(const Flow &flow, FlowDirection flowDirection, FlowProtocol flowProtocol) const;

    friend bool operator==(const FaultRule &, const FaultRule &) = default;
};

/** Reads a rule of the control API. InvalidArgument names the first wrong member. */
Result<FaultRule> parseFaultRule(const nlohmann::json &value);

} // namespace Hornbeam
