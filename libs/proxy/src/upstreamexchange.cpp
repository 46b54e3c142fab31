#include "upstreamexchange.h"

#include "socketinfo.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Hornbeam {

namespace {

/** Interim responses (1xx) before an attempt fails, so that a target cannot send them without end. */
constexpr int maxInterimResponses = 16;

/** Requests up to this size fit into one TCP segment, so a target reads either the whole request or none of it. */
constexpr std::uint64_t smallRequestBytes = 1400;

/** A non-idempotent request uses an idle connection only if it has delivered a response within this time. */
constexpr auto maxIdleForNonIdempotent = std::chrono::seconds(1);

/** Other nodes and the targets of this host are a few milliseconds away; a lost SYN is retransmitted after a second. */
constexpr auto connectTimeout = std::chrono::milliseconds(300);

/** Responses to earlier requests that an attempt skips before it fails, and the largest body of such a response. */
constexpr int maxSkippedResponses = 3;
constexpr std::size_t maxSkippedBytes = std::size_t{1024} * 1024;

/** Whether a response with this status tells its receiver that the request has not run and never will. */
bool promisesNotRun(int status)
{
    return status == 408 || status == misdirectedStatus || status == 429 || status == 503;
}

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::array<asio::const_buffer, 3> chunkBuffers(const std::string &size, const std::string &piece)
{
    return {asio::buffer(size), asio::buffer(piece), asio::const_buffer("\r\n", 2)};
}

} // namespace

const char *attemptStatusName(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Response:
        return "response";
    case AttemptStatus::ConnectFailed:
        return "connection failed";
    case AttemptStatus::DeadlinePassed:
        return "deadline passed";
    case AttemptStatus::NodeStops:
        return "node stops";
    case AttemptStatus::NotReceived:
        return "idle connection closed";
    case AttemptStatus::Silent:
        return "silent target";
    case AttemptStatus::Expired:
        return "no response before the deadline";
    case AttemptStatus::Broken:
        return "connection broken";
    case AttemptStatus::BadResponse:
        return "bad response";
    case AttemptStatus::CallerFailed:
        return "caller failed";
    }
    return "unknown";
}

UpstreamExchange::UpstreamExchange(CallContext &call, SlotLease lease)
    : m_call(call)
    , m_lease(std::move(lease))
    , m_responseShare(call.route.bulk ? call.core.largeResponseBuffers : call.core.responseBuffers)
{
}

UpstreamExchange::~UpstreamExchange()
{
    m_call.watch.setCancelCallback(nullptr);
    endTracking();
    if (m_connection && m_sentBytes > 0) {
        // Data queued for a broken link must not reach the target after the attempt has ended. A reset discards it.
        m_connection->stream.socket().abort();
    }
}

void UpstreamExchange::endTracking()
{
    if (std::exchange(m_tracked, false)) {
        m_dependencyFailed = m_call.core.running.remove(*m_call.requestId(), now());
        const auto &reader = m_connection->stream.reader();
        const auto status = reader.head().status;
        const bool served = reader.state() != HttpMessageReader::State::Head && status >= 200 && status < 300;
        if (served) {
            m_call.core.routeTimes.note(m_call.routeName(), now() - m_sendStarted);
        }
    }
}

asio::awaitable<bool> UpstreamExchange::connect(bool fresh)
{
    m_call.stages.enter(CallStage::Target, now());
    m_call.targetName = m_lease.target().name;
    const auto &target = m_lease.isRemote() ? m_lease.target().gateway : m_lease.address();
    if (!fresh) {
        // If the target closes an idle connection as the request is sent, it is unknown whether the request ran.
        const auto maxIdle = m_call.route.idempotent || m_lease.isRemote() ? Duration::max() : maxIdleForNonIdempotent;
        m_connection = m_call.pool.take(target, now(), maxIdle);
        if (m_connection) {
            co_return true;
        }
    }
    co_return co_await open(target);
}

