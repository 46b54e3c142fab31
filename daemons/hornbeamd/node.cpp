#include "node.h"

#include "adminfacade.h"
#include "crashreportforwarder.h"
#include "logger.h"
#include "nodeoptions.h"
#include "ratelimits.h"
#include "repositorysource.h"
#include "requestlogger.h"
#include "rolloutagent.h"
#include "routingpublisher.h"
#include "watchercandidacy.h"
#include "zonesummary.h"

#include <hornbeam/admin/adminserver.h>
#include <hornbeam/base/asioruntime.h>
#include <hornbeam/base/metrics.h>
#include <hornbeam/base/randomid.h>
#include <hornbeam/claims/storeclaimcoordinator.h>
#include <hornbeam/config/documentsource.h>
#include <hornbeam/directory/departurelog.h>
#include <hornbeam/directory/nodedirectory.h>
#include <hornbeam/dissemination/disseminator.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/membership/targetregistry.h>
#include <hornbeam/membership/udptransport.h>
#include <hornbeam/peer/grpcpeerclient.h>
#include <hornbeam/peer/grpcpeerserver.h>
#include <hornbeam/platform/announcements.h>
#include <hornbeam/platform/configdocumentdecoder.h>
#include <hornbeam/platform/platformstore.h>
#include <hornbeam/platform/rolloutdocuments.h>
#include <hornbeam/proxy/crashquarantine.h>
#include <hornbeam/proxy/proxyserver.h>
#include <hornbeam/settings/settings.h>
#include <hornbeam/store/etcdstore.h>

#include <asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

// Upper bound of the random delay before the first store read, so that nodes that start at the same time do not read
// all at once.
constexpr auto storeReadJitter = 200ms;

// A store read may be stale, so the node first learns the configuration versions of its peers. If it has not joined
// within this time, it continues with the store alone.
constexpr auto joinTimeout = 1s;

// Until the node has read which targets of its host have left, it lists none. If the store does not answer within this
// time, serving the targets that announce themselves is more important.
constexpr auto departuresTimeout = 1s;

// Bodies of requests to the admin listener on the platform, and to the listeners for readiness and metrics, which are
// meant for requests without a body. Each of their connections may hold a body in memory.
constexpr std::size_t platformBodyBytes = std::size_t{256} * 1024;
constexpr std::size_t extraListenerBodyBytes = std::size_t{64} * 1024;

const char *registrationReasonName(RegistrationReason reason)
{
    switch (reason) {
    case RegistrationReason::Start:
        return "start";
    case RegistrationReason::LeaseExpired:
        return "lease expired";
    case RegistrationReason::EntryLost:
        return "entry lost";
    }
    return "unknown";
}

} // namespace

/**
 * Owns the components in dependency order: each refers only to members declared before it, except that
 * m_departures and m_crashReportForwarder also refer to m_targets.
 */
class Node::Impl : private ConfigSourceListener
{
public:
    Impl(const Settings &settings, asio::io_context &control)
        : m_settings(settings)
        , m_control(control)
        , m_id(randomId())
        , m_executor(control)
        , m_timers(control)
        , m_configuration(m_metrics)
        , m_quarantine({})
        , m_publisher({.executor = m_executor,
                       .timers = m_timers,
                       .configuration = m_configuration,
                       .members = m_members,
                       .quarantine = m_quarantine})
        , m_targets(m_timers, [this](const std::vector<Target> &targets) { targetsChanged(targets); })
    {
    }

    Result<bool> build();
    void start();
    void shutDown(std::function<void()> stopped);

private:
    SnapshotPtr currentSnapshot() const override;
    void receivedSnapshot(const SnapshotPtr &snapshot) override;
    void receivedStoreVersion(ConfigVersion version) override;
    void storeReachable(bool reachable) override;
    void storeRestored(StoreGeneration earlier, StoreGeneration current) override;
    void storeHistoryLost(const Error &error) override;
    void configurationRefused(const Error &error) override;

