#include <hornbeam/membership/failuredetector.h>

#include <hornbeam/base/metrics.h>
#include <hornbeam/membership/datagramtransport.h>

#include "prober.h"
#include "tablesync.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Hornbeam {

namespace {

// Collects updates that arrive together into shared datagrams. Over seven hops, the delays add up to far less than the
// 3 s in which an update has to reach all members.
constexpr auto flushDelay = std::chrono::milliseconds(5);

// One round of gossip, in which each member forwards an update to 3 others, misses 5% of the members; with a second
// round, nearly all are reached within the 3 s.
constexpr auto secondRoundDelay = std::chrono::milliseconds(200);
constexpr int maxDatagramsPerFlush = 4; // Keeps a burst below the default receive buffer size of a socket.
constexpr auto sweepPeriod = std::chrono::milliseconds(250);

// When this time has passed since the last sweep, the process did not run; missing answers are then no evidence that
// other members have failed.
constexpr auto pauseThreshold = std::chrono::seconds(1);

constexpr std::size_t leaveFanout = 8;
constexpr auto leaveRepeatDelay = std::chrono::milliseconds(50);
constexpr std::size_t maxIdBytes = 64;

bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= maxIdBytes;
}

} // namespace

class FailureDetector::Impl
{
public:
    Impl(FailureDetectorOptions options, FailureDetectorDependencies dependencies)
        : m_options(std::move(options))
        , m_transport(dependencies.transport)
        , m_timers(dependencies.timers)
        , m_table(dependencies.table)
        , m_updates(m_options.retransmissions)
        , m_rumors(m_timers, m_options.retransmissions)
        , m_channel(m_options, m_transport, m_table, m_updates, m_rumors)
        , m_prober(m_options, m_channel, m_timers, m_table, [this](MemberHash hash) { suspect(hash); })
        , m_sync(m_options, m_channel, m_timers, m_table, m_rumors, [this] { notifyJoined(); })
        , m_refutations(dependencies.metrics.counter("hornbeam_membership_refutations_total",
                                                     "Times that this node refuted a suspicion against itself."))
        , m_failures(dependencies.metrics.counter("hornbeam_membership_failures_total",
                                                  "Members that this node declared failed."))
        , m_invalidDatagrams(dependencies.metrics.counter("hornbeam_membership_invalid_datagrams_total",
                                                          "Datagrams that were malformed or out of range."))
        , m_pauses(dependencies.metrics.counter("hornbeam_membership_pauses_total",
                                                "Times that this process did not run for longer than a second."))
        , m_liveMembers(dependencies.metrics.gauge("hornbeam_membership_members",
                                                   "Alive and suspect members, this node included."))
    {
        m_self.id = m_options.id;
        m_self.zone = m_options.zone;
        m_self.peerAddress = m_options.advertisedAddress;
        m_self.incarnation = 1;
    }

    ~Impl()
    {
        m_transport.setReceiver({});
    }

    void start()
    {
        m_transport.setReceiver([this](std::string_view bytes) { receive(bytes); });
        m_lastRun = m_timers.now();
        m_sweepTimer = m_timers.every(sweepPeriod, [this] { sweep(); });
        publishSelf();
        m_prober.start();
        m_sync.start();
    }

    void leave()
    {
        if (m_self.state == MemberState::Left) {
            return;
        }
        m_prober.stop();
        m_sync.stop();
        m_suspicions.clear();
        m_self.state = MemberState::Left;
        ++m_self.incarnation;
        m_channel.setIncarnation(m_self.incarnation);
        sendLeave();
        m_flushTimer = m_timers.once(leaveRepeatDelay, [this] { sendLeave(); });
    }

    bool joined() const
    {
        return m_sync.joined();
    }

    void setSeeds(std::vector<Endpoint> seeds)
    {
        m_options.seeds = std::move(seeds);
        m_sync.contactSeeds();
    }

    void setTargets(std::vector<Target> targets)
    {
        std::sort(targets.begin(), targets.end());
        if (m_self.targets != targets) {
            m_self.targets = std::move(targets);
            publishNewIncarnation();
        }
    }

    void setStoreWatcher(bool watcher)
    {
        if (m_self.storeWatcher != watcher) {
            m_self.storeWatcher = watcher;
            publishNewIncarnation();
        }
    }

