#pragma once

#include <hornbeam/base/timerservice.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace Hornbeam {

/**
 * Decides which of several large responses sends its next piece over the host's link: the one with the earliest
 * deadline. If responses shared the link evenly, all of them would end late, and one whose caller's node is about to
 * stop would wait for others that have more time. While a response writes a piece, the second one has the link, so that
 * a caller that reads slowly does not hold it. It is designed for more large responses than the link can transfer at
 * the same time; how many are admitted is decided elsewhere. Thread-safe.
 */
class LinkQueue
{
public:
    /** The next piece of a response. Responses with the same deadline are sent in the order of their numbers. */
    struct Ticket
    {
        TimePoint deadline;
        std::uint64_t response = 0; ///< Number of the response.

        friend auto operator<=>(const Ticket &, const Ticket &) = default;
    };

    /** Returns the number of a new response. */
    std::uint64_t nextResponse();

    /**
     * Adds the next piece of a response that has none in the queue. @p granted is called once when the link is granted
     * to it, on the thread that calls leave(), unless isGranted() is true at once. Must not block.
     */
    void enter(const Ticket &ticket, std::function<void()> granted);

    bool isGranted(const Ticket &ticket) const;

    /** Changes the deadline of a piece in the queue; @p changed has the same response number. */
    void change(const Ticket &ticket, const Ticket &changed);

    /** Removes a piece and grants the link to the next one if it had been granted to this one. */
    void leave(const Ticket &ticket);

private:
    mutable std::mutex m_mutex;
    std::map<Ticket, std::function<void()>> m_waiting;
    std::optional<Ticket> m_granted;
    std::uint64_t m_nextResponse = 0;
};

} // namespace Hornbeam
