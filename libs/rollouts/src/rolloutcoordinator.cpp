#include <hornbeam/rollouts/rolloutcoordinator.h>

#include <algorithm>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

constexpr char stepMessage = 'S';
constexpr char reportMessage = 'R';

/** Part of the allowed share that the nodes use; the rest covers requests that are counted late or not at all. */
constexpr double usedShare = 0.9;

/** The same for the additional requests, which are divided among the nodes; half, because nodes join and restart. */
constexpr double usedSlack = 0.5;

/** For how long the decider repeats a final step, so that nodes that missed it learn of it without the store. */
constexpr Duration finalRepeats = 10s;

constexpr Duration storeRetryDelay = 300ms;

/** Longer than a call to the store takes. */
constexpr Duration recordRetryDelay = 2s;

/** A decider that most nodes do not report to for this long is cut off from them, and leaves the lease to others. */
constexpr Duration longestDeafness = 3s;

/** Long enough for another candidate to take the lease, see LeaseElectionOptions::occupiedBackoff. */
constexpr Duration resignation = 5s;

constexpr Duration reportLifetime = 2s;

/** A node that has heard nothing of a running roll-out for this long reads the step from the store. */
constexpr Duration silence = 2s;

/** How long after the deadline a service without targets of the stable version uses those of the new one. */
constexpr Duration lateFallback = 1s;

/**
 * The age of an order that a node finds when it starts is not known until a step is in the store. More than this, and
 * the new version would be completed too early for a part of its requests; less, and too late.
 */
constexpr Duration assumedAge = 1500ms;

/** Limits of the time to live of the timer's lease. An order that takes longer has no timer. */
constexpr std::chrono::seconds shortestTimer{2};
constexpr std::chrono::seconds longestTimer{600};
constexpr Duration timerReadPeriod = 300ms;

/** Duration of an order that is known only from its steps. */
constexpr std::chrono::milliseconds unknownDuration = 1h;

std::uint64_t stepKey(const RolloutStep &step)
{
    constexpr unsigned numberBits = 24;
    return (step.fence << numberBits) | step.number;
}

/** The version that @p order replaces; empty if it is not known yet. @p stored: the step in the store. */
std::string stableVersion(const RolloutOrder &order,
                          const std::optional<RolloutStep> &stored,
                          const VersionInUse &inUse)
{
    std::string version;
    if (stored) {
        version = stored->order == order.revision ? stored->stableVersion : stored->servingVersion();
    }
    return version.empty() && inUse.isConfirmed() ? inUse.version() : version;
}

} // namespace

bool RolloutCoordinator::Service::isCurrent() const
{
    return order && step && step->order >= order->revision;
}

bool RolloutCoordinator::Service::isOpen() const
{
    return order && !(isCurrent() && step->isFinal());
}

Result<std::unique_ptr<RolloutCoordinator>> RolloutCoordinator::make(RolloutCoordinatorOptions options,
                                                                     RolloutCoordinatorDependencies dependencies)
{
    std::unique_ptr<RolloutCoordinator> coordinator(new RolloutCoordinator(std::move(options), dependencies));
    const auto &made = coordinator->m_options;
    auto election = LeaseElection::make({.prefix = made.electionPrefix,
                                         .candidate = made.node,
                                         .timeToLive = made.leaseTime,
                                         .backoff = {.initial = 100ms, .maximum = 500ms},
                                         .occupiedBackoff = {.initial = 500ms, .maximum = 1s}},
                                        dependencies.store,
                                        dependencies.timers,
                                        *coordinator);
    if (!election) {
        return tl::unexpected(election.error());
    }
    coordinator->m_election = std::move(*election);
    return coordinator;
}

RolloutCoordinator::RolloutCoordinator(RolloutCoordinatorOptions options, RolloutCoordinatorDependencies dependencies)
    : m_options(std::move(options))
    , m_dependencies(dependencies)
    , m_store(m_options.store, dependencies.store, dependencies.status)
    , m_loadBackoff(m_options.loadBackoff)
{
}

void RolloutCoordinator::start()
{
    m_started = m_dependencies.timers.now();
    m_loadTimeout = m_dependencies.timers.once(m_options.loadTimeout, [this] {
        m_loadTimeout.reset();
        m_dependencies.listener.rulesReady();
    });
    load();
}

void RolloutCoordinator::load()
{
    m_store.readAll([this](const Result<StoredSteps> &stored) { loaded(stored); });
}

