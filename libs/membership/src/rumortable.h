#pragma once

#include <hornbeam/base/timerservice.h>

#include "membershipcodec.h"

#include <map>
#include <vector>

namespace Hornbeam {

/**
 * Rumors that this node knows, with their expiry and retransmissions. A rumor is identified by all of its members
 * except the time to live.
 */
class RumorTable
{
public:
    /** Bounds the memory that a peer can make this node use; further rumors are ignored. */
    static constexpr std::size_t maxRumors = 4096;

    RumorTable(TimerService &timers, std::uint32_t retransmissions);

    /**
     * Adds a rumor. Returns false, without effect, if the rumor is known, its time to live is not in 1 ms..1 h or the
     * table is full. A known rumor keeps its expiry; otherwise the copies in circulation would extend it forever.
     */
    bool add(const Rumor &rumor);

    /** Whether rumors wait to be gossiped. */
    bool hasPending() const
    {
        return !m_pending.empty();
    }

    /** Moves rumors that wait to be gossiped into @p datagram until it is full. Skips those that have expired. */
    void takePending(Wire::Datagram &datagram);

    /** Appends rumors that have retransmissions left to @p datagram while they fit. */
    void piggyback(Wire::Datagram &datagram);

    /** Appends all rumors that fit; with the last table page, a joining node receives them. */
    void appendAll(Wire::Datagram &datagram) const;

    /** Returns the rumors that have not expired. */
    std::vector<Rumor> active() const;

    /** Removes rumors whose retention after the expiry has ended. */
    void sweep();

private:
    struct Key
    {
        Digest request;
        Endpoint target;
        std::uint64_t event = 0;
        bool refuted = false;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    struct Item
    {
        TimePoint expiry;
        std::uint32_t retransmissionsLeft = 0;
        bool pending = true; ///< Waits to be gossiped.
    };

    static Rumor makeRumor(const Key &key, std::chrono::milliseconds timeLeft);
    bool append(Wire::Datagram &datagram, const Key &key, const Item &item) const;

    TimerService &m_timers;
    std::uint32_t m_retransmissions;
    std::map<Key, Item> m_items;
    std::vector<Key> m_pending;
    std::size_t m_retransmitting = 0; ///< Upper bound of the number of items with retransmissions left.
};

} // namespace Hornbeam
