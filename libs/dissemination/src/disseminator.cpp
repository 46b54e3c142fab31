#include <hornbeam/dissemination/disseminator.h>

#include <hornbeam/base/metrics.h>
#include <hornbeam/dissemination/fanouttree.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t maxRetainedDeltas = 64;
constexpr std::size_t maxRetainedBytes = 8 << 20;
constexpr std::size_t maxForwardedRanges = 16;
constexpr std::size_t maxPendingForwards = 16;
constexpr std::uint32_t maxFanout = 64;

// A version that cannot be applied is the same at every peer. Fetching it again at each heartbeat would waste traffic.
constexpr auto rejectedRetryDelay = std::chrono::seconds(30);

} // namespace

Result<std::unique_ptr<Disseminator>> Disseminator::make(DisseminatorOptions options,
                                                         DisseminatorDependencies dependencies)
{
    const auto isFanout = [](std::uint32_t n) {
        return n >= 1 && n <= maxFanout;
    };
    if (!isFanout(options.fanout) || !isFanout(options.remoteZoneFanout)) {
        return makeError(ErrorCode::InvalidArgument, "a fan-out of the disseminator is not in 1..64");
    }
    if (options.pushTimeout <= Duration::zero() || options.fetchTimeout <= Duration::zero()
        || options.fetchJitter < Duration::zero() || options.watchDelay < Duration::zero()
        || options.watchJitter < Duration::zero() || options.joinWindow < Duration::zero()) {
        return makeError(ErrorCode::InvalidArgument, "a timeout, delay or window of the disseminator is out of range");
    }
    return std::unique_ptr<Disseminator>(new Disseminator(std::move(options), dependencies));
}

Disseminator::Disseminator(DisseminatorOptions options, DisseminatorDependencies dependencies)
    : m_options(std::move(options))
    , m_peers(dependencies.peers)
    , m_timers(dependencies.timers)
    , m_table(dependencies.table)
    , m_config(dependencies.config)
    , m_selfHash(memberHash(m_options.id))
    , m_random(m_options.randomSeed != 0 ? m_options.randomSeed : std::random_device()())
    , m_pushes(dependencies.metrics.counter("hornbeam_dissemination_pushes_total", "Pushes sent to peers."))
    , m_replacements(dependencies.metrics.counter("hornbeam_dissemination_replacements_total",
                                                  "Pushes sent to another member because one did not acknowledge."))
    , m_fetches(dependencies.metrics.counter("hornbeam_dissemination_fetches_total", "Fetches sent to peers."))
    , m_conflicts(dependencies.metrics.counter("hornbeam_dissemination_conflicts_total",
                                               "Reports of the applied version with different content."))
    , m_fetchBackoff(
          {.initial = std::chrono::milliseconds(100), .maximum = std::chrono::seconds(2), .seed = m_options.randomSeed})
    , m_alive(std::make_shared<bool>(true))
{
}

Disseminator::~Disseminator()
{
    *m_alive = false;
}

ApplyResult Disseminator::offer(const SnapshotPtr &snapshot, OfferSource source)
{
    const auto base = m_config.current();
    const auto result = m_config.apply(snapshot);
    if (result != ApplyResult::Applied) {
        // The watch event for a version may arrive before the confirm returns. The push then waits for m_originTimer,
        // but the origin must not delay it.
        if (result == ApplyResult::AlreadyCurrent && source == OfferSource::Confirmed && m_originPush) {
            originate();
        }
        return result;
    }
    const auto delta = Delta::between(*base, *snapshot);
    PushRequest push{.version = snapshot->version(), .contentDigest = snapshot->contentDigest()};
    push.sender = m_options.advertisedAddress;
    push.delta = delta.encode();
    retainDelta(delta, push.delta);
    if (push.delta.size() > m_options.maxPushBytes) {
        push.delta.clear();
    }
    forwardPending();
    updateReady();
    m_originPush = std::move(push);
    if (source == OfferSource::Confirmed) {
        originate();
    } else {
        // All watchers receive a version at the same time. The random delay lets the push of one of them reach the
        // others, which then do not push the version again.
        const auto delay = m_options.watchDelay + randomDelay(m_options.watchJitter);
        m_originTimer = m_timers.once(delay, [this] { originate(); });
    }
    return result;
}

