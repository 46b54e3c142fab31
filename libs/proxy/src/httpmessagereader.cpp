#include "httpmessagereader.h"

#include <algorithm>
#include <limits>

namespace Hornbeam {

namespace {

/** Bytes of the shortest line of a header field: a name of one byte, a colon and the line end. */
constexpr std::size_t minFieldBytes = 4;

/** Memory for body bytes that a reader keeps for the next ones; more than the bytes of one read. */
constexpr std::size_t maxKeptBodyBytes = std::size_t{32} * 1024;

/** RFC 9112, section 4: a status code has three digits. */
constexpr int statusDigits = 3;

} // namespace

/** Callbacks of http_parser. A non-zero result is an error, except for 1 from onHeadersComplete(). */
struct HttpMessageReader::Callbacks
{
    static HttpMessageReader &reader(http_parser *parser)
    {
        return *static_cast<HttpMessageReader *>(parser->data);
    }

    static int onMessageBegin(http_parser *parser)
    {
        reader(parser).m_headBegun = true;
        return 0;
    }

    static int onUrl(http_parser *parser, const char *at, std::size_t n)
    {
        reader(parser).m_head.requestTarget.append(at, n);
        return reader(parser).countHeaderBytes(n) ? 0 : 1;
    }

    static int onStatus(http_parser *parser, const char *at, std::size_t n)
    {
        reader(parser).m_head.reason.append(at, n);
        return reader(parser).countHeaderBytes(n) ? 0 : 1;
    }

    static int onHeaderField(http_parser *parser, const char *at, std::size_t n)
    {
        auto &self = reader(parser);
        if (self.m_state == State::Head) {
            if (self.m_lastWasValue || self.m_fields.empty()) {
                self.m_fields.emplace_back();
            }
            self.m_lastWasValue = false;
            self.m_fields.back().name += static_cast<std::uint32_t>(n);
            self.m_fieldText.append(at, n);
        }
        const bool allowed = self.m_kind == Kind::Request || hasOnlyTokenCharacters({at, n});
        return allowed && self.countHeaderBytes(n) ? 0 : 1;
    }

    static int onHeaderValue(http_parser *parser, const char *at, std::size_t n)
    {
        auto &self = reader(parser);
        if (self.m_state == State::Head) {
            self.m_lastWasValue = true;
            self.m_fields.back().value += static_cast<std::uint32_t>(n);
            self.m_fieldText.append(at, n);
        }
        return self.countHeaderBytes(n) ? 0 : 1;
    }

    static int onHeadersComplete(http_parser *parser)
    {
        // Messages of other major versions may be framed differently.
        if (parser->http_major != 1) {
            return -1;
        }
        auto &self = reader(parser);
        if (self.m_kind == Kind::Response && self.m_statusDigits != statusDigits) {
            return -1;
        }
        self.finishHead();
        if (self.m_kind == Kind::Response && !hasUnambiguousFraming(self.m_head)) {
            return -1;
        }
        http_parser_pause(parser, 1);
        // The result 1 tells http_parser that the message has no body.
        return self.m_kind == Kind::Response && self.m_headRequested ? 1 : 0;
    }

    static int onBody(http_parser *parser, const char *at, std::size_t n)
    {
        auto &self = reader(parser);
        self.checkFraming(at);
        self.m_unchecked = at + n;
        self.m_body.append(at, n);
        // http_parser skips the two bytes after a chunk.
        if (self.m_head.chunked && parser->content_length == 0) {
            self.m_framing.chunkEnded();
        }
        return 0;
    }

    static int onMessageComplete(http_parser *parser)
    {
        reader(parser).m_state = State::Complete;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings &settings()
    {
        static const http_parser_settings callbacks = [] {
            http_parser_settings it;
            http_parser_settings_init(&it);
            it.on_message_begin = onMessageBegin;
            it.on_url = onUrl;
            it.on_status = onStatus;
            it.on_header_field = onHeaderField;
            it.on_header_value = onHeaderValue;
            it.on_headers_complete = onHeadersComplete;
            it.on_body = onBody;
            it.on_message_complete = onMessageComplete;
            return it;
        }();
        return callbacks;
    }
};

HttpMessageReader::HttpMessageReader(Kind kind, std::size_t maxHeaderBytes)
    : m_kind(kind)
    , m_maxHeaderBytes(maxHeaderBytes)
{
    reset();
}

void HttpMessageReader::reset(bool headRequested)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_state = State::Head;
    m_head = HttpHead();
    releaseBody();
    m_fieldText = {};
    m_fields = {};
    m_fieldMemory = 0;
    m_framing = {};
    m_headerBytes = 0;
    m_headWireBytes = 0;
    m_headBegun = false;
    m_statusLine = StatusLine::Version;
    m_statusDigits = 0;
    m_headRequested = headRequested;
    m_started = false;
    m_lastWasValue = false;
    m_closeDelimited = false;
}

std::size_t HttpMessageReader::feed(std::string_view bytes)
{
    if (bytes.empty() || m_state == State::Complete || m_state == State::Malformed || m_state == State::HeadTooLarge) {
        return 0;
    }
    m_started = true;
    const bool inHead = m_state == State::Head;
    if (inHead && m_kind == Kind::Response) {
        countStatusDigits(bytes);
    }
    const auto used = parse(bytes);
    if (inHead) {
        limitHead(used);
    }
    if (m_state != State::Head) {
        m_framing.headEnded();
    }
    return used;
}

std::size_t HttpMessageReader::parse(std::string_view bytes)
{
    http_parser_pause(&m_parser, 0);
    m_unchecked = bytes.data();
    const auto used = http_parser_execute(&m_parser, &Callbacks::settings(), bytes.data(), bytes.size());
    checkFraming(bytes.data() + used);
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_HEADER_OVERFLOW) {
        m_state = State::HeadTooLarge;
    } else if (error != HPE_OK && error != HPE_PAUSED && m_state != State::HeadTooLarge) {
        m_state = State::Malformed;
    }
    if (!m_framing.isValid()) {
        m_state = State::Malformed;
    }
    return used;
}

