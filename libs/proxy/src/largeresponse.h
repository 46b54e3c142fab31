#pragma once

#include "linkpacer.h"

#include <algorithm>
#include <cstddef>

namespace Hornbeam {

/** Registers a response that is expected to be large with the LinkPacer, from the choice of its target to its end. */
class LargeResponse
{
public:
    /** @p link must outlive the object. */
    explicit LargeResponse(LinkPacer &link)
        : m_link(link)
        , m_remaining(link.largeResponseStarted())
    {
    }

    LargeResponse(const LargeResponse &) = delete;
    LargeResponse &operator=(const LargeResponse &) = delete;

    ~LargeResponse()
    {
        m_link.largeResponseEnded(m_size, m_remaining);
    }

    /** Records that @p bytes have been sent. */
    void sent(std::size_t bytes)
    {
        const auto part = std::min(static_cast<double>(bytes), m_remaining);
        m_link.largeResponseSent(part);
        m_remaining -= part;
    }

    /** Records the size of a response that has been forwarded completely. */
    void complete(std::size_t size)
    {
        m_size = size;
    }

private:
    LinkPacer &m_link;
    double m_remaining; ///< Bytes that are expected to be sent.
    std::size_t m_size = 0; ///< 0 until the response is complete.
};

} // namespace Hornbeam
