#include "storestandin.h"

#include "callstatistics.h"
#include "ratelimiter.h"

#include <hornbeam/base/asioruntime.h>
#include <hornbeam/store/etcdprotocol.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/storemodel.h>

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

/** Practically no timeout: the clients decide how long they wait. */
constexpr std::chrono::hours noTimeout(24);

/** How long the connection of a withheld response stays open. Longer than the request timeout of any client. */
constexpr std::chrono::seconds withheldResponseTime(30);

/** A call that the rate limit would delay for longer than this is refused. */
constexpr std::chrono::seconds maxRateLimitDelay(5);

/** Reports closed connections, so that their watches end. Connections share it and may outlive the server. */
class ConnectionListener
{
public:
    void state_changed(const restinio::connection_state::notice_t &notice) // NOLINT(readability-identifier-naming)
    {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()) && onClosed) {
            onClosed(notice.connection_id());
        }
    }

    std::function<void(restinio::connection_id_t)> onClosed;
};

struct ServerTraits : public restinio::default_single_thread_traits_t
{
    // NOLINTNEXTLINE(readability-identifier-naming)
    using connection_state_listener_t = ConnectionListener;
};

using Server = restinio::http_server_t<ServerTraits>;
using RequestPtr = restinio::request_handle_t;
using WatchResponse = restinio::response_builder_t<restinio::chunked_output_t>;

void respond(const RequestPtr &request, restinio::http_status_line_t status, std::string body)
{
    request->create_response(std::move(status))
        .append_header(restinio::http_field::content_type, "application/json")
        .set_body(std::move(body))
        .done();
}

void respondError(const RequestPtr &request, const Error &error)
{
    const auto status = static_cast<std::uint16_t>(EtcdProtocol::httpStatus(error));
    respond(request,
            restinio::http_status_line_t(restinio::http_status_code_t(status), errorCodeName(error.code())),
            EtcdProtocol::encodeError(error));
}

/** Sends the messages of a watch as chunks of one HTTP response. */
class WatchStream : public WatchListener
{
public:
    WatchStream(const RequestPtr &request, std::function<void()> onEnded)
        : m_response(request->create_response<restinio::chunked_output_t>())
        , m_onEnded(std::move(onEnded))
    {
        m_response.append_header(restinio::http_field::content_type, "application/json");
    }

    void send(const WatchMessage &message)
    {
        m_response.append_chunk(EtcdProtocol::encodeWatchMessage(message));
        m_response.flush();
    }

    void changed(const std::vector<KeyValue> &changes) override
    {
        WatchMessage message;
        message.revision = changes.back().modRevision;
        message.changes = changes;
        send(message);
    }

    void ended(const Error &error) override
    {
        WatchMessage message;
        message.cancelled = true;
        message.compactRevision = error.code() == ErrorCode::Conflict ? 1 : 0;
        message.cancelReason = error.message();
        m_response.append_chunk(EtcdProtocol::encodeWatchMessage(message));
        m_response.done();
        const auto notify = m_onEnded;
        notify(); // Destroys this object.
    }

    void start(std::unique_ptr<Watch> watch)
    {
        m_watch = std::move(watch);
    }

private:
    WatchResponse m_response;
    std::function<void()> m_onEnded;
    std::unique_ptr<Watch> m_watch;
};

} // namespace

class StoreStandin::Impl
{
public:
    Impl(StoreStandinOptions options, asio::io_context &context)
        : m_options(std::move(options))
        , m_executor(context)
        , m_timers(context)
        , m_store(m_executor, m_timers, {.requestTimeout = noTimeout})
        , m_connectionListener(std::make_shared<ConnectionListener>())
        , m_server(restinio::external_io_context(context), [this](auto &settings) { configure(settings); })
    {
        m_connectionListener->onClosed = [this](restinio::connection_id_t id) {
            m_executor.post([this, id] { m_streams.erase(id); });
        };
        m_progressTimer = m_timers.every(m_options.progressInterval, [this] { sendProgress(); });
    }

    ~Impl()
    {
        m_connectionListener->onClosed = nullptr;
    }

    void open()
    {
        m_server.open_sync();
    }