    Result<bool> buildMembership();
    Result<bool> buildDistribution();
    Result<bool> buildTraffic();
    Result<bool> buildAdmin();
    void subscribe();
    Result<bool> buildRollouts();
    void startStoreAccess();
    bool isOnPlatform() const;
    void registeredInDirectory(RegistrationReason reason);
    void operatorDocumentReceived(const KeyValue &entry);
    void departuresRead(const std::vector<Departure> &departures);
    void targetsChanged(std::vector<Target> targets);
    void versionApplied(const SnapshotPtr &snapshot);
    void memberChanged(const MemberPtr &before, const MemberPtr &after);
    void updateMemberGauges();
    void updateReady();
    void becameReady();
    void watcherChanged(bool watcher);

    const Settings m_settings;
    asio::io_context &m_control;
    const std::string m_id;
    Logger m_log{"node"};
    AsioExecutor m_executor;
    AsioTimerService m_timers;
    MetricsRegistry m_metrics;
    RequestLogger m_requestLog{m_metrics};
    SnapshotHolder m_configuration;
    MembershipTable m_members;
    CrashQuarantine m_quarantine;
    RoutingPublisher m_publisher;
    std::unique_ptr<HttpStore> m_store;
    std::unique_ptr<UdpTransport> m_udpTransport;
    std::unique_ptr<FailureDetector> m_detector;
    std::unique_ptr<RateLimits> m_rateLimits;
    std::unique_ptr<GrpcPeerClient> m_peerClient;
    std::unique_ptr<Disseminator> m_disseminator;
    std::unique_ptr<GrpcPeerServer> m_peerServer;
    const Platform::ConfigDocumentDecoder m_documentDecoder;
    std::unique_ptr<ConfigSource> m_configSource;
    std::unique_ptr<WatcherCandidacy> m_candidacy; ///< Null when all nodes watch the store.
    std::unique_ptr<NodeDirectory> m_directory; ///< Null outside the platform, where the settings list the seeds.
    std::unique_ptr<DepartureLog> m_departures; ///< Null outside the platform, whose targets do not number their runs.
    const Platform::RolloutStatusDocument m_rolloutStatus;
    std::unique_ptr<RolloutAgent> m_rollouts; ///< Null unless the settings have limits for roll-outs.
    std::unique_ptr<CrashReportForwarder> m_crashReportForwarder;
    std::unique_ptr<StoreClaimCoordinator> m_claims;
    std::unique_ptr<ProxyServer> m_proxy;
    TargetRegistry m_targets;
    std::unique_ptr<AdminFacade> m_adminFacade;
    std::unique_ptr<AdminExtension> m_adminExtension; ///< Null outside the platform.
    std::unique_ptr<AdminServer> m_adminServer;
    std::vector<std::unique_ptr<AdminServer>> m_extraAdminServers; ///< Same API at the health and metrics addresses.
    TimerHandle m_joinTimer;
    TimerHandle m_departuresTimer;
    bool m_storeAccessStarted = false;
};

Result<bool> Node::Impl::build()
{
    auto store = isOnPlatform() ? Platform::makeStore(storeOptions(m_settings), m_executor, m_metrics)
                                : EtcdStore::make(storeOptions(m_settings), m_executor, m_metrics);
    if (!store) {
        return tl::unexpected(store.error());
    }
    m_store = std::move(*store);
    for (const auto step : {&Impl::buildMembership,
                            &Impl::buildDistribution,
                            &Impl::buildRollouts,
                            &Impl::buildTraffic,
                            &Impl::buildAdmin}) {
        auto result = (this->*step)();
        if (!result) {
            return result;
        }
    }
    subscribe();
    return true;
}

Result<bool> Node::Impl::buildMembership()
{
    auto transport = UdpTransport::make(m_control, m_settings.peer.listen, m_metrics);
    if (!transport) {
        return tl::unexpected(transport.error());
    }
    m_udpTransport = std::move(*transport);
    auto detector = FailureDetector::make(
        detectorOptions(m_settings, m_id),
        {.transport = *m_udpTransport, .timers = m_timers, .table = m_members, .metrics = m_metrics});
    if (!detector) {
        return tl::unexpected(detector.error());
    }
    m_detector = std::move(*detector);
    m_rateLimits = std::make_unique<RateLimits>(
        RateLimitNodeOptions{.id = m_id, .zone = m_settings.node.zone},
        RateLimitsDependencies{
            .timers = m_timers, .detector = *m_detector, .members = m_members, .metrics = m_metrics});
    m_rateLimits->setExpectedNodes(m_settings.peer.seeds.size());
    return true;
}