void Disseminator::heartbeatReceived(const Heartbeat &heartbeat)
{
    const auto &current = *m_config.current();
    if (heartbeat.configVersion == current.version()
        && heartbeat.configDigestPrefix != current.contentDigest().prefix()) {
        m_conflicts.add();
    }
    scheduleFetch({.peer = heartbeat.peerAddress,
                   .version = heartbeat.configVersion,
                   .digestPrefix = heartbeat.configDigestPrefix});
    if (!m_ready && heartbeat.configVersion > 0 && m_joinWindowPassed && !m_joinWindowVersion) {
        // This peer is the first that has a configuration. Another join window lets the others report theirs.
        membershipJoined();
    }
    updateReady();
}

PushReply Disseminator::handlePush(const PushRequest &request)
{
    const auto reply = [this](PushOutcome outcome) {
        return PushReply{.outcome = outcome, .version = m_config.current()->version()};
    };
    if (request.zone != m_options.zone) {
        return reply(PushOutcome::Refused);
    }
    if (request.version < m_config.current()->version()) {
        return reply(PushOutcome::AlreadyCurrent);
    }
    if (request.version == m_config.current()->version()) {
        if (request.contentDigest != m_config.current()->contentDigest()) {
            m_conflicts.add();
            return reply(PushOutcome::Refused);
        }
        forward(request);
        return reply(PushOutcome::AlreadyCurrent);
    }
    if (request.delta.empty()) {
        forwardAfterFetch(request);
        return reply(PushOutcome::Fetching);
    }
    const auto delta = Delta::decode(request.delta);
    if (!delta || delta->targetVersion() != request.version || delta->targetDigest() != request.contentDigest) {
        m_config.recordRejection(request.version, "the pushed delta is malformed or does not match the pushed version");
        scheduleFetch(
            {.peer = request.sender, .version = request.version, .digestPrefix = request.contentDigest.prefix()});
        return reply(PushOutcome::Refused);
    }
    switch (m_config.apply(*delta)) {
    case ApplyResult::Applied:
        retainDelta(*delta, request.delta);
        forward(request);
        forwardPending();
        updateReady();
        return reply(PushOutcome::Applied);
    case ApplyResult::WrongBase:
        forwardAfterFetch(request);
        return reply(PushOutcome::Fetching);
    default:
        scheduleFetch(
            {.peer = request.sender, .version = request.version, .digestPrefix = request.contentDigest.prefix()});
        return reply(PushOutcome::Refused);
    }
}

FetchReply Disseminator::handleFetch(const FetchRequest &request)
{
    const auto &current = *m_config.current();
    FetchReply reply{.version = current.version()};
    if (request.haveVersion >= current.version()) {
        return reply;
    }
    if (request.haveVersion > 0) {
        if (auto deltas = deltasFrom(request.haveVersion)) {
            reply.deltas = std::move(*deltas);
            return reply;
        }
    }
    reply.snapshot = encodedSnapshot();
    return reply;
}

void Disseminator::setStoreHeadVersion(ConfigVersion version)
{
    m_storeHeadVersion = std::max(version, m_storeHeadVersion.value_or(0));
    updateReady();
}

void Disseminator::membershipJoined()
{
    m_joinWindowPassed = false;
    m_joinTimer = m_timers.once(m_options.joinWindow, [this] { joinWindowEnded(); });
}

void Disseminator::subscribeReady(ReadyListener listener)
{
    m_readyListeners.push_back(std::move(listener));
}

void Disseminator::retainDelta(const Delta &delta, std::string bytes)
{
    m_retainedBytes += bytes.size();
    m_retainedDeltas.push_back(
        {.base = delta.baseVersion(), .target = delta.targetVersion(), .bytes = std::move(bytes)});
    while (m_retainedDeltas.size() > maxRetainedDeltas || m_retainedBytes > maxRetainedBytes) {
        m_retainedBytes -= m_retainedDeltas.front().bytes.size();
        m_retainedDeltas.pop_front();
    }
}

std::optional<std::vector<std::string>> Disseminator::deltasFrom(ConfigVersion base) const
{
    std::vector<std::string> chain;
    std::size_t bytes = 0;
    for (const auto &retained : m_retainedDeltas) {
        if (retained.base == base) {
            chain.push_back(retained.bytes);
            bytes += retained.bytes.size();
            base = retained.target;
        }
    }
    const bool complete = base == m_config.current()->version();
    if (!complete || (m_encodedVersion == base && bytes >= m_encodedSnapshot.size())) {
        return std::nullopt;
    }
    return chain;
}

const std::string &Disseminator::encodedSnapshot()
{
    if (m_encodedVersion != m_config.current()->version() || m_encodedSnapshot.empty()) {
        m_encodedVersion = m_config.current()->version();
        m_encodedSnapshot = m_config.current()->encode();
    }
    return m_encodedSnapshot;
}

