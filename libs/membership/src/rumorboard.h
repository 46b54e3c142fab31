#pragma once

#include <hornbeam/base/timerservice.h>

#include "membershipcodec.h"

#include <map>
#include <utility>
#include <vector>

namespace Hornbeam {

/** Rumors that this node knows, with their expiry. A rumor is identified by request digest and target. */
class RumorBoard
{
public:
    /** Further rumors are ignored; bounds the memory that a peer can occupy. */
    static constexpr std::size_t maxRumors = 4096;

    RumorBoard(TimerService &timers, std::uint32_t retransmissions);

    /** Returns true when the rumor is new. A known one is not extended, so that its copies die out. */
    bool add(const Rumor &rumor);

    bool hasFresh() const
    {
        return !m_fresh.empty();
    }

    /** Moves fresh rumors into @p datagram until it is full; they are repeated later. */
    void takeFresh(Wire::Datagram &datagram);

    /** Appends rumors that still have repetitions left until @p datagram is full. */
    void piggyback(Wire::Datagram &datagram);

    /** Appends all rumors that fit, for a node that joins. */
    void appendAll(Wire::Datagram &datagram) const;

    /** Rumors that have not expired. */
    std::vector<Rumor> active() const;

    /** Removes rumors that expired some time ago. */
    void sweep();

private:
    using Key = std::pair<Digest, Endpoint>;

    struct Item
    {
        TimePoint expiry;
        std::uint32_t remaining = 0;
        bool fresh = true;
    };

    bool append(Wire::Datagram &datagram, const Key &key, const Item &item) const;

    TimerService &m_timers;
    std::uint32_t m_retransmissions;
    std::map<Key, Item> m_items;
    std::vector<Key> m_fresh;
    std::size_t m_repeated = 0; ///< Items with repetitions left.
};

} // namespace Hornbeam
