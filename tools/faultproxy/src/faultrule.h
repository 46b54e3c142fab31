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
    Cut, ///< Resets existing and new connections; drops datagrams.
    Silent, ///< Discards all further bytes of existing connections, also after removal of the rule; new ones work.
    BlackHole, ///< Holds back bytes of existing and new connections until the rule is removed; drops datagrams.
    Delay, ///< Delays bytes and datagrams by a fixed time plus random jitter; bytes of a connection stay in order.
    Loss, ///< Drops datagrams with a probability.
    Duplicate, ///< Sends datagrams twice with a probability.
    Reorder, ///< Delays datagrams with a probability, so that later ones arrive first.
    DropResponse, ///< Discards the response to a request that was forwarded.
};

/** Direction of traffic: Forward is away from the side that opened the connection. Datagrams are always Forward. */
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

/** What happens to a connection after one of its responses was dropped. */
enum class AfterDrop {
    Reset, ///< Closes both sides with a TCP reset.
    Silence, ///< Keeps both sides open and discards all further bytes.
};

/** The source and the link of a connection or datagram. */
struct Flow
{
    std::string source; ///< IP address that opened the connection or sent the datagram.
    std::string link; ///< Name of the link that received it.

    friend auto operator<=>(const Flow &, const Flow &) = default;
};

/** One fault and the flows it applies to. */
struct FaultRule
{
    std::string id; ///< Identifies the rule in a removal request; need not be unique.
    FaultKind kind = FaultKind::Cut;
    std::set<std::string> sources; ///< Source IP addresses; empty matches any.
    std::set<std::string> links; ///< Link names; empty matches any.
    DirectionFilter direction = DirectionFilter::Both;
    ProtocolFilter protocol = ProtocolFilter::Any;
    std::chrono::microseconds delay{0}; ///< For Delay and Reorder.
    std::chrono::microseconds jitter{0}; ///< For Delay: maximum of the random part.
    double probability = 1; ///< For Loss, Duplicate and Reorder: 0..1.
    std::uint32_t count = 0; ///< For DropResponse: number of responses to drop; 0 is unlimited.
    std::vector<std::string> requestContains; ///< For DropResponse: substrings the request must all contain.
    AfterDrop afterDrop = AfterDrop::Reset; ///< For DropResponse.

    bool matches(const Flow &flow) const;
    bool matches(const Flow &flow, FlowDirection flowDirection, FlowProtocol flowProtocol) const;

    friend bool operator==(const FaultRule &, const FaultRule &) = default;
};

/** Parses a rule of the control API. Returns InvalidArgument with the first invalid member. */
Result<FaultRule> parseFaultRule(const nlohmann::json &value);

} // namespace Hornbeam