void Disseminator::originate()
{
    m_originTimer.reset();
    const auto push = std::exchange(m_originPush, std::nullopt).value_or(PushRequest());
    if (push.version != m_config.current()->version()) {
        return;
    }
    const auto members = m_table.liveMembers();
    std::set<std::string> zones;
    for (const auto &listed : *members) {
        zones.insert(listed.member->zone);
    }
    zones.erase(m_options.zone);
    for (const auto &zone : zones) {
        PushRequest remote = push;
        remote.zone = zone;
        pushBranches(FanoutTree::split(*members, zone, {}, m_selfHash, m_options.remoteZoneFanout), remote);
    }
    PushRequest local = push;
    local.zone = m_options.zone;
    forward(local);
}

void Disseminator::forward(const PushRequest &push)
{
    // A received push proves that another node is the origin of this version, so this node does not push it as a
    // watcher.
    m_originTimer.reset();
    m_originPush.reset();
    if (!markRangeForwarded(push.version, push.range)) {
        return;
    }
    PushRequest forwarded = push;
    forwarded.sender = m_options.advertisedAddress;
    const auto members = m_table.liveMembers();
    pushBranches(FanoutTree::split(*members, m_options.zone, push.range, m_selfHash, m_options.fanout), forwarded);
}

void Disseminator::forwardPending()
{
    for (const auto &push : std::exchange(m_pendingForwards, {})) {
        if (push.version == m_config.current()->version()
            && push.contentDigest == m_config.current()->contentDigest()) {
            forward(push);
        } else if (push.version > m_config.current()->version()) {
            m_pendingForwards.push_back(push);
        }
    }
}

bool Disseminator::markRangeForwarded(ConfigVersion version, const HashRange &range)
{
    if (m_forwardedVersion != version) {
        m_forwardedVersion = version;
        m_forwardedRanges.clear();
    }
    const bool known = std::any_of(m_forwardedRanges.begin(),
                                   m_forwardedRanges.end(),
                                   [&range](const HashRange &forwarded) { return forwarded.contains(range); });
    if (known || m_forwardedRanges.size() >= maxForwardedRanges) {
        return false;
    }
    m_forwardedRanges.push_back(range);
    return true;
}

void Disseminator::pushBranches(const std::vector<FanoutBranch> &branches, const PushRequest &push)
{
    for (const auto &branch : branches) {
        PushRequest request = push;
        request.range = branch.range;
        pushBranch(std::make_shared<const FanoutBranch>(branch), 0, request);
    }
}

void Disseminator::pushBranch(const std::shared_ptr<const FanoutBranch> &branch,
                              std::size_t candidate,
                              const PushRequest &push)
{
    if (candidate >= branch->candidates.size() || push.version < m_config.current()->version()) {
        return;
    }
    m_pushes.add();
    if (candidate > 0) {
        m_replacements.add();
    }
    const auto peer = branch->candidates[candidate].member->peerAddress;
    m_peers.push(peer,
                 push,
                 m_options.pushTimeout,
                 [this, alive = m_alive, branch, candidate, push, peer](const Result<PushReply> &reply) {
                     if (!*alive) {
                         return;
                     }
                     if (!reply || reply->outcome == PushOutcome::Refused) {
                         pushBranch(branch, candidate + 1, push);
                     }
                     if (reply) {
                         scheduleFetch({.peer = peer, .version = reply->version});
                     }
                 });
}

void Disseminator::forwardAfterFetch(const PushRequest &request)
{
    if (m_pendingForwards.size() < maxPendingForwards) {
        m_pendingForwards.push_back(request);
    }
    scheduleFetch({.peer = request.sender, .version = request.version, .digestPrefix = request.contentDigest.prefix()});
}

void Disseminator::scheduleFetch(const FetchSource &source)
{
    if (source.version <= m_config.current()->version() || isRejected(source)) {
        return;
    }
    if (!m_nextSource || m_nextSource->version < source.version) {
        m_nextSource = source;
    }
    if (m_fetching || m_fetchTimer) {
        return;
    }
    const auto wait = std::max(Duration::zero(), m_nextFetch - m_timers.now());
    m_fetchTimer = m_timers.once(wait + randomDelay(m_options.fetchJitter), [this] { startFetch(); });
}

bool Disseminator::isRejected(const FetchSource &source) const
{
    return m_rejected && m_rejected->version == source.version && m_rejected->digestPrefix == source.digestPrefix
        && m_timers.now() < m_rejected->until;
}