asio::awaitable<bool> UpstreamExchange::open(const Endpoint &target)
{
    std::error_code ec;
    const auto address = asio::ip::make_address(target.address(), ec);
    if (ec) {
        co_return false;
    }
    TimedSocket socket{asio::ip::tcp::socket(*m_call.context)};
    const auto bound = m_call.core.options.relayListen ? now() + connectTimeout : TimePoint::max();
    ec = co_await socket.connect({address, target.port()}, std::min(attemptDeadline(), bound));
    if (ec) {
        m_connectionRefused = ec == asio::error::connection_refused;
        co_return false;
    }
    if (m_lease && m_lease.isRemote() && !setLinkTimeouts(socket.socket().native_handle())) {
        m_call.core.metrics.socketOptionFailures.add();
    }
    const auto maxHeaderBytes = m_call.core.options.maxHeaderBytes;
    m_connection = std::make_unique<UpstreamConnection>(target, std::move(socket), maxHeaderBytes, now());
    co_return true;
}

asio::awaitable<bool> UpstreamExchange::probeConnectionRefused(const Endpoint &target)
{
    const bool opened = co_await open(target);
    if (opened) {
        m_call.pool.put(std::move(m_connection));
    }
    co_return m_connectionRefused;
}

asio::awaitable<AttemptStatus> UpstreamExchange::run(bool cancellable)
{
    if (m_call.watch.isDisconnected()) {
        co_return AttemptStatus::CallerFailed;
    }
    if (cancellable) {
        m_call.watch.setCancelCallback([this] { stream().socket().cancel(); });
    }
    if (!m_lease.isRemote() && m_call.requestId() != nullptr) {
        m_tracked = true;
        m_call.core.running.add(*m_call.requestId(),
                                {.route = m_call.routeName(),
                                 .repeated = m_call.repeated,
                                 .account = m_call.account,
                                 .deadline = m_call.deadline});
    }
    stream().reader().reset(m_call.head().method == "HEAD");
    m_acknowledgedBeforeSend = acknowledgedBytes(stream().socket().socket().native_handle());
    const auto sent = co_await send();
    if (sent != AttemptStatus::Response) {
        co_return sent;
    }
    co_return co_await readHead();
}

std::string UpstreamExchange::formatHead() const
{
    const auto &head = m_call.head();
    std::string out;
    out.reserve(1024);
    out += head.method + ' ' + head.requestTarget + " HTTP/1.1\r\n";
    appendEndToEndHeaders(head, out, m_call.headersToReplace());
    if (m_call.body.isReplayable() && head.chunked) {
        out += "Content-Length: " + std::to_string(m_call.body.buffered().size()) + "\r\n";
    } else if (head.contentLength) {
        out += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
    } else if (head.chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    }
    appendHopHeaders(out);
    out += "\r\n";
    return out;
}

void UpstreamExchange::appendHopHeaders(std::string &out) const
{
    const auto &names = m_call.core.options.headers;
    const auto &target = m_lease.target();
    const auto start = now();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_call.deadline - start);
    if (m_call.origin == CallOrigin::Caller && !names.originService.empty()) {
        out += names.originService + ": " + m_call.core.options.hostService + "\r\n";
    }
    if (m_lease.isRemote()) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_call.maxRemoteWait(start));
        const RelayRequest relay{.target = target.name,
                                 .service = target.service,
                                 .route = m_call.route.name,
                                 .timeLeft = left,
                                 .maxWait = wait,
                                 .rank = m_call.rank(),
                                 .idempotent = m_call.route.idempotent,
                                 .bulk = m_call.route.bulk,
                                 .repeated = m_call.repeated};
        out += std::string(relayHeaderName) + ": " + relay.format() + "\r\n";
        const auto &options = m_call.core.options;
        if (!options.nodeId.empty()) {
            const RelaySender sender{.nodeId = options.nodeId, .stopTime = options.drainBound};
            out += std::string(nodeHeaderName) + ": " + sender.format() + "\r\n";
        }
        if (m_call.account) {
            out += std::string(accountHeaderName) + ": " + formatRelayAccount(*m_call.account) + "\r\n";
        }
        return;
    }
    out += names.deadline + ": " + std::to_string(left.count()) + "\r\n";
    // A nested call is the parent's work: its client has sent no key, so the target is told no account.
    if (!names.account.empty() && m_call.account && !m_call.account->inherited) {
        out += names.account + ": " + m_call.account->name + "\r\n";
    }
    if (!names.expectedTarget.empty() && !target.name.empty()) {
        out += names.expectedTarget + ": " + target.name + "\r\n";
    }
}

