#pragma once

#include "callcontext.h"
#include "upstreamexchange.h"

#include <hornbeam/claims/recordedresponse.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Streams the response of an UpstreamExchange to the caller. */
class ResponseForwarder
{
public:
    ResponseForwarder(CallContext &call, UpstreamExchange &exchange);

    /** Also records the response, so that it can be replayed. A body too large for the claim store is omitted. */
    void record();

    /**
     * Forwards the response whose head has been read. Returns whether the target sent the whole response. If it did
     * not, the caller's connection is reset, so that the caller cannot mistake the response for a complete one. A
     * response that is being recorded is read to its end even if the caller disconnects.
     */
    asio::awaitable<bool> forward();

    /** Whether the response is incomplete because the caller disconnected or did not read it in time. */
    bool callerFailed() const
    {
        return m_callerFailed && !m_overran;
    }

    /** Whether the connection to the caller failed before the whole response was written. */
    bool isUndelivered() const
    {
        return m_callerFailed;
    }

    /** Bytes of the body that have been received from the target. */
    std::size_t bodyBytes() const
    {
        return m_bodyBytes;
    }

    const RecordedResponse &recorded() const
    {
        return *m_record;
    }

private:
    asio::awaitable<std::string> formatHead(bool hasBody);
    asio::awaitable<void> write(const std::string &head, bool chunked);
    asio::awaitable<void> writePiece(std::string_view head, std::string_view piece, bool chunked, bool last);
    asio::awaitable<void> waitForLink(std::size_t bytes);
    std::size_t pieceBytes() const;
    bool isPaced() const;
    void recordBody(const std::string &piece);

    CallContext &m_call;
    UpstreamExchange &m_exchange;
    const std::uint64_t m_responseNumber; ///< In the queue for the host's link.
    std::optional<RecordedResponse> m_record;
    std::size_t m_bodyBytes = 0;
    bool m_keepAlive = false;
    bool m_callerFailed = false;
    bool m_overran = false; ///< The deadline passed although the caller was reading.
};

/** Sends the caller the response that was recorded for an earlier attempt at the same request. */
asio::awaitable<void> replayResponse(CallContext &call, const RecordedResponse &response);

} // namespace Hornbeam