void Disseminator::startFetch()
{
    m_fetchTimer.reset();
    const auto &current = *m_config.current();
    const auto source = std::exchange(m_nextSource, std::nullopt).value_or(FetchSource());
    if (source.version <= current.version()) {
        return;
    }
    FetchRequest request;
    if (!std::exchange(m_fetchFullSnapshot, false)) {
        request = {.haveVersion = current.version(), .haveDigest = current.contentDigest()};
    }
    m_fetching = true;
    m_fetches.add();
    m_peers.fetch(
        source.peer, request, m_options.fetchTimeout, [this, alive = m_alive, source](const Result<FetchReply> &reply) {
            if (*alive) {
                fetchFinished(source, reply);
            }
        });
}

void Disseminator::fetchFinished(const FetchSource &source, const Result<FetchReply> &reply)
{
    m_fetching = false;
    if (reply && applyFetched(source, *reply)) {
        m_fetchBackoff.reset();
        m_nextFetch = m_timers.now();
    } else {
        m_nextFetch = m_timers.now() + m_fetchBackoff.next();
    }
    if (m_fetchFullSnapshot) {
        scheduleFetch(source);
    }
    if (m_nextSource) {
        scheduleFetch(FetchSource(*m_nextSource));
    }
}

bool Disseminator::applyFetched(const FetchSource &source, const FetchReply &reply)
{
    if (!reply.deltas.empty()) {
        return applyDeltas(reply.deltas);
    }
    return !reply.snapshot.empty() && applySnapshot(source, reply.snapshot);
}

bool Disseminator::applyDeltas(const std::vector<std::string> &encoded)
{
    auto snapshot = m_config.current();
    std::vector<Delta> deltas;
    for (const auto &bytes : encoded) {
        const auto delta = Delta::decode(bytes);
        const auto next = delta ? delta->applyTo(*snapshot) : Result<SnapshotPtr>(tl::unexpected(delta.error()));
        if (!next) {
            // A push may have changed the applied version since the request, or the peer has different content.
            m_fetchFullSnapshot = true;
            return false;
        }
        snapshot = *next;
        deltas.push_back(*delta);
    }
    for (std::size_t i = 0; i < deltas.size(); ++i) {
        retainDelta(deltas[i], encoded[i]);
    }
    return applyAndForward(snapshot);
}

bool Disseminator::applySnapshot(const FetchSource &source, const std::string &encoded)
{
    const auto snapshot = Snapshot::decode(encoded);
    if (!snapshot) {
        m_config.recordRejection(source.version, snapshot.error().message());
        m_rejected = {.version = source.version,
                      .digestPrefix = source.digestPrefix,
                      .until = m_timers.now() + rejectedRetryDelay};
        return false;
    }
    const auto base = m_config.current();
    if (base->version() > 0 && (*snapshot)->version() > base->version()) {
        const auto delta = Delta::between(*base, **snapshot);
        retainDelta(delta, delta.encode());
    }
    return applyAndForward(*snapshot);
}

bool Disseminator::applyAndForward(const SnapshotPtr &snapshot)
{
    const auto result = m_config.apply(snapshot);
    if (result == ApplyResult::Applied) {
        forwardPending();
        updateReady();
    }
    return result == ApplyResult::Applied || result == ApplyResult::AlreadyCurrent;
}

ConfigVersion Disseminator::newestPeerVersion() const
{
    ConfigVersion newest = 0;
    for (const auto &listed : *m_table.liveMembers()) {
        if (listed.hash != m_selfHash) {
            newest = std::max(newest, listed.member->configVersion);
        }
    }
    return newest;
}

void Disseminator::joinWindowEnded()
{
    m_joinTimer.reset();
    m_joinWindowPassed = true;
    const auto newest = newestPeerVersion();
    if (newest > 0) {
        m_joinWindowVersion = newest;
    }
    updateReady();
}

void Disseminator::updateReady()
{
    if (m_ready || (!m_storeHeadVersion && !m_joinWindowVersion)) {
        return;
    }
    const auto requiredVersion =
        std::max({m_storeHeadVersion.value_or(0), m_joinWindowVersion.value_or(0), newestPeerVersion()});
    if (m_config.current()->version() < requiredVersion) {
        return;
    }
    m_ready = true;
    for (const auto &listener : m_readyListeners) {
        listener();
    }
}

Duration Disseminator::randomDelay(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

} // namespace Hornbeam