void RolloutCoordinator::loaded(const Result<StoredSteps> &stored)
{
    if (!stored) {
        m_loadTimer = m_dependencies.timers.once(m_loadBackoff.next(), [this] { load(); });
        return;
    }
    m_loaded = true;
    m_startRevision = stored->revision;
    for (const auto &step : stored->steps) {
        adopt(serviceOf(step.service), step, false, false);
    }
    updateVersions();
    if (m_loadTimeout) {
        m_loadTimeout.reset();
        m_dependencies.listener.rulesReady();
    }
}

void RolloutCoordinator::stop()
{
    m_stopped = true;
    updateCandidacy();
}

RolloutCoordinator::Service &RolloutCoordinator::serviceOf(const std::string &name)
{
    const auto known = m_services.find(name);
    if (known != m_services.end()) {
        return known->second;
    }
    return m_services.try_emplace(name, m_options).first->second;
}

void RolloutCoordinator::setOrder(const RolloutOrder &order)
{
    auto &service = serviceOf(order.service);
    if (service.order && service.order->revision == order.revision) {
        service.order = order;
        return;
    }
    if (service.order && service.order->revision > order.revision) {
        return;
    }
    service.order = order;
    service.orderKnown = m_dependencies.timers.now();
    service.ordered = service.orderKnown;
    service.timerReadAt.reset();
    service.decider.reset();
    service.outcomes = {};
    service.readAt = service.orderKnown + silence;
    service.inUse.setOrdered(order.version, service.orderKnown);
    if (service.isOpen()) {
        m_dependencies.ledger.track(order.service, order.revision);
    }
    updateVersions();
    schedule();
}

void RolloutCoordinator::setVersions(std::vector<RunningVersion> versions)
{
    std::map<std::string, std::vector<RunningVersion>> byService;
    for (auto &version : versions) {
        serviceOf(version.service);
        byService[version.service].push_back(std::move(version));
    }
    const auto now = m_dependencies.timers.now();
    for (auto &[name, service] : m_services) {
        service.inUse.setRunning(std::move(byService[name]), now);
    }
    updateVersions();
}

void RolloutCoordinator::updateVersions()
{
    const auto now = m_dependencies.timers.now();
    std::optional<TimePoint> next;
    const auto expect = [&](const std::optional<TimePoint> &time) {
        next = next && time ? std::min(*next, *time) : time ? time : next;
    };
    for (auto &[name, service] : m_services) {
        service.inUse.update(now);
        recordVersion(name, service);
        expect(service.inUse.nextUpdate());
        expect(service.recordAt);
    }
    m_versionsTimer.reset();
    if (next) {
        const auto delay = std::max<Duration>(*next - now, 1ms);
        m_versionsTimer = m_dependencies.timers.once(delay, [this] { updateVersions(); });
    }
    updateRules();
}

void RolloutCoordinator::recordVersion(const std::string &name, Service &service)
{
    const bool wanted = m_loaded && !m_stopped && !service.step && !service.order && service.inUse.isConfirmed()
        && m_dependencies.network.isCandidate();
    if (!wanted) {
        service.recordAt.reset();
        return;
    }
    const auto now = m_dependencies.timers.now();
    if (!service.recordAt) {
        service.recordAt = now + service.recordBackoff.next();
    }
    if (now < *service.recordAt) {
        return;
    }
    service.recordAt = now + recordRetryDelay + service.recordBackoff.next();
    const auto &version = service.inUse.version();
    const RolloutStep record{.service = name,
                             .number = 1,
                             .phase = RolloutPhase::Completed,
                             .stableVersion = version,
                             .version = version,
                             .reason = "in use before any order"};
    m_store.write(
        record, {}, [this, record](const Result<TransactionResult> &result) { versionRecorded(record, result); });
}

void RolloutCoordinator::versionRecorded(const RolloutStep &record, const Result<TransactionResult> &result)
{
    if (!result) {
        return;
    }
    if (!result->succeeded) {
        readStep(record.service);
        return;
    }
    adopt(serviceOf(record.service), record, false, false);
    m_dependencies.network.broadcast(stepMessage + record.encode());
}

bool RolloutCoordinator::isDecider() const
{
    return m_election->isHolder();
}