void HttpMessageReader::checkFraming(const char *end)
{
    if (m_kind == Kind::Response) {
        m_framing.check({m_unchecked, static_cast<std::size_t>(end - m_unchecked)});
        m_unchecked = end;
    }
}

bool HttpMessageReader::finish()
{
    if (m_state == State::Body && m_closeDelimited) {
        http_parser_pause(&m_parser, 0);
        http_parser_execute(&m_parser, &Callbacks::settings(), nullptr, 0);
    }
    return m_state == State::Complete;
}

bool HttpMessageReader::countHeaderBytes(std::size_t n)
{
    m_headerBytes += n;
    if (m_headerBytes <= m_maxHeaderBytes && m_fields.size() <= m_maxHeaderBytes / minFieldBytes) {
        return true;
    }
    m_state = State::HeadTooLarge;
    return false;
}

void HttpMessageReader::countStatusDigits(std::string_view bytes)
{
    for (const char c : bytes) {
        if (m_statusLine == StatusLine::Counted) {
            return;
        }
        const bool digit = c >= '0' && c <= '9';
        if (m_statusLine == StatusLine::Version) {
            m_statusLine = c == ' ' ? StatusLine::Digits : StatusLine::Version;
        } else if (digit) {
            m_statusDigits = std::min(m_statusDigits + 1, statusDigits + 1);
        } else if (c != ' ' || m_statusDigits > 0) {
            m_statusLine = StatusLine::Counted;
        }
    }
}

void HttpMessageReader::limitHead(std::size_t used)
{
    m_headWireBytes += used;
    // Separators, white space before a value and empty lines before the start line are not passed to a callback.
    if (m_state == State::Head && m_headWireBytes > 2 * m_maxHeaderBytes) {
        m_state = State::HeadTooLarge;
    }
}

void HttpMessageReader::releaseBody()
{
    if (m_body.capacity() > maxKeptBodyBytes) {
        // An assignment of an empty string keeps the memory.
        std::string().swap(m_body);
    } else {
        m_body.clear();
    }
}

std::size_t HttpMessageReader::headMemory() const
{
    return m_fieldText.capacity() + m_fields.capacity() * sizeof(FieldLengths) + m_head.requestTarget.capacity()
        + m_fieldMemory;
}

void HttpMessageReader::dropFields()
{
    m_head.headers = {};
    m_fieldText = {};
    m_fields = {};
    m_fieldMemory = 0;
}

void HttpMessageReader::makeFields()
{
    const auto fields = std::exchange(m_fields, {});
    const auto text = std::exchange(m_fieldText, {});
    std::string_view rest = text;
    m_head.headers.reserve(fields.size());
    for (const auto &it : fields) {
        m_head.headers.push_back(
            {.name = std::string(rest.substr(0, it.name)), .value = std::string(rest.substr(it.name, it.value))});
        rest.remove_prefix(it.name + it.value);
    }
    m_fieldMemory = fields.size() * sizeof(HttpHeader) + text.size();
}

void HttpMessageReader::finishHead()
{
    makeFields();
    // The proxy supports no protocol upgrades, so a request with an Upgrade header is handled like any other.
    m_parser.upgrade = 0;
    m_head.method = m_kind == Kind::Request ? http_method_str(static_cast<http_method>(m_parser.method)) : "";
    m_head.status = m_kind == Kind::Response ? static_cast<int>(m_parser.status_code) : 0;
    m_head.minorVersion = m_parser.http_minor;
    m_head.chunked = (m_parser.flags & F_CHUNKED) != 0;
    if (!m_head.chunked && m_parser.content_length != std::numeric_limits<std::uint64_t>::max()) {
        m_head.contentLength = m_parser.content_length;
    }
    m_head.keepAlive = http_should_keep_alive(&m_parser) != 0;
    m_closeDelimited = m_kind == Kind::Response && !m_headRequested && !m_head.chunked && !m_head.contentLength
        && !statusHasNoBody(m_head.status);
    m_state = State::Body;
}

} // namespace Hornbeam