asio::awaitable<AttemptStatus> UpstreamExchange::send()
{
    m_sendStarted = now();
    if (m_sendStarted >= m_call.deadline) {
        co_return AttemptStatus::DeadlinePassed;
    }
    if (m_call.outlastsStop()) {
        co_return AttemptStatus::NodeStops;
    }
    if (m_call.firstSend == TimePoint()) {
        m_call.firstSend = m_sendStarted;
    }
    const auto head = formatHead();
    const auto &buffered = m_call.body.buffered();
    const bool chunked = m_call.head().chunked && !m_call.body.isReplayable();
    bool written = false;
    if (chunked && !buffered.empty()) {
        const auto size = chunkSizeLine(buffered.size());
        const auto chunk = chunkBuffers(size, buffered);
        const std::array<asio::const_buffer, 4> buffers = {asio::buffer(head), chunk[0], chunk[1], chunk[2]};
        written = co_await write(buffers);
    } else {
        const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(buffered)};
        written = co_await write(buffers);
    }
    if (m_call.body.isReplayable()) {
        m_bodySent = written;
        co_return AttemptStatus::Response;
    }
    // A target may respond before it has read the whole request, so the response is read even after a failed write.
    if (!written) {
        co_return AttemptStatus::Response;
    }
    co_return co_await streamBody(chunked);
}

asio::awaitable<AttemptStatus> UpstreamExchange::streamBody(bool chunked)
{
    std::string piece;
    for (;;) {
        const auto result = co_await m_call.body.next(piece, m_call.deadline);
        if (result != RequestBody::Result::Ok) {
            co_return AttemptStatus::CallerFailed;
        }
        bool written = true;
        if (chunked) {
            const auto size = chunkSizeLine(piece.size());
            // An empty piece becomes the zero-size chunk that ends the body.
            const auto buffers = chunkBuffers(size, piece);
            written = co_await write(buffers);
        } else if (!piece.empty()) {
            const std::array<asio::const_buffer, 1> buffers = {asio::buffer(piece)};
            written = co_await write(buffers);
        }
        if (!written) {
            co_return AttemptStatus::Response;
        }
        if (piece.empty()) {
            m_bodySent = true;
            m_call.watch.start();
            co_return AttemptStatus::Response;
        }
    }
}

asio::awaitable<bool> UpstreamExchange::write(std::span<const asio::const_buffer> buffers)
{
    std::size_t n = 0;
    const auto ec = co_await stream().socket().write(buffers, attemptDeadline(), n);
    m_sentBytes += n;
    m_call.sentToTarget = m_call.sentToTarget || n > 0;
    co_return !ec;
}

asio::awaitable<AttemptStatus> UpstreamExchange::readHead()
{
    auto &reader = stream().reader();
    // One deadline for all responses, so that a target which sends interim or stray ones does not extend the attempt.
    const auto deadline = attemptDeadline();
    int interim = 0;
    for (int skipped = 0; skipped <= maxSkippedResponses;) {
        const auto result = co_await stream().readHead(deadline);
        if (result != ReadResult::Ok) {
            co_return result == ReadResult::TimedOut ? handleTimeout() : statusOf(result);
        }
        if (!hasValidStatus(reader.head())) {
            // The target has answered, so nothing else is to be waited for.
            co_return AttemptStatus::BadResponse;
        }
        if (reader.head().status < 200) {
            if (++interim > maxInterimResponses) {
                co_return AttemptStatus::BadResponse;
            }
            // Interim responses are not forwarded to the caller.
            reader.reset(m_call.head().method == "HEAD");
            continue;
        }
        if (answersAnotherRequest(reader.head())) {
            ++skipped;
            m_call.core.metrics.strayResponses.add();
            const bool complete = co_await skipStrayResponse(deadline);
            if (!complete) {
                co_return AttemptStatus::BadResponse;
            }
            continue;
        }
        m_connection->recordResponse(now());
        endTracking();
        recordLoadReport();
        const bool framed = !reader.isCloseDelimited() || m_call.core.options.acceptUnframedResponses;
        const bool authentic = isAuthentic(reader.head());
        const bool valid = framed && authentic && !promisesTooMuch(reader.head());
        if (valid && reader.head().status < 500 && !statesNotRun()) {
            m_call.noteResponseTime();
        }
        co_return valid ? AttemptStatus::Response : AttemptStatus::BadResponse;
    }
    co_return AttemptStatus::BadResponse;
}