Result<bool> Node::Impl::buildDistribution()
{
    auto peerClient =
        GrpcPeerClient::make({.localAddress = m_settings.peer.listen.address()},
                             {.context = m_control, .control = m_executor, .timers = m_timers, .metrics = m_metrics});
    if (!peerClient) {
        return tl::unexpected(peerClient.error());
    }
    m_peerClient = std::move(*peerClient);
    auto disseminator = Disseminator::make(disseminatorOptions(m_settings, m_id),
                                           {.peers = *m_peerClient,
                                            .timers = m_timers,
                                            .table = m_members,
                                            .config = m_configuration,
                                            .metrics = m_metrics});
    if (!disseminator) {
        return tl::unexpected(disseminator.error());
    }
    m_disseminator = std::move(*disseminator);
    auto server = GrpcPeerServer::make({.listen = m_settings.peer.listen},
                                       {.context = m_control,
                                        .control = m_executor,
                                        .timers = m_timers,
                                        .service = *m_disseminator,
                                        .metrics = m_metrics});
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_peerServer = std::move(*server);
    ConfigSourceListener &listener = *this;
    if (isOnPlatform()) {
        FurtherDocuments further;
        if (m_settings.rollout) {
            // One watch for all documents of the operators costs no more calls than one for the configuration.
            further = {.prefix = Platform::operatorPrefix, .received = [this](const KeyValue &entry) {
                           operatorDocumentReceived(entry);
                       }};
        }
        m_configSource = std::make_unique<DocumentSource>(
            Platform::configurationKey, m_documentDecoder, *m_store, m_timers, listener, std::move(further));
        m_directory = std::make_unique<NodeDirectory>(
            NodeDirectoryOptions{.address = m_settings.peer.advertise},
            *m_store,
            m_timers,
            [this](const std::vector<Endpoint> &nodes) {
                m_detector->setSeeds(nodes);
                m_rateLimits->setExpectedNodes(nodes.size());
            },
            [this](RegistrationReason reason) { registeredInDirectory(reason); });
        m_departures = std::make_unique<DepartureLog>(
            DepartureLogOptions{.address = m_settings.peer.advertise},
            *m_store,
            m_timers,
            [this] { return m_targets.departures(); },
            [this](const std::vector<Departure> &departures) { departuresRead(departures); });
        return true;
    }
    m_configSource = std::make_unique<RepositorySource>(*m_store, m_timers, listener);
    auto candidacy = WatcherCandidacy::make(
        {.id = m_id, .zone = m_settings.node.zone, .watchersPerZone = m_settings.store.watchersPerZone},
        *m_store,
        m_timers,
        m_members,
        [this](bool watcher) { watcherChanged(watcher); });
    if (!candidacy) {
        return tl::unexpected(candidacy.error());
    }
    m_candidacy = std::move(*candidacy);
    return true;
}

Result<bool> Node::Impl::buildRollouts()
{
    if (!m_settings.rollout || !isOnPlatform()) {
        return true;
    }
    const auto &limits = *m_settings.rollout;
    auto agent = RolloutAgent::make({.node = m_id,
                                     .limits = {.canaryShare = limits.canaryShare,
                                                .canarySlack = limits.canarySlack,
                                                .rollbackTime = limits.rollbackTime}},
                                    {.store = *m_store,
                                     .timers = m_timers,
                                     .detector = *m_detector,
                                     .members = m_members,
                                     .metrics = m_metrics,
                                     .status = m_rolloutStatus});
    if (!agent) {
        return tl::unexpected(agent.error());
    }
    m_rollouts = std::move(*agent);
    m_rollouts->start([this] { m_publisher.update(); });
    m_publisher.setVersionRules([this](const std::vector<Target> &targets) {
        m_rollouts->setTargets(targets);
        return m_rollouts->rules();
    });
    return true;
}