void RolloutCoordinator::schedule()
{
    const auto now = m_dependencies.timers.now();
    const bool active = std::any_of(m_services.begin(), m_services.end(), [&](const auto &it) {
        return it.second.isOpen() || it.second.finished > now - finalRepeats;
    });
    if (!active) {
        m_tick.reset();
        updateCandidacy();
    } else if (!m_tick) {
        m_tick = m_dependencies.timers.once(m_options.tick, [this] { tick(); });
    }
}

void RolloutCoordinator::tick()
{
    updateCandidacy();
    const auto now = m_dependencies.timers.now();
    for (auto &[name, service] : m_services) {
        if (!service.isOpen()) {
            continue;
        }
        if (isDecider()) {
            decide(name, service);
        } else if (now - std::max(service.heard, service.orderKnown) > silence && now >= service.readAt) {
            readStep(name);
        }
    }
    beat(false);
    updateRules();
    m_tick.reset();
    schedule();
}

void RolloutCoordinator::updateCandidacy()
{
    const auto now = m_dependencies.timers.now();
    const bool active = std::any_of(m_services.begin(), m_services.end(), [&](const auto &it) {
        return it.second.isOpen() || (isDecider() && it.second.finished > now - finalRepeats);
    });
    const bool wanted =
        !m_stopped && active && now >= m_candidateFrom && (m_dependencies.network.isCandidate() || isDecider());
    if (wanted == m_candidate) {
        return;
    }
    m_candidate = wanted;
    if (wanted) {
        m_election->start();
    } else {
        m_election->stop();
    }
}

void RolloutCoordinator::acquired(std::uint32_t /*slot*/)
{
    m_lastReports = m_dependencies.timers.now();
    m_dependencies.listener.decidesRollouts(true);
}

void RolloutCoordinator::lost()
{
    for (auto &[name, service] : m_services) {
        service.decider.reset();
    }
    m_dependencies.listener.decidesRollouts(false);
}

void RolloutCoordinator::decide(const std::string &name, Service &service)
{
    const auto now = m_dependencies.timers.now();
    const bool mayWrite = !service.storeBusy && now >= service.storeRetry;
    if (!service.decider) {
        // Until the steps are read, it is not known whether the order is older than this process.
        if (mayWrite && m_loaded) {
            takeOver(name);
        }
        return;
    }
    service.outcomes.add(m_options.node, reportOf(name, service), now);
    resignIfCutOff(service);
    if (!service.decider) {
        return;
    }
    if (service.timerReadAt && now >= *service.timerReadAt) {
        readTimer(name, service);
    }
    const auto next = service.decider->next({.outcomes = service.outcomes,
                                             .liveNodes = m_dependencies.network.liveNodes(),
                                             .hasFreshTargets = service.inUse.serves(service.order->version),
                                             .elapsed = elapsedOf(service)},
                                            now);
    if (!next) {
        return;
    }
    if (next->phase == RolloutPhase::Withdrawing) {
        service.decider->taken(*next, now);
        adopt(service, *next, true, true);
        beat(true);
    } else if (mayWrite) {
        write(*next, service.modRevision, false);
    }
}

void RolloutCoordinator::resignIfCutOff(const Service &service)
{
    const auto now = m_dependencies.timers.now();
    if (service.outcomes.nodesSince(now - reportLifetime) * 2 >= m_dependencies.network.liveNodes()) {
        m_lastReports = now;
    } else if (now - m_lastReports >= longestDeafness) {
        m_candidateFrom = now + resignation;
        m_candidate = false;
        m_election->stop();
    }
}

void RolloutCoordinator::takeOver(const std::string &name)
{
    serviceOf(name).storeBusy = true;
    m_store.read(name, false, [this, name](const Result<StoredStep> &stored) { takeOver(name, stored); });
}

