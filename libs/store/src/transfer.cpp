#include "transfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::string_view chunkedHeader = "transfer-encoding: chunked";

/** Size of the framing of a chunk of @p bytes: its length in hexadecimal and two line ends. */
std::size_t chunkFraming(std::size_t bytes)
{
    std::size_t digits = 1;
    while (bytes >>= 4) {
        ++digits;
    }
    return digits + 4;
}

bool startsWithIgnoringCase(std::string_view text, std::string_view lowerCasePrefix)
{
    const auto equal = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    return text.size() >= lowerCasePrefix.size()
        && std::equal(lowerCasePrefix.begin(), lowerCasePrefix.end(), text.begin(), [&equal](char right, char left) {
               return equal(left, right);
           });
}

} // namespace

Transfer::Transfer(TransferOptions options)
    : m_options(std::move(options))
    , m_handle(curl_easy_init())
    , m_started(std::chrono::steady_clock::now())
    , m_lastActivity(m_started)
{
    // Removes libcurl's default Accept and Expect headers: the store does not need them, and requests get shorter.
    for (const char *header : {"Content-Type: application/json", "Accept:", "Expect:"}) {
        m_headers = curl_slist_append(m_headers, header);
    }
    curl_easy_setopt(m_handle, CURLOPT_URL, m_options.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_KEEPIDLE, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_KEEPINTVL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_SOCKOPTFUNCTION, &Transfer::setSocketOptions);
    if (m_options.method == "POST") {
        curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_options.body.size()));
    } else if (m_options.method != "GET") {
        curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_options.method.c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_READFUNCTION, &Transfer::readBody);
    curl_easy_setopt(m_handle, CURLOPT_READDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_SEEKFUNCTION, &Transfer::seekBody);
    curl_easy_setopt(m_handle, CURLOPT_SEEKDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &Transfer::writeBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &Transfer::writeHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_options.connectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_options.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, m_options.freshConnection ? 1L : 0L);
    curl_easy_setopt(m_handle, CURLOPT_MAXAGE_CONN, static_cast<long>(m_options.maxIdleAge.count()));
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    if (!m_options.localAddress.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_INTERFACE, ("host!" + m_options.localAddress).c_str());
    }
}

// An idle watch sends nothing, so only the kernel's keepalive probes detect that its connection is dead.
int Transfer::setSocketOptions(void * /*self*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    const int idleSeconds = 1;
    const int probeSeconds = 1;
    const int probes = 2;
    const unsigned int unacknowledgedMs = 3000;
    const bool set = ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds)) == 0
        && ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof(probeSeconds)) == 0
        && ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)) == 0
        && ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs, sizeof(unacknowledgedMs)) == 0;
    // A failure is ignored: without the options, the timeouts of the calls still end a dead connection, only later.
    static_cast<void>(set);
    return CURL_SOCKOPT_OK;
}

Transfer::~Transfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
}

void Transfer::setBodySink(BodySink sink)
{
    m_sink = std::move(sink);
}

TransferResult Transfer::finish(CURLcode code)
{
    m_sink = nullptr;
    curl_off_t preTransferTime = 0;
    curl_easy_getinfo(m_handle, CURLINFO_PRETRANSFER_TIME_T, &preTransferTime);
    return {.code = code,
            .status = status(),
            .sent = preTransferTime > 0 || bytesSent() > 0,
            .body = std::move(m_response),
            .generation = std::move(m_generation)};
}

int Transfer::status() const
{
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

std::uint64_t Transfer::bytesSent() const
{
    long header = 0;
    curl_off_t body = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &header);
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &body);
    return static_cast<std::uint64_t>(header) + static_cast<std::uint64_t>(body);
}

std::size_t Transfer::readBody(char *buffer, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const auto &body = transfer->m_options.body;
    const auto length = std::min(size * count, body.size() - transfer->m_bodyOffset);
    std::copy_n(body.begin() + static_cast<std::ptrdiff_t>(transfer->m_bodyOffset), length, buffer);
    transfer->m_bodyOffset += length;
    return length;
}

// libcurl rewinds the body to send a request again when a pooled connection closes before the response. The store may
// have run the first copy by then, so a rewind fails unless the request is repeatable.
int Transfer::seekBody(void *self, curl_off_t offset, int origin)
{
    auto *transfer = static_cast<Transfer *>(self);
    if (!transfer->m_options.repeatable || origin != SEEK_SET) {
        return CURL_SEEKFUNC_FAIL;
    }
    transfer->m_bodyOffset = static_cast<std::size_t>(offset);
    return CURL_SEEKFUNC_OK;
}

std::size_t Transfer::writeBody(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::size_t length = size * count;
    transfer->received(length + (transfer->m_chunked ? chunkFraming(length) : 0));
    // Any other result than the length makes libcurl fail the transfer.
    if (transfer->m_sink) {
        return transfer->m_sink({bytes, length}) ? length : 0;
    }
    if (transfer->m_response.size() + length > maxResponseBytes) {
        return 0;
    }
    transfer->m_response.append(bytes, length);
    return length;
}

std::size_t Transfer::writeHeader(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<Transfer *>(self);
    const std::string_view line(bytes, size * count);
    transfer->received(line.size());
    transfer->m_chunked = transfer->m_chunked || startsWithIgnoringCase(line, chunkedHeader);
    transfer->keepGeneration(line);
    return line.size();
}

void Transfer::keepGeneration(std::string_view line)
{
    const auto &name = m_options.generationHeader;
    if (name.empty() || !startsWithIgnoringCase(line, name + ":")) {
        return;
    }
    constexpr std::string_view blanks = " \t\r\n";
    const auto value = line.substr(name.size() + 1);
    const auto begin = std::min(value.find_first_not_of(blanks), value.size());
    m_generation = value.substr(begin, value.find_last_not_of(blanks) + 1 - begin);
}

void Transfer::received(std::size_t bytes)
{
    m_bytesReceived += bytes;
    m_lastActivity = std::chrono::steady_clock::now();
}

} // namespace Hornbeam