asio::awaitable<bool> UpstreamExchange::skipStrayResponse(TimePoint deadline)
{
    auto &reader = stream().reader();
    std::size_t bytes = 0;
    while (reader.state() != HttpMessageReader::State::Complete) {
        const auto result = co_await stream().readBody(deadline);
        bytes += reader.body().size();
        reader.body().clear();
        if (result != ReadResult::Ok || bytes > maxSkippedBytes) {
            co_return false;
        }
    }
    if (!reader.head().keepAlive) {
        co_return false;
    }
    reader.reset(m_call.head().method == "HEAD");
    co_return true;
}

bool UpstreamExchange::answersAnotherRequest(const HttpHead &response) const
{
    const auto &name = m_call.core.options.headers.requestId;
    if (name.empty()) {
        return false;
    }
    const auto *asked = m_call.head().find(name);
    const auto *answered = response.find(name);
    return asked != nullptr && answered != nullptr && *asked != *answered;
}

bool UpstreamExchange::isAuthentic(const HttpHead &response) const
{
    const auto &names = m_call.core.options.headers;
    if (names.signature.empty() || response.status < 200 || response.status >= 300) {
        return true;
    }
    // The proxy asks for the body without an encoding, so an encoded one is not what the target was asked for.
    return response.find(names.signature) != nullptr && response.find("content-encoding") == nullptr
        && (names.requestId.empty() || response.find(names.requestId) != nullptr);
}

bool UpstreamExchange::identifiesRequest(const HttpHead &response) const
{
    const auto &name = m_call.core.options.headers.requestId;
    const auto *asked = name.empty() ? nullptr : m_call.head().find(name);
    const auto *answered = asked == nullptr ? nullptr : response.find(name);
    return asked == nullptr || (answered != nullptr && *asked == *answered);
}

bool UpstreamExchange::promisesTooMuch(const HttpHead &response) const
{
    if (m_lease.isRemote() || !m_call.signedResponses()) {
        return false;
    }
    if (!identifiesRequest(response)) {
        // It may be a copy of an earlier refusal.
        return promisesNotRun(response.status) || statesNotRun();
    }
    // The caller of a non-idempotent request would send it again.
    return !m_call.route.idempotent && promisesNotRun(response.status) && !statesNotRun();
}

void UpstreamExchange::recordLoadReport()
{
    if (!m_lease.isRemote()) {
        const auto &name = m_call.core.options.headers.targetLoad;
        const auto *text = name.empty() ? nullptr : stream().reader().head().find(name);
        const auto stated = text != nullptr ? StatedLoad::parse(*text) : std::nullopt;
        if (stated && m_lease) {
            m_call.core.balancer.recordStatedLoad(m_lease, *stated, now());
        }
        return;
    }
    const auto *value = stream().reader().head().find(loadHeaderName);
    const auto report = value != nullptr ? LoadReport::parse(*value) : std::nullopt;
    m_reachedTarget = !report || report->refusedByTarget;
    m_dependencyFailed = report && report->dependencyFailed;
    if (report) {
        m_call.core.balancer.recordReport(m_lease, *report, now());
        if (report->routeTime.count() > 0) {
            m_call.core.routeTimes.note(m_call.routeName(), report->routeTime);
        }
    }
}

LoadReport UpstreamExchange::report() const
{
    auto report = m_call.core.balancer.reportOf(m_lease);
    report.refusedByTarget = statesNotRun();
    report.dependencyFailed = m_dependencyFailed;
    report.routeTime = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_call.core.routeTimes.of(m_call.routeName(), Duration::zero()));
    return report;
}

int UpstreamExchange::responseStatus() const
{
    return m_connection ? m_connection->stream.reader().head().status : 0;
}

bool UpstreamExchange::hasPartialResponse() const
{
    return m_connection && m_connection->stream.reader().started()
        && m_connection->stream.reader().state() != HttpMessageReader::State::Complete;
}

bool UpstreamExchange::statesNotRun() const
{
    const auto &head = m_connection->stream.reader().head();
    if (m_lease.isRemote()) {
        const auto *outcome = head.find("x-hornbeam-outcome");
        return outcome != nullptr && *outcome == "not-run";
    }
    const auto &name = m_call.core.options.headers.notExecuted;
    return !name.empty() && (head.find(name) != nullptr || head.status == misdirectedStatus);
}

