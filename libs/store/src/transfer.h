#pragma once

#include <hornbeam/base/timerservice.h>

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Hornbeam {

/** How one HTTP transfer ended. */
struct TransferResult
{
    CURLcode code = CURLE_OK;
    int status = 0; ///< HTTP status; 0 without a response.
    bool sent = false; ///< Part of the request may have reached the store.
    std::string body;
    std::string generation; ///< Value of TransferOptions::generationHeader in the response.
};

struct TransferOptions
{
    std::string url;
    std::string method = "POST"; ///< GET, POST or DELETE.
    std::string body;
    std::string localAddress;
    std::string generationHeader{}; ///< Lower-case name of the response header to keep; empty for none.
    std::chrono::milliseconds connectTimeout{0};
    std::chrono::milliseconds timeout{0}; ///< Limit for the whole transfer; 0 for none.
    bool freshConnection = false; ///< Do not reuse a pooled connection.
    std::chrono::seconds maxIdleAge{0}; ///< Do not reuse a connection that has been idle for longer.
    bool repeatable = false; ///< The request may be sent again if a pooled connection turns out to be closed.
};

/** One HTTP call on a libcurl easy handle. Used on the I/O thread only. */
class Transfer
{
public:
    /**
     * Largest body, and largest message of a watch. A transfer that exceeds it fails, so that a server cannot fill the
     * memory. A page of the store has about 1 MB of values, which JSON and base64 enlarge.
     */
    static constexpr std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;

    /** Receives body bytes as they arrive, instead of TransferResult::body. Returns false to fail the transfer. */
    using BodySink = std::function<bool(std::string_view)>;

    explicit Transfer(TransferOptions options);
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    CURL *handle() const
    {
        return m_handle;
    }

    void setBodySink(BodySink sink);

    /** Ends the transfer; the body sink is not called afterwards. */
    TransferResult finish(CURLcode code);

    /** HTTP status so far; 0 before the response header. */
    int status() const;

    /** Bytes of the request on the wire so far, HTTP header included. */
    std::uint64_t bytesSent() const;

    /** Bytes of the response on the wire so far, HTTP header and chunk framing included. */
    std::uint64_t bytesReceived() const
    {
        return m_bytesReceived;
    }

    /** When bytes of the response last arrived, or the start of the transfer. */
    TimePoint lastActivity() const
    {
        return m_lastActivity;
    }

    TimePoint started() const
    {
        return m_started;
    }

private:
    static int setSocketOptions(void *self, curl_socket_t socket, curlsocktype purpose);
    static std::size_t readBody(char *buffer, std::size_t size, std::size_t count, void *self);
    static int seekBody(void *self, curl_off_t offset, int origin);
    static std::size_t writeBody(char *bytes, std::size_t size, std::size_t count, void *self);
    static std::size_t writeHeader(char *bytes, std::size_t size, std::size_t count, void *self);

    void received(std::size_t bytes);
    void keepGeneration(std::string_view line);

    TransferOptions m_options;
    CURL *m_handle;
    curl_slist *m_headers = nullptr;
    std::size_t m_bodyOffset = 0;
    std::string m_response;
    std::string m_generation;
    BodySink m_sink;
    bool m_chunked = false;
    std::uint64_t m_bytesReceived = 0;
    TimePoint m_started;
    TimePoint m_lastActivity;
};

} // namespace Hornbeam