void RolloutCoordinator::takeOver(const std::string &name, const Result<StoredStep> &stored)
{
    auto &service = serviceOf(name);
    service.storeBusy = false;
    if (!stored || !isDecider() || !service.isOpen()) {
        service.storeRetry = m_dependencies.timers.now() + storeRetryDelay;
        return;
    }
    const auto &order = *service.order;
    const auto &known = stored->step;
    if (known && known->order > order.revision) {
        // The order that this step belongs to has not reached this node yet.
        service.storeRetry = m_dependencies.timers.now() + storeRetryDelay;
        return;
    }
    const bool sameOrder = known && known->order == order.revision;
    if (sameOrder && known->isFinal()) {
        adopt(service, *known, true, false);
        return;
    }
    auto stable = stableVersion(order, known, service.inUse);
    if (stable.empty()) {
        // A step that does not name the version before the order would leave nothing to compare the new one with.
        service.storeRetry = m_dependencies.timers.now() + storeRetryDelay;
        return;
    }
    const auto now = m_dependencies.timers.now();
    if (sameOrder) {
        service.ordered = std::min(service.ordered, now - known->elapsed);
        if (predatesStart(order) && elapsedOf(service) < known->timerEnd) {
            service.timerReadAt = now;
        }
    } else if (predatesStart(order)) {
        service.ordered = m_started - assumedAge;
    }
    RolloutStep first{.service = name,
                      .order = order.revision,
                      .fence = std::max(known ? known->fence : 0, service.step ? service.step->fence : 0) + 1,
                      .number = 1,
                      .phase = RolloutPhase::Canary,
                      .sharePerMille = 0,
                      .stableVersion = std::move(stable),
                      .version = order.version,
                      .elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(elapsedOf(service)),
                      .timerEnd = sameOrder ? known->timerEnd : 0ms,
                      .reason = sameOrder ? "another node decides now" : "the order was received"};
    if (service.isCurrent() && service.step->phase == RolloutPhase::Withdrawing) {
        first.phase = RolloutPhase::Withdrawing;
        first.reason = service.step->reason;
    }
    if (sameOrder) {
        write(first, stored->revision, true);
    } else {
        startTimer(first, stored->revision);
    }
}

void RolloutCoordinator::startTimer(const RolloutStep &first, std::int64_t expectedRevision)
{
    auto &service = serviceOf(first.service);
    const RolloutPlan plan(m_options.limits, service.order->duration);
    const auto duration = std::chrono::floor<std::chrono::seconds>(plan.switchStart() - first.elapsed);
    if (duration < shortestTimer || duration > longestTimer) {
        write(first, expectedRevision, true);
        return;
    }
    service.storeBusy = true;
    m_store.grantTimer(duration, [this, first, expectedRevision](const Result<LeaseGrant> &lease) {
        auto &granted = serviceOf(first.service);
        granted.storeBusy = false;
        if (!lease || !isDecider() || !granted.isOpen() || granted.order->revision != first.order) {
            granted.storeRetry = m_dependencies.timers.now() + storeRetryDelay;
            return;
        }
        auto timed = first;
        timed.timerEnd = first.elapsed + lease->timeToLive;
        write(timed, expectedRevision, true, lease->id);
    });
}

void RolloutCoordinator::readTimer(const std::string &name, Service &service)
{
    service.timerReadAt = TimePoint::max();
    m_store.readTimer(name, [this, name](const Result<bool> &running) { timerRead(name, running); });
}

void RolloutCoordinator::timerRead(const std::string &name, const Result<bool> &running)
{
    auto &service = serviceOf(name);
    if (!service.timerReadAt) {
        return;
    }
    const auto now = m_dependencies.timers.now();
    const auto end = service.step ? service.step->timerEnd : 0ms;
    if (running && !*running) {
        service.ordered = std::min(service.ordered, now - end);
    }
    if (elapsedOf(service) < end) {
        service.timerReadAt = now + timerReadPeriod;
    } else {
        service.timerReadAt.reset();
    }
}

void RolloutCoordinator::write(const RolloutStep &step, std::int64_t expectedRevision, bool first, LeaseId timer)
{
    auto &service = serviceOf(step.service);
    service.storeBusy = true;
    const auto &status = m_dependencies.status;
    const bool changed = first || !service.step || status.statusOf(*service.step).value != status.statusOf(step).value;
    m_store.write(step,
                  {.expectedRevision = expectedRevision, .withStatus = changed, .timer = timer},
                  [this, step, first](const Result<TransactionResult> &result) {
                      auto &target = serviceOf(step.service);
                      target.storeBusy = false;
                      if (result && result->succeeded) {
                          target.modRevision = result->revision;
                          written(step);
                      } else if (!result && result.error().code() != ErrorCode::OutcomeUnknown) {
                          target.storeRetry = m_dependencies.timers.now() + storeRetryDelay;
                      } else {
                          writeFailed(step, first);
                      }
                  });
}

