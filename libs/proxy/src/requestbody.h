#pragma once

#include "httpstream.h"

#include <cstdint>
#include <string>

namespace Hornbeam {

/** The body of a caller's request: its first part in memory, the rest read on demand. */
class RequestBody
{
public:
    enum class Result {
        Ok,
        TooLarge, ///< Larger than the service allows.
        Failed, ///< The caller disconnected, stalled or sent malformed chunks.
    };

    /** @p maxBytes: bound of the whole body. */
    RequestBody(HttpStream &caller, std::uint64_t maxBytes);

    /** Reads until the buffered part has at least @p limit bytes or the body is complete. */
    asio::awaitable<Result> buffer(std::size_t limit, TimePoint deadline);

    /** Reads the next piece after the buffered part into @p piece; an empty piece is the end. */
    asio::awaitable<Result> next(std::string &piece, TimePoint deadline);

    const std::string &buffered() const
    {
        return m_buffered;
    }

    /** Whether the whole body has been read from the caller. */
    bool isComplete() const;

    /** Whether the buffered part is the whole body, so that the request can be sent again. */
    bool isReplayable() const
    {
        return isComplete() && !m_streamed;
    }

    /** Whether a part of the body after the buffered one was handed out and cannot be sent again. */
    bool isPartlyConsumed() const
    {
        return m_streamed;
    }

private:
    asio::awaitable<Result> read(TimePoint deadline);
    asio::awaitable<void> sendContinue(TimePoint deadline);

    HttpStream &m_caller;
    std::uint64_t m_maxBytes;
    std::uint64_t m_received = 0;
    std::string m_buffered;
    bool m_streamed = false;
    bool m_continueSent = false;
};

} // namespace Hornbeam