bool UpstreamExchange::reachedTarget() const
{
    return !m_lease.isRemote() || m_reachedTarget;
}

bool UpstreamExchange::isFailureOfPeer() const
{
    return m_lease.isRemote() && m_connection->stream.reader().head().find("x-hornbeam-outcome") != nullptr;
}

asio::awaitable<AttemptStatus> UpstreamExchange::bufferResponse(std::size_t limit)
{
    auto &reader = stream().reader();
    if (m_call.head().method == "HEAD" || statusHasNoBody(reader.head().status)
        || reader.head().contentLength.value_or(0) > limit) {
        co_return AttemptStatus::Response;
    }
    while (reader.state() == HttpMessageReader::State::Body && reader.body().size() < limit && makeRoom(limit)) {
        const auto result = co_await stream().readMore(attemptDeadline());
        if (result == ReadResult::TimedOut) {
            co_return handleTimeout();
        }
        if (result == ReadResult::Cancelled) {
            co_return AttemptStatus::CallerFailed;
        }
        if (result != ReadResult::Ok) {
            m_call.core.metrics.truncatedResponses.add();
            co_return AttemptStatus::BadResponse;
        }
    }
    if (reader.state() == HttpMessageReader::State::Complete) {
        // The target has finished, so its slot does not wait for a caller that reads slowly.
        m_lease.release();
    }
    co_return AttemptStatus::Response;
}

/** Reserves memory for the next read of a body of at most @p limit bytes; returns false if the pool has no room. */
bool UpstreamExchange::makeRoom(std::size_t limit)
{
    // A limit is reached in a few steps, each of which doubles the memory.
    constexpr std::size_t firstStepDivisor = 8;
    auto &body = stream().reader().body();
    if (body.capacity() - body.size() >= HttpStream::maxReadBytes) {
        return m_responseShare.resize(body.capacity());
    }
    const auto whole = limit + HttpStream::maxReadBytes;
    const auto next = std::clamp(2 * body.capacity(), whole / firstStepDivisor, whole);
    const bool granted = m_responseShare.resize(next);
    if (granted) {
        body.reserve(next);
    }
    return granted;
}

void UpstreamExchange::releaseBody()
{
    stream().reader().releaseBody();
    m_responseShare.resize(0);
}

AttemptStatus UpstreamExchange::statusOf(ReadResult result) const
{
    switch (result) {
    case ReadResult::Cancelled:
        return AttemptStatus::CallerFailed;
    case ReadResult::Closed:
    case ReadResult::Reset:
        break;
    default:
        return AttemptStatus::BadResponse;
    }
    if (m_connection->stream.reader().started()) {
        return AttemptStatus::BadResponse;
    }
    // A closed socket never acknowledges data. This distinguishes an idle connection that the target closed as the
    // request was sent from a target that received the request and then crashed.
    const auto acknowledged = acknowledgedBytes(m_connection->stream.socket().socket().native_handle());
    // A reset means that the target closed the connection with unread bytes. A small request is read in one piece, so
    // in this case none of it had been read.
    const bool unread = result == ReadResult::Reset && m_sentBytes <= smallRequestBytes;
    const bool received = acknowledged != m_acknowledgedBeforeSend && !unread;
    return m_connection->reused && !received ? AttemptStatus::NotReceived : AttemptStatus::Broken;
}

AttemptStatus UpstreamExchange::handleTimeout()
{
    if (now() >= m_call.deadline) {
        return AttemptStatus::Expired;
    }
    m_call.core.metrics.silentConnections.add();
    m_call.core.closeOlderConnections(m_connection->target, m_sendStarted);
    return AttemptStatus::Silent;
}

TimePoint UpstreamExchange::attemptDeadline() const
{
    return std::min(m_call.deadline, now() + m_call.service.attemptTimeout);
}

void UpstreamExchange::finish()
{
    auto &reader = stream().reader();
    const bool complete = reader.state() == HttpMessageReader::State::Complete;
    if (complete && m_bodySent && reader.head().keepAlive && !stream().hasUnparsedBytes()) {
        m_connection->recordResponse(now());
        m_call.watch.setCancelCallback(nullptr);
        m_call.pool.put(std::move(m_connection));
    }
}

} // namespace Hornbeam