Result<bool> Node::Impl::buildTraffic()
{
    auto claims = StoreClaimCoordinator::make(
        {.retention = m_settings.store.claimRetention},
        {.store = *m_store, .executor = m_executor, .timers = m_timers, .metrics = m_metrics});
    if (!claims) {
        return tl::unexpected(claims.error());
    }
    m_claims = std::move(*claims);
    m_crashReportForwarder =
        std::make_unique<CrashReportForwarder>(CrashReportForwarderDependencies{.executor = m_executor,
                                                                                .timers = m_timers,
                                                                                .quarantine = m_quarantine,
                                                                                .detector = *m_detector,
                                                                                .publisher = m_publisher,
                                                                                .targets = m_targets});
    auto proxy = ProxyServer::make(proxyOptions(m_settings, m_id),
                                   {.claims = *m_claims,
                                    .crashes = *m_crashReportForwarder,
                                    .metrics = m_metrics,
                                    .log = &m_requestLog,
                                    .limiter = m_rateLimits.get(),
                                    .outcomes = m_rollouts ? &m_rollouts->ledger() : nullptr});
    if (!proxy) {
        return tl::unexpected(proxy.error());
    }
    m_proxy = std::move(*proxy);
    return true;
}

Result<bool> Node::Impl::buildAdmin()
{
    m_adminFacade = std::make_unique<AdminFacade>(AdminFacadeDependencies{.id = m_id,
                                                                          .zone = m_settings.node.zone,
                                                                          .gateway = m_proxy->relayEndpoint(),
                                                                          .store = *m_store,
                                                                          .timers = m_timers,
                                                                          .configuration = m_configuration,
                                                                          .members = m_members,
                                                                          .targets = m_targets,
                                                                          .departures = m_departures.get(),
                                                                          .disseminator = *m_disseminator,
                                                                          .configSource = *m_configSource,
                                                                          .quarantine = m_quarantine,
                                                                          .publisher = m_publisher,
                                                                          .proxy = *m_proxy,
                                                                          .rollouts = m_rollouts.get(),
                                                                          .metrics = m_metrics});
    if (isOnPlatform()) {
        m_adminExtension = std::make_unique<Platform::Announcements>(
            Platform::AnnouncementOptions{.hostAddress = m_settings.traffic.listen.address()},
            *m_adminFacade,
            *m_adminFacade,
            [this](const std::string &target, const std::string &reason) {
                m_log.warning("announcement rejected", {{"target", target}, {"reason", reason}});
            });
    }
    const AdminDependencies dependencies{.operators = *m_adminFacade,
                                         .announcements = *m_adminFacade,
                                         .status = *m_adminFacade,
                                         .extension = m_adminExtension.get()};
    AdminServerOptions options{.listen = m_settings.admin.listen};
    if (isOnPlatform()) {
        // Operators do not call the node there, and an announcement has less than a kilobyte.
        options.maxBodyBytes = platformBodyBytes;
    }
    auto server = AdminServer::make(m_control, options, dependencies);
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_adminServer = std::move(*server);
    for (const auto &listen : {m_settings.admin.healthListen, m_settings.admin.metricsListen}) {
        if (!listen) {
            continue;
        }
        options.listen = *listen;
        options.maxBodyBytes = std::min(options.maxBodyBytes, extraListenerBodyBytes);
        auto extra = AdminServer::make(m_control, options, dependencies);
        if (!extra) {
            return tl::unexpected(extra.error());
        }
        m_extraAdminServers.push_back(std::move(*extra));
    }
    return true;
}

void Node::Impl::subscribe()
{
    m_configuration.subscribe([this](const SnapshotPtr &snapshot) { versionApplied(snapshot); });
    m_members.subscribe([this](const MemberPtr &before, const MemberPtr &after) { memberChanged(before, after); });
    m_detector->subscribeHeartbeats([this](const Heartbeat &it) {
        m_rateLimits->memberHeard();
        m_disseminator->heartbeatReceived(it);
    });
    m_detector->subscribePayloads([this](const Payload &it) { m_rateLimits->receive(it); });
    m_detector->subscribeRumors([this](const Rumor &it) { m_crashReportForwarder->rumorReceived(it); });
    m_detector->subscribeJoined([this] {
        m_disseminator->membershipJoined();
        startStoreAccess();
    });
    m_disseminator->subscribeReady([this] { updateReady(); });
}

