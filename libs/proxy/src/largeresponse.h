#pragma once

#include "linkpacer.h"

#include <cstddef>

namespace Hornbeam {

/** Registers a response that is expected to be large with the LinkPacer, from the choice of its target to its end. */
class LargeResponse
{
public:
    /** @p link must outlive the object. */
    LargeResponse(LinkPacer &link, TimePoint deadline)
        : m_link(link)
        , m_id(link.largeResponseStarted(deadline))
    {
    }

    LargeResponse(const LargeResponse &) = delete;
    LargeResponse &operator=(const LargeResponse &) = delete;

    ~LargeResponse()
    {
        m_link.largeResponseEnded(m_size, m_id);
    }

    /** Records the size of the response, which its head or its end has shown; call it before any byte is sent. */
    void announced(std::size_t bytes)
    {
        m_link.largeResponseAnnounced(bytes, m_id);
        m_announced = true;
    }

    /** Time that the link needs for the other large responses with a deadline of at most @p deadline. */
    Duration waitForOthers(TimePoint deadline) const
    {
        return m_link.largeResponseWait(deadline, m_id);
    }

    bool isAnnounced() const
    {
        return m_announced;
    }

    /** Records an earlier deadline. */
    void limitDeadline(TimePoint deadline)
    {
        m_link.largeResponseLimited(deadline, m_id);
    }

    /** Records that @p bytes have been sent. */
    void sent(std::size_t bytes)
    {
        m_link.largeResponseSent(bytes, m_id);
    }

    /** Records the size of a response that has been forwarded completely, unless it was announced. */
    void complete(std::size_t size)
    {
        m_size = m_announced ? 0 : size;
    }

private:
    LinkPacer &m_link;
    const std::uint64_t m_id;
    std::size_t m_size = 0; ///< 0 until the response is complete, and if its size was announced.
    bool m_announced = false;
};

} // namespace Hornbeam
