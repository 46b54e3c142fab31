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

/** What happens to one datagram. */
struct DatagramFate
{
    int copies = 1; ///< 0 when the datagram is dropped.
    std::chrono::microseconds delay{0};
};

/** The rules in effect, and the random decisions they need. Used on the proxy's only thread. */
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

    /** Whether a connection of this flow is cut. */
    bool cuts(const Flow &flow) const;

    /** Whether bytes in this direction of a connection are held back for now. */
    bool holds(const Flow &flow, FlowDirection direction) const;

    /** Completes when the rules change. */
    asio::awaitable<void> changed();

    /** Delay of the next bytes of a connection. */
    std::chrono::microseconds streamDelay(const Flow &flow, FlowDirection direction);

    DatagramFate datagramFate(const Flow &flow);

    /** Uses up one response drop if a rule asks for it. @p request holds the bytes sent since the last response. */
    std::optional<AfterDrop> takeResponseDrop(const Flow &flow, std::string_view request);

private:
    std::chrono::microseconds randomDelay(const FaultRule &rule);
    bool happens(double probability);
    void notify();

    std::vector<FaultRule> m_rules;
    std::mt19937_64 m_random;
    asio::steady_timer m_changed;
};

} // namespace Hornbeam
