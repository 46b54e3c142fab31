#pragma once

#include "faultrule.h"

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace Hornbeam {

/** How the proxy forwards one datagram. */
struct DatagramDecision
{
    int copies = 1; ///< Number of copies to send; 0 drops the datagram.
    std::chrono::microseconds delay{0};
};

/** The active rules and the random generator for their probabilities. Not thread-safe. */
class RuleSet
{
public:
    RuleSet(asio::io_context &context, std::uint64_t seed);

    void add(FaultRule rule);
    void remove(const std::string &id);
    void clear();

    const std::vector<FaultRule> &rules() const
    {
        return m_rules;
    }

    /** Whether connections of this flow are to be reset. */
    bool resetsConnections(const Flow &flow) const;

    /** Whether bytes of the flow's connections in this direction are to be held back until the rules change. */
    bool holdsBack(const Flow &flow, FlowDirection direction) const;

    /** Completes when the rules change. */
    asio::awaitable<void> waitForChange();

    /** Returns the delay for bytes that a connection of this flow just received, with jitter drawn anew. */
    std::chrono::microseconds streamDelay(const Flow &flow, FlowDirection direction);

    /** Decides randomly, as the rules say, how to forward the next datagram of this flow. */
    DatagramDecision decideDatagram(const Flow &flow);

    /**
     * Returns what to do with the connection if a rule drops the response to @p request, and counts the drop. A rule
     * is removed when its count is used up. @p request holds the bytes that the caller sent since the last response.
     */
    std::optional<AfterDrop> consumeResponseDrop(const Flow &flow, std::string_view request);

private:
    std::chrono::microseconds randomDelay(const FaultRule &rule);
    bool drawWithProbability(double probability);
    void notifyWaiters();

    std::vector<FaultRule> m_rules;
    std::mt19937_64 m_random;
    asio::steady_timer m_changed; ///< Never expires; cancelled when the rules change.
};

} // namespace Hornbeam