void RolloutCoordinator::written(const RolloutStep &step)
{
    auto &service = serviceOf(step.service);
    const auto now = m_dependencies.timers.now();
    if (!service.order || service.order->revision != step.order) {
        return;
    }
    if (step.isFinal()) {
        service.decider.reset();
        adopt(service, step, true, true);
        beat(true);
        return;
    }
    if (!isDecider()) {
        return;
    }
    if (!service.decider) {
        auto first = step;
        first.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(elapsedOf(service));
        service.decider = std::make_unique<RolloutDecider>(*service.order, m_options.limits, std::move(first), now);
    } else if (service.decider->current().phase == RolloutPhase::Withdrawing) {
        // The new version turned out bad while the write was under way.
        return;
    } else {
        service.decider->taken(step, now);
    }
    adopt(service, step, true, true);
    beat(true);
}

void RolloutCoordinator::writeFailed(const RolloutStep &step, bool first)
{
    serviceOf(step.service).storeBusy = true;
    m_store.read(
        step.service, false, [this, step, first](const Result<StoredStep> &stored) { readBack(step, first, stored); });
}

void RolloutCoordinator::readBack(const RolloutStep &step, bool first, const Result<StoredStep> &stored)
{
    auto &service = serviceOf(step.service);
    service.storeBusy = false;
    service.storeRetry = m_dependencies.timers.now() + storeRetryDelay;
    if (!stored) {
        // The outcome stays unknown. A new attempt begins with a read and a higher fence.
        service.decider.reset();
        return;
    }
    const auto &known = stored->step;
    if (known == step) {
        service.modRevision = stored->revision;
        written(step);
    } else if (known && known->isFinal() && service.order && known->order == service.order->revision) {
        service.decider.reset();
        adopt(service, *known, true, false);
    } else if (!first && known && known->order == step.order && known->fence == step.fence) {
        // An earlier write of this decider took effect late.
        service.modRevision = stored->revision;
    } else {
        service.decider.reset();
    }
}

void RolloutCoordinator::readStep(const std::string &name)
{
    auto &service = serviceOf(name);
    if (service.reading) {
        return;
    }
    service.reading = true;
    m_store.read(name, true, [this, name](const Result<StoredStep> &stored) {
        auto &read = serviceOf(name);
        read.reading = false;
        read.readAt = m_dependencies.timers.now() + m_options.tick + read.readBackoff.next();
        if (stored && stored->step) {
            adopt(read, *stored->step, false, false);
            updateRules();
        }
    });
}

void RolloutCoordinator::adopt(Service &service, const RolloutStep &step, bool live, bool decider)
{
    const bool same = service.step == step;
    if (!same && service.step && !step.supersedes(*service.step)) {
        return;
    }
    const auto now = m_dependencies.timers.now();
    if (live) {
        service.heard = now;
        service.readBackoff.reset();
    }
    if (same) {
        return;
    }
    if (step.order > 0 && (!service.order || service.order->revision < step.order)) {
        setOrder(
            {.service = step.service, .version = step.version, .duration = unknownDuration, .revision = step.order});
    }
    service.step = step;
    service.inUse.setRecorded(step.servingVersion(), now);
    if (step.isFinal() && service.isCurrent()) {
        service.finished = now;
        m_dependencies.ledger.stopTracking(step.service);
    }
    if (service.decider && !decider) {
        service.decider.reset();
    }
    m_dependencies.listener.stepChanged(step, decider);
    updateRules();
}

void RolloutCoordinator::receive(const std::string &node, std::string_view message)
{
    if (message.empty()) {
        return;
    }
    const auto body = message.substr(1);
    if (message.front() == reportMessage) {
        const auto report = OutcomeReport::decode(body);
        const auto service = report ? m_services.find(report->service) : m_services.end();
        if (service != m_services.end() && service->second.order && service->second.order->revision == report->order) {
            service->second.outcomes.add(node, *report, m_dependencies.timers.now());
        }
        return;
    }
    const auto step = message.front() == stepMessage ? RolloutStep::decode(body) : RolloutStep::decode({});
    if (!step) {
        return;
    }
    auto &service = serviceOf(step->service);
    if (service.step && service.step->supersedes(*step)) {
        // The sender was replaced, or it does not know that the roll-out has ended.
        if (service.step->order == step->order) {
            m_dependencies.network.send(node, stepMessage + service.step->encode());
        }
        return;
    }
    if (service.order && service.order->revision > step->order) {
        return;
    }
    adopt(service, *step, true, false);
    if (!step->isFinal()) {
        m_dependencies.network.send(node, reportMessage + reportOf(step->service, service).encode());
    }
}