void Node::Impl::start()
{
    m_publisher.start(*m_proxy);
    m_joinTimer = m_timers.once(joinTimeout, [this] { startStoreAccess(); });
    m_detector->start();
    if (m_directory) {
        m_directory->start();
    }
    if (m_rollouts) {
        m_rollouts->load([this] { updateReady(); });
    }
    if (m_departures) {
        m_targets.hideTargets();
        m_targets.subscribeDepartures([this] { m_departures->write(); });
        m_departuresTimer = m_timers.once(departuresTimeout, [this] { m_targets.restore({}); });
        m_departures->start();
    }
}

void Node::Impl::startStoreAccess()
{
    if (std::exchange(m_storeAccessStarted, true)) {
        return;
    }
    m_configSource->start(storeReadJitter);
    if (m_candidacy) {
        m_candidacy->start();
    } else {
        m_configSource->setWatching(true);
        m_detector->setStoreWatcher(true);
    }
}

void Node::Impl::shutDown(std::function<void()> stopped)
{
    m_log.info("stop requested", {{"requestsInFlight", std::to_string(m_proxy->requestsInFlight())}});
    m_adminFacade->setStopping();
    if (m_candidacy) {
        m_candidacy->stop();
    }
    if (m_rollouts) {
        m_rollouts->stop();
    }
    if (m_directory) {
        m_directory->leave();
    }
    m_configSource->setWatching(false);
    m_detector->leave();
    m_proxy->drain([this, stopped = std::move(stopped)] {
        m_log.info("drained", {{"requestsInFlight", std::to_string(m_proxy->requestsInFlight())}});
        m_executor.post(stopped);
    });
}

SnapshotPtr Node::Impl::currentSnapshot() const
{
    return m_configuration.current();
}

void Node::Impl::receivedSnapshot(const SnapshotPtr &snapshot)
{
    m_disseminator->offer(snapshot, OfferSource::Watched);
}

void Node::Impl::receivedStoreVersion(ConfigVersion version)
{
    m_metrics.gauge("hornbeam_store_config_version", "Configuration version in the store.")
        .set(static_cast<std::int64_t>(version));
    m_disseminator->setStoreHeadVersion(version);
}

void Node::Impl::storeReachable(bool reachable)
{
    m_metrics.gauge("hornbeam_store_reachable", "Whether the last configuration read from the store succeeded.")
        .set(reachable ? 1 : 0);
    if (reachable) {
        m_log.info("store reachable");
    } else {
        m_log.warning("store unreachable; keeping the version in effect",
                      {{"version", std::to_string(m_configuration.current()->version())}});
    }
}

void Node::Impl::storeRestored(StoreGeneration earlier, StoreGeneration current)
{
    m_metrics.counter("hornbeam_store_restorations_total", "Restorations of the store from an older copy.").add();
    m_log.warning("store restored from an older copy",
                  {{"generation", std::to_string(current)},
                   {"earlierGeneration", std::to_string(earlier)},
                   {"version", std::to_string(m_configuration.current()->version())}});
    if (m_directory) {
        m_directory->checkEntry();
    }
    if (m_departures && !m_targets.departures().empty()) {
        m_departures->write();
    }
}

void Node::Impl::storeHistoryLost(const Error &error)
{
    m_metrics
        .counter("hornbeam_store_history_lost_total",
                 "Watches that ended because the store no longer had the changes to report.")
        .add();
    m_log.info("watch of the store ended; reading again", {{"error", error.message()}});
}

void Node::Impl::configurationRefused(const Error &error)
{
    m_log.warning("configuration rejected; keeping the version in effect",
                  {{"version", std::to_string(m_configuration.current()->version())}, {"error", error.message()}});
}

bool Node::Impl::isOnPlatform() const
{
    return m_settings.environment == Environment::Platform;
}

void Node::Impl::registeredInDirectory(RegistrationReason reason)
{
    const std::string name = registrationReasonName(reason);
    m_metrics
        .counter("hornbeam_directory_registrations_total",
                 "Registrations of this node in the directory.",
                 {{"reason", name}})
        .add();
    m_log.info("registered in the directory", {{"reason", name}});
}