    void setConfig(std::uint64_t version, std::uint64_t digestPrefix)
    {
        m_self.configVersion = version;
        m_channel.setConfig(version, digestPrefix);
        m_table.recordConfigVersion(m_channel.selfHash(), version);
    }

    void spread(const Rumor &rumor)
    {
        if (m_rumors.add(rumor)) {
            scheduleFlush();
            notifyRumor(rumor);
        }
    }

    std::vector<Rumor> rumors() const
    {
        return m_rumors.active();
    }

    void sendPayload(const std::string &id, PayloadKind kind, const std::string &content)
    {
        const auto member = m_table.find(memberHash(id));
        if (!member || !isLive(member->state) || m_self.state == MemberState::Left
            || content.size() > maxPayloadBytes) {
            return;
        }
        auto datagram = m_channel.makeDatagram();
        datagram.mutable_payload()->set_kind(static_cast<std::uint32_t>(kind));
        datagram.mutable_payload()->set_content(content);
        m_channel.sendWithoutPiggyback(member->peerAddress, datagram);
    }

    std::vector<HeartbeatListener> heartbeatListeners;
    std::vector<RumorListener> rumorListeners;
    std::vector<JoinListener> joinListeners;
    std::vector<PayloadListener> payloadListeners;

private:
    void receive(std::string_view bytes)
    {
        const auto datagram = decodeDatagram(bytes);
        if (!datagram) {
            m_invalidDatagrams.add();
            return;
        }
        if (datagram->sender_id() == m_self.id) {
            return;
        }
        if (m_self.state == MemberState::Left) {
            answerAfterLeaving(*datagram);
            return;
        }
        const bool fromTablePage = datagram->has_table_page();
        const bool newSender = !m_table.find(memberHash(datagram->sender_id()));
        for (const auto &update : datagram->updates()) {
            applyUpdate(fromWire(update), fromTablePage);
        }
        if (newSender) {
            declarePredecessorsFailed(memberHash(datagram->sender_id()));
        }
        for (const auto &rumor : datagram->rumors()) {
            spread(fromWire(rumor, false));
        }
        for (const auto &rumor : datagram->refutations()) {
            spread(fromWire(rumor, true));
        }
        handleSender(*datagram);
        dispatch(*datagram);
    }

    void dispatch(const Wire::Datagram &datagram)
    {
        switch (datagram.body_case()) {
        case Wire::Datagram::kPing:
            return m_prober.handlePing(datagram);
        case Wire::Datagram::kPingRequest:
            return m_prober.handlePingRequest(datagram);
        case Wire::Datagram::kAck:
            return m_prober.handleAck(datagram);
        case Wire::Datagram::kTableDigest:
            return m_sync.handleTableDigest(datagram);
        case Wire::Datagram::kBucketDigests:
            return m_sync.handleBucketDigests(datagram);
        case Wire::Datagram::kTableRequest:
            return m_sync.handleTableRequest(datagram);
        case Wire::Datagram::kTablePage:
            return m_sync.handleTablePage(datagram);
        case Wire::Datagram::kPayload:
            return notifyPayload(datagram);
        case Wire::Datagram::kGossip:
        case Wire::Datagram::BODY_NOT_SET:
            return;
        }
    }

    void answerAfterLeaving(const Wire::Datagram &datagram)
    {
        // The sender of a ping has missed the announcement. Other datagrams are not answered, because two members that
        // have left could answer each other without end.
        if (datagram.has_ping()) {
            auto answer = m_channel.makeDatagram();
            answer.mutable_gossip();
            appendUpdate(answer, toWire(m_self));
            m_channel.sendWithoutPiggyback(endpointFromWire(datagram.sender_address()), answer);
        }
    }