void RolloutCoordinator::beat(bool now)
{
    if (!isDecider()) {
        return;
    }
    const auto time = m_dependencies.timers.now();
    const auto period = std::max<Duration>(
        m_options.beat, m_options.beatPerNode * static_cast<Duration::rep>(m_dependencies.network.liveNodes()));
    if (!now && m_lastBeat != TimePoint::min() && time - m_lastBeat < period) {
        return;
    }
    m_lastBeat = time;
    for (auto &[name, service] : m_services) {
        const bool finished = service.isCurrent() && service.step->isFinal() && time - service.finished < finalRepeats;
        if (finished || (service.decider && service.isCurrent())) {
            service.heard = time;
            m_dependencies.network.broadcast(stepMessage + service.step->encode());
        }
    }
}

OutcomeReport RolloutCoordinator::reportOf(const std::string &name, const Service &service) const
{
    auto report = m_dependencies.ledger.report(name);
    report.service = name;
    report.order = service.order ? service.order->revision : 0;
    report.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(observedTime(service));
    return report;
}

Duration RolloutCoordinator::elapsedOf(const Service &service) const
{
    return m_dependencies.timers.now() - service.ordered;
}

Duration RolloutCoordinator::observedTime(const Service &service) const
{
    return m_dependencies.timers.now() - service.orderKnown;
}

bool RolloutCoordinator::predatesStart(const RolloutOrder &order) const
{
    return order.revision <= m_startRevision;
}

std::optional<VersionRule> RolloutCoordinator::ruleOf(const std::string &name, const Service &service) const
{
    if (!service.order && !service.inUse.hasTargets()) {
        return std::nullopt;
    }
    const bool open = service.isOpen();
    const bool stepSays = open && service.step && !service.step->servingVersion().empty();
    VersionRule rule{.service = name,
                     .stableVersion = stepSays ? service.step->servingVersion() : service.inUse.version()};
    if (!open) {
        return rule;
    }
    const auto now = m_dependencies.timers.now();
    const auto &order = *service.order;
    // An estimate of the time before the start does not lift limits.
    const auto passed = observedTime(service);
    const bool live =
        service.isCurrent() && service.heard != TimePoint::min() && now - service.heard <= m_options.stepLifetime;
    const bool withdrawn = service.isCurrent() && service.step->phase == RolloutPhase::Withdrawing;
    if (passed > order.duration + lateFallback && !withdrawn && !service.inUse.serves(rule.stableVersion)
        && service.inUse.serves(order.version)) {
        rule.stableVersion = order.version;
        return rule;
    }
    rule.freshVersion = order.version;
    rule.order = order.revision;
    rule.sharePerMille = live ? service.step->sharePerMille : 0;
    rule.step = service.isCurrent() ? stepKey(*service.step) : 0;
    const bool limited = passed < order.duration;
    rule.shareLimit = limited ? m_options.limits.canaryShare * usedShare : 1;
    return rule;
}

void RolloutCoordinator::updateRules()
{
    bool changed = false;
    for (auto &[name, service] : m_services) {
        auto rule = ruleOf(name, service);
        if (rule && !rule->freshVersion.empty()) {
            const bool sameOrder = service.rule && service.rule->order == rule->order;
            const auto nodes = static_cast<double>(std::max<std::size_t>(m_dependencies.network.liveNodes(), 1));
            // Kept for the whole roll-out, so that the rule does not change with each node that joins or leaves.
            rule->extraRequests =
                sameOrder ? service.rule->extraRequests : m_options.limits.canarySlack * usedSlack / nodes;
        }
        if (rule != service.rule) {
            service.rule = std::move(rule);
            changed = true;
        }
    }
    if (changed) {
        m_dependencies.listener.rulesChanged();
    }
}

std::vector<VersionRule> RolloutCoordinator::rules() const
{
    std::vector<VersionRule> rules;
    for (const auto &[name, service] : m_services) {
        if (service.rule) {
            rules.push_back(*service.rule);
        }
    }
    return rules;
}

std::vector<RolloutStep> RolloutCoordinator::steps() const
{
    std::vector<RolloutStep> steps;
    for (const auto &[name, service] : m_services) {
        if (service.step) {
            steps.push_back(*service.step);
        }
    }
    return steps;
}

} // namespace Hornbeam