void Node::Impl::operatorDocumentReceived(const KeyValue &entry)
{
    if (!Platform::isRolloutOrder(entry)) {
        return;
    }
    const auto order = Platform::decodeRolloutOrder(entry);
    if (order) {
        m_rollouts->ordered(*order);
    } else {
        m_rollouts->orderRefused(entry.key, order.error());
    }
}

void Node::Impl::departuresRead(const std::vector<Departure> &departures)
{
    m_departuresTimer.reset();
    m_log.info("departures of targets read from the store", {{"count", std::to_string(departures.size())}});
    m_targets.restore(departures);
}

void Node::Impl::targetsChanged(std::vector<Target> targets)
{
    std::string versions;
    for (const auto &target : targets) {
        versions += (versions.empty() ? "" : ",") + target.service + ":" + target.version;
    }
    m_log.info("targets on this host changed", {{"count", std::to_string(targets.size())}, {"versions", versions}});
    m_publisher.setOwnTargets(targets);
    m_detector->setTargets(std::move(targets));
}

void Node::Impl::versionApplied(const SnapshotPtr &snapshot)
{
    m_metrics.gauge("hornbeam_config_version", "Configuration version in effect.")
        .set(static_cast<std::int64_t>(snapshot->version()));
    m_log.info("configuration applied", {{"version", std::to_string(snapshot->version())}});
    m_detector->setConfig(snapshot->version(), snapshot->contentDigest().prefix());
    std::vector<AccountLimit> limits;
    for (const auto &account : snapshot->accounts()) {
        limits.push_back({.name = account.name, .ratePerSecond = account.ratePerSecond, .burst = account.burst});
    }
    m_rateLimits->setLimits(std::move(limits));
}

void Node::Impl::memberChanged(const MemberPtr &before, const MemberPtr &after)
{
    const bool stateChanged = !before || !after || before->state != after->state;
    if (stateChanged) {
        m_rateLimits->membersChanged();
    }
    if (!stateChanged || !after || after->id == m_id) {
        return;
    }
    updateMemberGauges();
    if (after->state == MemberState::Failed) {
        m_log.warning("member failed", {{"id", after->id}, {"zone", after->zone}});
    } else if (after->state == MemberState::Left) {
        m_log.info("member left", {{"id", after->id}, {"zone", after->zone}});
        m_proxy->peerStops(after->id);
    } else if (!before) {
        m_log.info("member joined", {{"id", after->id}, {"zone", after->zone}});
    }
}

void Node::Impl::updateMemberGauges()
{
    m_metrics.gauge("hornbeam_members_live", "Alive and suspect members, this node included.")
        .set(static_cast<std::int64_t>(m_members.liveMembers()->size()));
    for (const auto &zone : summariseZones(m_members.allMembers())) {
        m_metrics.gauge("hornbeam_zone_members_live", "Alive and suspect members of a zone.", {{"zone", zone.zone}})
            .set(static_cast<std::int64_t>(zone.liveMembers));
    }
}

void Node::Impl::updateReady()
{
    if (m_disseminator->ready() && (!m_rollouts || m_rollouts->isLoaded())) {
        becameReady();
    }
}

void Node::Impl::becameReady()
{
    m_log.info("ready to serve", {{"version", std::to_string(m_configuration.current()->version())}});
    m_publisher.setReady();
    m_configSource->stopReading();
}

void Node::Impl::watcherChanged(bool watcher)
{
    m_log.info(watcher ? "store watcher role acquired" : "store watcher role lost");
    m_configSource->setWatching(watcher);
    m_detector->setStoreWatcher(watcher);
}

Result<std::unique_ptr<Node>> Node::make(const Settings &settings, asio::io_context &control)
{
    auto impl = std::make_unique<Impl>(settings, control);
    const auto built = impl->build();
    if (!built) {
        return tl::unexpected(built.error());
    }
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Node::~Node() = default;

void Node::start()
{
    m_impl->start();
}

void Node::shutDown(std::function<void()> stopped)
{
    m_impl->shutDown(std::move(stopped));
}

} // namespace Hornbeam