    void handleSender(const Wire::Datagram &datagram)
    {
        const auto hash = memberHash(datagram.sender_id());
        const auto sender = m_table.find(hash);
        m_prober.messageReceived(hash);
        m_sync.messageReceived(endpointFromWire(datagram.sender_address()));
        const bool outdated = !sender || sender->incarnation < datagram.incarnation();
        // Two members that do not know each other would otherwise answer each table request with another one until a
        // page gets through.
        if (outdated && !datagram.has_table_request()) {
            m_sync.requestMember(endpointFromWire(datagram.sender_address()), hash);
        }
        if (sender && (sender->state == MemberState::Suspect || sender->state == MemberState::Failed)) {
            notifySuspectedSender(hash, *sender, datagram);
        }
        m_table.recordConfigVersion(hash, datagram.config_version());
        const Heartbeat heartbeat{.id = datagram.sender_id(),
                                  .peerAddress = endpointFromWire(datagram.sender_address()),
                                  .configVersion = datagram.config_version(),
                                  .configDigestPrefix = datagram.config_digest()};
        for (const auto &listener : heartbeatListeners) {
            listener(heartbeat);
        }
    }

    void notifySuspectedSender(MemberHash hash, const Member &sender, const Wire::Datagram &datagram)
    {
        const auto suspicion = m_suspicions.find(hash);
        if (suspicion != m_suspicions.end()) {
            // The member is reachable and gets the full suspicion timeout again to refute.
            suspicion->second = m_timers.now() + m_options.suspicionTimeout;
        }
        // The ack to a ping carries the recorded state already. If gossip were answered, two members that suspect each
        // other would exchange datagrams without end.
        if (!datagram.has_ping() && !datagram.has_gossip() && !datagram.has_payload()) {
            m_channel.sendRecordedState(sender);
        }
    }

    void applyUpdate(Member update, bool fromTablePage)
    {
        if (update.id == m_self.id) {
            refute(update);
            return;
        }
        const auto hash = memberHash(update.id);
        const auto known = m_table.find(hash);
        if (fromTablePage && update.state == MemberState::Failed && known && isLive(known->state)) {
            // The failure may have been declared long ago, for example on the other side of a partition that has
            // healed. The member only becomes suspect, which gives it time to refute.
            if (update.incarnation < known->incarnation || known->state == MemberState::Suspect) {
                return;
            }
            update = *known;
            update.state = MemberState::Suspect;
        }
        if (!m_table.merge(update)) {
            return;
        }
        memberChanged(hash);
        if (fromTablePage && update.state == MemberState::Suspect) {
            m_channel.sendRecordedState(update);
        }
        // A joining node does not forward the table that it receives: the other members know it already.
        if (!fromTablePage || m_sync.joined()) {
            forward(hash);
        }
    }

    /**
     * Declares other members at the peer address of @p successor failed. A datagram from the successor proves that it
     * has replaced their process.
     */
    void declarePredecessorsFailed(MemberHash successor)
    {
        const auto member = m_table.find(successor);
        if (!member) {
            return;
        }
        const auto members = m_table.liveMembers();
        for (const auto &listed : *members) {
            if (listed.hash != successor && listed.member->peerAddress == member->peerAddress) {
                declareFailed(listed.hash);
            }
        }
    }

    void declareFailed(MemberHash hash)
    {
        Member update = *m_table.find(hash);
        update.state = MemberState::Failed;
        if (m_table.merge(update)) {
            m_failures.add();
            memberChanged(hash);
            forward(hash);
        }
    }

    void suspect(MemberHash hash)
    {
        const auto known = m_table.find(hash);
        if (detectPause() || !known || known->state != MemberState::Alive) {
            return;
        }
        Member update = *known;
        update.state = MemberState::Suspect;
        if (m_table.merge(update)) {
            memberChanged(hash);
            forward(hash);
            m_channel.sendRecordedState(update);
        }
    }

    void memberChanged(MemberHash hash)
    {
        const auto member = m_table.find(hash);
        m_suspicions.erase(hash);
        m_tombstones.erase(hash);
        if (member->state == MemberState::Suspect) {
            m_suspicions[hash] = m_timers.now() + m_options.suspicionTimeout;
        } else if (!isLive(member->state)) {
            m_tombstones[hash] = m_timers.now() + m_options.tombstoneLifetime;
        }
        m_liveMembers.set(static_cast<std::int64_t>(m_table.liveMembers()->size()));
    }

    void forward(MemberHash hash)
    {
        m_updates.add(hash, toWire(*m_table.find(hash)));
        scheduleFlush();
    }

