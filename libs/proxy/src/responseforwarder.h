#pragma once

#include "callcontext.h"
#include "upstreamexchange.h"

#include <hornbeam/claims/recordedresponse.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Streams the response of an exchange to the caller. */
class ResponseForwarder
{
public:
    ResponseForwarder(CallContext &call, UpstreamExchange &exchange);

    /** Keeps a copy of the response; a body above the limit of the claims is omitted. */
    void record();

    /**
     * Forwards the response whose head has been read. Returns whether the target sent it completely. An incomplete
     * response leaves the caller's connection closed without the end of the message. A response that is recorded is
     * read to its end even when the caller disconnects.
     */
    asio::awaitable<bool> forward();

    /** Bytes of the body so far. */
    std::size_t bodyBytes() const
    {
        return m_bodyBytes;
    }

    const RecordedResponse &recorded() const
    {
        return *m_record;
    }

private:
    std::string formatHead(bool hasBody);
    asio::awaitable<void> write(const std::string &head, bool chunked);
    asio::awaitable<void> writePiece(std::string_view head, std::string_view piece, bool chunked, bool last);
    asio::awaitable<void> waitForLink(std::size_t bytes);
    std::size_t pieceBytes() const;
    bool isPaced() const;
    void recordBody(const std::string &piece);

    CallContext &m_call;
    UpstreamExchange &m_exchange;
    std::optional<RecordedResponse> m_record;
    std::size_t m_bodyBytes = 0;
    bool m_keepAlive = false;
    bool m_callerFailed = false;
};

/** Answers the caller with a response that an earlier attempt received. */
asio::awaitable<void> replayResponse(CallContext &call, const RecordedResponse &response);

} // namespace Hornbeam
