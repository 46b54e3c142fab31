#include "requestbody.h"

#include <array>

namespace Hornbeam {

RequestBody::RequestBody(HttpStream &caller, const HttpHead &head, std::uint64_t maxBytes, BufferPool &pool)
    : m_caller(caller)
    , m_head(head)
    , m_maxBytes(maxBytes)
    , m_share(pool)
{
    updateComplete();
}

void RequestBody::updateComplete()
{
    auto &reader = m_caller.reader();
    m_complete = m_complete || (reader.state() == HttpMessageReader::State::Complete && reader.body().empty());
}

asio::awaitable<RequestBody::Result> RequestBody::buffer(std::size_t limit, TimePoint deadline)
{
    while (m_buffered.size() < limit && !isComplete()) {
        const auto result = co_await read(deadline);
        if (result != Result::Ok) {
            co_return result;
        }
        auto &body = m_caller.reader().body();
        if (!m_share.resize(m_buffered.size() + body.size())) {
            m_buffered = {};
            co_return Result::NoRoom;
        }
        m_buffered += body;
        body.clear();
        updateComplete();
    }
    co_return Result::Ok;
}

asio::awaitable<RequestBody::Result> RequestBody::next(std::string &piece, TimePoint deadline)
{
    piece.clear();
    if (isComplete()) {
        co_return Result::Ok;
    }
    const auto result = co_await read(deadline);
    m_streamed = true;
    piece.swap(m_caller.reader().body());
    updateComplete();
    co_return result;
}

asio::awaitable<RequestBody::Result> RequestBody::read(TimePoint deadline)
{
    if (m_head.contentLength.value_or(0) > m_maxBytes) {
        co_return Result::TooLarge;
    }
    co_await sendContinue(deadline);
    const auto result = co_await m_caller.readBody(deadline);
    m_received += m_caller.reader().body().size();
    if (m_received > m_maxBytes) {
        co_return Result::TooLarge;
    }
    co_return result == ReadResult::Ok ? Result::Ok : Result::Failed;
}

asio::awaitable<void> RequestBody::sendContinue(TimePoint deadline)
{
    if (m_continueSent || m_received > 0 || !m_caller.reader().body().empty()) {
        co_return;
    }
    m_continueSent = true;
    const auto *expect = m_head.find("expect");
    if (expect == nullptr || !equalsIgnoringCase(*expect, "100-continue") || m_head.minorVersion == 0) {
        co_return;
    }
    static constexpr std::string_view response = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::array buffers = {asio::const_buffer(response.data(), response.size())};
    std::size_t n = 0;
    co_await m_caller.socket().write(buffers, deadline, n);
}

} // namespace Hornbeam