    void refute(const Member &update)
    {
        const bool reportedNotAlive = update.incarnation == m_self.incarnation && update.state != MemberState::Alive;
        if (update.incarnation > m_self.incarnation || reportedNotAlive) {
            m_refutations.add();
            m_self.incarnation = std::max(update.incarnation, m_self.incarnation);
            publishNewIncarnation();
        }
    }

    void publishNewIncarnation()
    {
        ++m_self.incarnation;
        publishSelf();
    }

    void publishSelf()
    {
        m_channel.setIncarnation(m_self.incarnation);
        if (m_table.merge(m_self)) {
            memberChanged(m_channel.selfHash());
            forward(m_channel.selfHash());
        }
    }

    void sweep()
    {
        const auto now = m_timers.now();
        detectPause();
        m_lastRun = now;
        declareExpiredSuspectsFailed(now);
        removeExpiredTombstones(now);
        m_prober.sweep();
        m_sync.sweep();
        m_rumors.sweep();
    }

    /**
     * Returns true when this process did not run for longer than pauseThreshold. All running suspicion timeouts are
     * then extended by the pause.
     */
    bool detectPause()
    {
        const auto pause = m_timers.now() - m_lastRun;
        if (pause <= pauseThreshold) {
            return false;
        }
        m_lastRun = m_timers.now();
        m_pauses.add();
        m_prober.abandonProbe();
        for (auto &[hash, deadline] : m_suspicions) {
            deadline += pause;
        }
        return true;
    }

    void declareExpiredSuspectsFailed(TimePoint now)
    {
        std::vector<MemberHash> expired;
        for (const auto &[hash, deadline] : m_suspicions) {
            if (deadline <= now) {
                expired.push_back(hash);
            }
        }
        for (const auto hash : expired) {
            declareFailed(hash);
        }
    }

    void removeExpiredTombstones(TimePoint now)
    {
        std::erase_if(m_tombstones, [this, now](const auto &entry) {
            if (entry.second > now) {
                return false;
            }
            m_table.remove(entry.first);
            return true;
        });
    }

    void scheduleFlush()
    {
        if (!m_flushTimer && m_self.state != MemberState::Left) {
            m_flushTimer = m_timers.once(flushDelay, [this] { flush(); });
        }
    }

    void flush()
    {
        m_flushTimer.reset();
        for (int n = 0; n < maxDatagramsPerFlush && (m_updates.hasPending() || m_rumors.hasPending()); ++n) {
            auto datagram = m_channel.makeDatagram();
            datagram.mutable_gossip();
            m_rumors.takePending(datagram);
            m_updates.takePending(datagram);
            for (const auto &peer :
                 m_channel.chooseMembers(m_options.eagerFanout, [](const Member &) { return true; })) {
                m_channel.sendWithoutPiggyback(peer.member->peerAddress, datagram);
            }
        }
        if (m_updates.hasPending() || m_rumors.hasPending()) {
            scheduleFlush();
        }
        if (m_updates.needsSecondRound() && !m_secondRoundTimer) {
            m_secondRoundTimer = m_timers.once(secondRoundDelay, [this] { startSecondRound(); });
        }
    }

    void startSecondRound()
    {
        m_secondRoundTimer.reset();
        m_updates.startSecondRound();
        scheduleFlush();
    }

    void sendLeave()
    {
        auto datagram = m_channel.makeDatagram();
        datagram.mutable_gossip();
        appendUpdate(datagram, toWire(m_self));
        for (const auto &peer : m_channel.chooseMembers(leaveFanout, [](const Member &) { return true; })) {
            m_channel.sendWithoutPiggyback(peer.member->peerAddress, datagram);
        }
    }

    void notifyJoined()
    {
        for (const auto &listener : joinListeners) {
            listener();
        }
    }

    void notifyPayload(const Wire::Datagram &datagram)
    {
        const Payload payload{.sender = datagram.sender_id(),
                              .kind = static_cast<PayloadKind>(datagram.payload().kind()),
                              .content = datagram.payload().content()};
        for (const auto &listener : payloadListeners) {
            listener(payload);
        }
    }

    void notifyRumor(const Rumor &rumor)
    {
        for (const auto &listener : rumorListeners) {
            listener(rumor);
        }
    }