    Endpoint localEndpoint() const
    {
        return {m_options.listen.address(), m_port};
    }

private:
    template <typename Settings>
    void configure(Settings &settings)
    {
        settings.address(m_options.listen.address())
            .port(m_options.listen.port())
            .connection_state_listener(m_connectionListener)
            // A server that reads no second request during a watch would not notice that its connection was closed.
            .max_pipelined_requests(2)
            .read_next_http_message_timelimit(noTimeout)
            .handle_request_timeout(noTimeout)
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor &acceptor) { m_port = acceptor.local_endpoint().port(); })
            .request_handler([this](const RequestPtr &request) { return handle(request); });
    }

    restinio::request_handling_status_t handle(const RequestPtr &request)
    {
        const std::string path(request->header().path());
        if (path.starts_with("/control")) {
            handleControl(request, path);
        } else if (request->header().method() != restinio::http_method_post()) {
            respondError(request, Error(ErrorCode::NotFound, "Not Found"));
        } else if (m_silent) {
            withholdResponse(request);
        } else if (path == EtcdProtocol::watchPath) {
            runRateLimited(request, m_readStatistics, m_readLimiter, readRate(), [this, request] { watch(request); });
        } else if (path == EtcdProtocol::rangePath) {
            runRateLimited(request, m_readStatistics, m_readLimiter, readRate(), [this, request] { range(request); });
        } else {
            runRateLimited(
                request, m_writeStatistics, m_writeLimiter, m_options.writesPerSecond, [this, request, path] {
                    write(request, path);
                });
        }
        return restinio::request_accepted();
    }

    double readRate() const
    {
        const auto watches = static_cast<double>(m_streams.size());
        return std::max(1.0, static_cast<double>(m_options.readsPerSecond) - watches);
    }

    void runRateLimited(const RequestPtr &request,
                        CallStatistics &statistics,
                        RateLimiter &limiter,
                        double rate,
                        std::function<void()> work)
    {
        const auto now = m_timers.now();
        statistics.add(now);
        if (m_refuseAboveRate && !limiter.tryReserve(rate, now)) {
            refuse(request);
            return;
        }
        const Duration wait = m_refuseAboveRate ? Duration::zero() : limiter.reserve(rate, now);
        if (wait > maxRateLimitDelay) {
            refuse(request);
            return;
        }
        runAfter(wait, std::move(work));
    }

    void refuse(const RequestPtr &request)
    {
        ++m_refused;
        respondError(request, Error(ErrorCode::Overloaded, "etcdserver: too many requests"));
    }

    void runAfter(Duration delay, std::function<void()> work)
    {
        if (delay <= Duration::zero()) {
            work();
            return;
        }
        const auto id = m_nextTimer++;
        m_delayTimers.emplace(id, m_timers.once(delay, [this, id, work = std::move(work)] {
            const auto handle = std::move(m_delayTimers.at(id));
            m_delayTimers.erase(id);
            work();
        }));
    }

    void withholdResponse(const RequestPtr &request)
    {
        runAfter(withheldResponseTime, [request] {
            request->create_response(restinio::status_service_unavailable()).connection_close().done();
        });
    }

    /** Returns a callback that sends the encoded result. A result of OutcomeUnknown is withheld: faults lost it. */
    template <typename T, typename Encode>
    auto responder(const RequestPtr &request, Encode encode)
    {
        return [this, request, encode](Result<T> result) {
            if (result) {
                respond(request, restinio::status_ok(), encode(*result));
            } else if (result.error().code() == ErrorCode::OutcomeUnknown) {
                withholdResponse(request);
            } else {
                respondError(request, result.error());
            }
        };
    }

    void range(const RequestPtr &request)
    {
        const auto decoded = EtcdProtocol::decodeRangeRequest(request->body());
        if (!decoded) {
            respondError(request, decoded.error());
            return;
        }
        m_store.range(*decoded, responder<RangeResult>(request, &EtcdProtocol::encodeRangeResult));
    }

    void write(const RequestPtr &request, const std::string &path)
    {
        if (path == EtcdProtocol::transactionPath) {
            commit(request);
        } else if (path == EtcdProtocol::leaseGrantPath) {
            grantLease(request);
        } else if (path == EtcdProtocol::leaseKeepAlivePath) {
            keepLeaseAlive(request);
        } else if (path == EtcdProtocol::leaseRevokePath) {
            revokeLease(request);
        } else {
            respondError(request, Error(ErrorCode::NotFound, "Not Found"));
        }
    }

    void commit(const RequestPtr &request)
    {
        const auto decoded = EtcdProtocol::decodeTransaction(request->body());
        if (!decoded) {
            respondError(request, decoded.error());
            return;
        }
        m_store.commit(*decoded, responder<TransactionResult>(request, [transaction = *decoded](const auto &result) {
            return EtcdProtocol::encodeTransactionResult(transaction, result);
        }));
    }

    void grantLease(const RequestPtr &request)
    {
        const auto timeToLive = EtcdProtocol::decodeLeaseGrantRequest(request->body());
        if (!timeToLive) {
            respondError(request, timeToLive.error());
            return;
        }
        m_store.grantLease(*timeToLive, responder<LeaseGrant>(request, [this](const LeaseGrant &grant) {
            return EtcdProtocol::encodeLeaseGrant(grant, m_store.revision());
        }));
    }

    void keepLeaseAlive(const RequestPtr &request)
    {
        const auto lease = EtcdProtocol::decodeLeaseRequest(request->body());
        if (!lease) {
            respondError(request, lease.error());
            return;
        }
        const auto encode = [this](const LeaseGrant &grant) {
            return EtcdProtocol::encodeKeepAlive(grant, m_store.revision());
        };
        m_store.keepLeaseAlive(
            *lease, [lease = *lease, encode, done = responder<LeaseGrant>(request, encode)](Result<LeaseGrant> result) {
                // The etcd gateway reports an expired lease as a time to live of zero, not as an error.
                if (!result && result.error().code() == ErrorCode::NotFound) {
                    result = LeaseGrant{.id = lease, .timeToLive = std::chrono::seconds(0)};
                }
                done(std::move(result));
            });
    }

    void revokeLease(const RequestPtr &request)
    {
        const auto lease = EtcdProtocol::decodeLeaseRequest(request->body());
        if (!lease) {
            respondError(request, lease.error());
            return;
        }
        m_store.revokeLease(*lease, responder<bool>(request, [this](bool) {
            return EtcdProtocol::encodeLeaseRevoked(m_store.revision());
        }));
    }

    void watch(const RequestPtr &request)
    {
        const auto decoded = EtcdProtocol::decodeWatchRequest(request->body());
        if (!decoded) {
            respondError(request, decoded.error());
            return;
        }
        if (m_store.faults().unavailable) {
            respondError(request, Error(ErrorCode::Unavailable, "etcdserver: no leader"));
            return;
        }
        const auto id = request->connection_id();
        auto stream = std::make_unique<WatchStream>(request, [this, id] { m_streams.erase(id); });
        WatchMessage created;
        created.created = true;
        created.revision = m_store.revision();
        created.generation = m_store.generation();
        stream->send(created);
        stream->start(m_store.watch(*decoded, *stream));
        m_streams[id] = std::move(stream);
    }

    void sendProgress()
    {
        if (m_silent) {
            return;
        }
        WatchMessage progress;
        progress.revision = m_store.revision();
        progress.generation = m_store.generation();
        for (const auto &[id, stream] : m_streams) {
            stream->send(progress);
        }
    }

    void handleControl(const RequestPtr &request, const std::string &path)
    {
        if (path == "/control/stats" && request->header().method() == restinio::http_method_get()) {
            respond(request, restinio::status_ok(), statsJson());
            return;
        }
        if (path != "/control" || request->header().method() != restinio::http_method_post()) {
            respondError(request, Error(ErrorCode::NotFound, "Not Found"));
            return;
        }
        try {
            applyControl(Json::parse(request->body()));
            respond(request, restinio::status_ok(), "{}");
        } catch (const std::exception &error) {
            respondError(request, Error(ErrorCode::InvalidArgument, error.what()));
        }
    }

    /**
     * Applies a control request. Absent fields keep their value; a request with an unknown field is refused. Fields:
     * down (bool): calls are refused with 503 and watches end.
     * silent (bool): calls and watches receive nothing, as when the network drops all packets from the store.
     * latency_ms, answer_delay_ms (number): delay before and after the effect of each call.
     * lose_answers (number N): the next N writes take effect, but their responses are withheld.
     * lose_answers_prefix (string): the same for all writes of a key with this prefix; empty for none.
     * lose_requests (number N): the next N writes have no effect and no response.
     * stale_reads (number N): range calls return the state of N revisions ago.
     * copy (bool): true takes a copy of the store, for restore.
     * restore (bool): true restores the store from the copy.
     * refuse_above_rate (bool): calls above the rate limit receive 429 at once instead of being delayed.
     * writes_per_second, reads_per_second (number): the rate limits.
     */
    void applyControl(const Json &json)
    {
        // All fields are read into copies first, so that a refused request changes nothing.
        auto faults = m_store.faults();
        auto options = m_options;
        bool silent = m_silent;
        bool refuseAboveRate = m_refuseAboveRate;
        bool copy = false;
        bool restore = false;
        for (const auto &[name, value] : json.items()) {
            if (name == "down") {
                faults.unavailable = value.get<bool>();
            } else if (name == "silent") {
                silent = value.get<bool>();
            } else if (name == "latency_ms") {
                faults.applyDelay = std::chrono::milliseconds(value.get<std::uint32_t>());
            } else if (name == "answer_delay_ms") {
                faults.answerDelay = std::chrono::milliseconds(value.get<std::uint32_t>());
            } else if (name == "lose_answers") {
                faults.loseAnswers = value.get<std::uint32_t>();
            } else if (name == "lose_answers_prefix") {
                faults.loseAnswersPrefix = value.get<std::string>();
            } else if (name == "lose_requests") {
                faults.loseRequests = value.get<std::uint32_t>();
            } else if (name == "stale_reads") {
                faults.staleReads = value.get<std::uint32_t>();
            } else if (name == "copy") {
                copy = value.get<bool>();
            } else if (name == "restore") {
                restore = value.get<bool>();
            } else if (name == "refuse_above_rate") {
                refuseAboveRate = value.get<bool>();
            } else if (name == "writes_per_second") {
                options.writesPerSecond = value.get<std::uint32_t>();
            } else if (name == "reads_per_second") {
                options.readsPerSecond = value.get<std::uint32_t>();
            } else {
                throw std::invalid_argument("unknown field " + name);
            }
        }
        m_store.setFaults(std::move(faults));
        m_options = std::move(options);
        m_silent = silent;
        m_refuseAboveRate = refuseAboveRate;
        if (copy) {
            m_copy = m_store.copy();
        }
        if (restore) {
            m_store.restore(m_copy);
        }
    }

    /** Returns the counters. calls_per_second is the number of calls in the last second plus that of open watches. */
    std::string statsJson()
    {
        const auto now = m_timers.now();
        const auto reads = m_readStatistics.lastSecond(now);
        const auto writes = m_writeStatistics.lastSecond(now);
        return Json{{"reads", m_readStatistics.total()},
                    {"writes", m_writeStatistics.total()},
                    {"refused", m_refused},
                    {"waiting_watches", m_streams.size()},
                    {"reads_last_second", reads},
                    {"writes_last_second", writes},
                    {"calls_per_second", reads + writes + m_streams.size()},
                    {"revision", m_store.revision()}}
            .dump();
    }

    StoreStandinOptions m_options;
    AsioExecutor m_executor;
    AsioTimerService m_timers;
    InMemoryStore m_store;
    StoreModel m_copy; ///< Initially the empty store.
    bool m_silent = false;
    bool m_refuseAboveRate = false;
    RateLimiter m_readLimiter;
    RateLimiter m_writeLimiter;
    CallStatistics m_readStatistics;
    CallStatistics m_writeStatistics;
    std::uint64_t m_refused = 0;
    std::uint16_t m_port = 0;
    std::shared_ptr<ConnectionListener> m_connectionListener;
    Server m_server;
    std::map<restinio::connection_id_t, std::unique_ptr<WatchStream>> m_streams;
    std::map<std::uint64_t, TimerHandle> m_delayTimers;
    std::uint64_t m_nextTimer = 1;
    TimerHandle m_progressTimer;
};

Result<std::unique_ptr<StoreStandin>> StoreStandin::make(StoreStandinOptions options, asio::io_context &context)
{
    auto impl = std::make_unique<Impl>(std::move(options), context);
    try {
        impl->open();
    } catch (const std::exception &error) {
        return makeError(ErrorCode::Unavailable, std::string("cannot listen: ") + error.what());
    }
    return std::unique_ptr<StoreStandin>(new StoreStandin(std::move(impl)));
}

StoreStandin::StoreStandin(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

StoreStandin::~StoreStandin() = default;

Endpoint StoreStandin::localEndpoint() const
{
    return m_impl->localEndpoint();
}

} // namespace Hornbeam
