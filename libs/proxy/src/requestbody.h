#pragma once

#include "httpstream.h"

#include <cstdint>
#include <string>

namespace Hornbeam {

/** The body of a request: the first part is buffered in memory, the rest is read from the caller on demand. */
class RequestBody
{
public:
    enum class Result {
        Ok,
        TooLarge, ///< The body is larger than the service allows.
        NoRoom, ///< The BufferPool has no room for the body.
        Failed, ///< The caller disconnected, stopped sending or sent malformed chunks.
    };

    /**
     * @p head: of the request, must outlive the body. @p maxBytes: limit of the size of the whole body. @p pool: for
     * the buffered part.
     */
    RequestBody(HttpStream &caller, const HttpHead &head, std::uint64_t maxBytes, BufferPool &pool);

    /** Reads until at least @p limit bytes are buffered or the body is complete. */
    asio::awaitable<Result> buffer(std::size_t limit, TimePoint deadline);

    /** Reads the next part of the body after the buffered one into @p piece, which is empty at the end of the body. */
    asio::awaitable<Result> next(std::string &piece, TimePoint deadline);

    const std::string &buffered() const
    {
        return m_buffered;
    }

    /** Whether the whole body has been read from the caller. */
    bool isComplete() const
    {
        return m_complete;
    }

    /** Whether the whole body is buffered, so that the request can be sent again. */
    bool isReplayable() const
    {
        return isComplete() && !m_streamed;
    }

    /** Whether next() has returned a part of the body, which is not kept and cannot be sent again. */
    bool isPartlyConsumed() const
    {
        return m_streamed;
    }

private:
    asio::awaitable<Result> read(TimePoint deadline);
    asio::awaitable<void> sendContinue(TimePoint deadline);

    void updateComplete();

    HttpStream &m_caller;
    const HttpHead &m_head;
    std::uint64_t m_maxBytes;
    std::uint64_t m_received = 0;
    std::string m_buffered;
    BufferPool::Share m_share; ///< Of m_buffered.
    bool m_complete = false; ///< Remains valid when the connection reads its next request.
    bool m_streamed = false;
    bool m_continueSent = false;
};

} // namespace Hornbeam
