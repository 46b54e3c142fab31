#include "baselinenode.h"

#include "repositorysource.h"

#include <hornbeam/base/asioruntime.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/store/etcdstore.h>

#include <restinio/all.hpp>

namespace Hornbeam {

namespace {

// The benchmark's poller keeps its connections open between changes.
constexpr std::chrono::hours idleTimeout(1);

using Server = restinio::http_server_t<restinio::default_single_thread_traits_t>;

} // namespace

class BaselineNode::Impl : private ConfigSourceListener
{
public:
    Impl(const BaselineNodeOptions &options, asio::io_context &context)
        : m_options(options)
        , m_executor(context)
        , m_timers(context)
        , m_server(restinio::external_io_context(context), [this](auto &settings) { configure(settings); })
    {
    }

    Result<bool> open()
    {
        auto store = EtcdStore::make(
            {.endpoints = {m_options.store}, .localAddress = m_options.listen.address()}, m_executor, m_metrics);
        if (!store) {
            return tl::unexpected(store.error());
        }
        m_store = std::move(*store);
        ConfigSourceListener &listener = *this;
        m_sync = std::make_unique<RepositorySource>(*m_store, m_timers, listener);
        try {
            m_server.open_sync();
        } catch (const std::exception &error) {
            return makeError(ErrorCode::Unavailable, error.what());
        }
        return true;
    }

    void start()
    {
        m_sync->setWatching(true);
    }

private:
    template <typename Settings>
    void configure(Settings &settings)
    {
        settings.address(m_options.listen.address())
            .port(m_options.listen.port())
            .read_next_http_message_timelimit(idleTimeout)
            .request_handler([this](const restinio::request_handle_t &request) { return handle(request); });
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        if (request->header().method() != restinio::http_method_get()) {
            return request->create_response(restinio::status_method_not_allowed()).done();
        }
        if (request->header().path() == "/metrics") {
            return request->create_response(restinio::status_ok()).set_body(m_metrics.render()).done();
        }
        const auto version = m_snapshot->version();
        const auto status = version == 0 ? restinio::status_service_unavailable() : restinio::status_ok();
        return request->create_response(status).append_header("X-Hornbeam-Version", std::to_string(version)).done();
    }

    SnapshotPtr currentSnapshot() const override
    {
        return m_snapshot;
    }

    void receivedSnapshot(const SnapshotPtr &snapshot) override
    {
        if (snapshot->version() > m_snapshot->version()) {
            m_snapshot = snapshot;
        }
    }

    void receivedStoreVersion(ConfigVersion) override {}

    void configurationRefused(const Error & /*error*/) override {}

    void storeReachable(bool) override {}

    void storeRestored(StoreGeneration, StoreGeneration) override {}

    void storeHistoryLost(const Error & /*error*/) override {}

    const BaselineNodeOptions m_options;
    AsioExecutor m_executor;
    AsioTimerService m_timers;
    MetricsRegistry m_metrics;
    SnapshotPtr m_snapshot = Snapshot::empty();
    std::unique_ptr<HttpStore> m_store;
    std::unique_ptr<RepositorySource> m_sync;
    Server m_server;
};

Result<std::unique_ptr<BaselineNode>> BaselineNode::make(const BaselineNodeOptions &options, asio::io_context &context)
{
    auto impl = std::make_unique<Impl>(options, context);
    const auto opened = impl->open();
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return std::unique_ptr<BaselineNode>(new BaselineNode(std::move(impl)));
}

BaselineNode::BaselineNode(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

BaselineNode::~BaselineNode() = default;

void BaselineNode::start()
{
    m_impl->start();
}

} // namespace Hornbeam