    FailureDetectorOptions m_options;
    DatagramTransport &m_transport;
    TimerService &m_timers;
    MembershipTable &m_table;
    Member m_self;
    UpdateQueue m_updates;
    RumorTable m_rumors;
    MembershipChannel m_channel;
    Prober m_prober;
    TableSync m_sync;
    std::map<MemberHash, TimePoint> m_suspicions; ///< Time at which a suspect is declared failed.
    std::map<MemberHash, TimePoint> m_tombstones; ///< Time at which a failed or left member is removed.
    TimePoint m_lastRun; ///< Time of the last sweep or of the end of the last pause.
    Counter &m_refutations;
    Counter &m_failures;
    Counter &m_invalidDatagrams;
    Counter &m_pauses;
    Gauge &m_liveMembers;
    TimerHandle m_sweepTimer;
    TimerHandle m_flushTimer;
    TimerHandle m_secondRoundTimer;
};

Result<std::unique_ptr<FailureDetector>> FailureDetector::make(FailureDetectorOptions options,
                                                               FailureDetectorDependencies dependencies)
{
    constexpr std::uint32_t maxFanout = 16;
    constexpr std::uint32_t maxRetransmissions = 64;
    if (!isValidName(options.id) || !isValidName(options.zone)) {
        return makeError(ErrorCode::InvalidArgument, "the node's id and zone need 1..64 characters");
    }
    if (!Endpoint::parse(options.advertisedAddress.toString())) {
        return makeError(ErrorCode::InvalidArgument, "the advertised address is not an IP address and port");
    }
    if (options.probeTimeout <= Duration::zero() || options.probeTimeout >= options.probePeriod) {
        return makeError(ErrorCode::InvalidArgument, "the probe timeout is not between zero and the probe period");
    }
    if (options.suspicionTimeout <= Duration::zero() || options.antiEntropyPeriod <= Duration::zero()) {
        return makeError(ErrorCode::InvalidArgument,
                         "the suspicion timeout or the anti-entropy period is not greater than zero");
    }
    if (options.indirectProbes > maxFanout || options.eagerFanout < 1 || options.eagerFanout > maxFanout
        || options.retransmissions > maxRetransmissions || options.joinJitter < Duration::zero()) {
        return makeError(ErrorCode::InvalidArgument,
                         "the indirect probes, fan-out, retransmissions or join delay are out of range");
    }
    auto impl = std::make_unique<Impl>(std::move(options), dependencies);
    return std::unique_ptr<FailureDetector>(new FailureDetector(std::move(impl)));
}

FailureDetector::FailureDetector(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

FailureDetector::~FailureDetector() = default;

void FailureDetector::start()
{
    m_impl->start();
}

void FailureDetector::leave()
{
    m_impl->leave();
}

bool FailureDetector::joined() const
{
    return m_impl->joined();
}

void FailureDetector::setSeeds(std::vector<Endpoint> seeds)
{
    m_impl->setSeeds(std::move(seeds));
}

void FailureDetector::setTargets(std::vector<Target> targets)
{
    m_impl->setTargets(std::move(targets));
}

void FailureDetector::setStoreWatcher(bool watcher)
{
    m_impl->setStoreWatcher(watcher);
}

void FailureDetector::setConfig(std::uint64_t version, std::uint64_t digestPrefix)
{
    m_impl->setConfig(version, digestPrefix);
}

void FailureDetector::spread(const Rumor &rumor)
{
    m_impl->spread(rumor);
}

std::vector<Rumor> FailureDetector::rumors() const
{
    return m_impl->rumors();
}

void FailureDetector::sendPayload(const std::string &member, PayloadKind kind, const std::string &content)
{
    m_impl->sendPayload(member, kind, content);
}

void FailureDetector::subscribePayloads(PayloadListener listener)
{
    m_impl->payloadListeners.push_back(std::move(listener));
}

void FailureDetector::subscribeHeartbeats(HeartbeatListener listener)
{
    m_impl->heartbeatListeners.push_back(std::move(listener));
}

void FailureDetector::subscribeRumors(RumorListener listener)
{
    m_impl->rumorListeners.push_back(std::move(listener));
}

void FailureDetector::subscribeJoined(JoinListener listener)
{
    m_impl->joinListeners.push_back(std::move(listener));
}

} // namespace Hornbeam
