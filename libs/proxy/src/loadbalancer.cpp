#include "loadbalancer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace Hornbeam {

namespace {

std::uint32_t totalSlots(const std::vector<TargetLoadPtr> &targets)
{
    std::uint32_t slots = 0;
    for (const auto &load : targets) {
        slots += load->slots;
    }
    return slots;
}

/** Upper bound of the estimated wait in Retry-After, so that callers return soon after a service has recovered. */
constexpr int maxRetryAfterSeconds = 5;

/** New samples have the weight 1/16, so the moving averages follow a change within some tens of requests. */
constexpr int serviceTimeDivisor = 16;
constexpr double failureWeight = 1.0 / 16;

/** Largest value of LoadReport::timePercent. */
constexpr double maxTimePercent = 10000;

/** Part of the common retry budget that the nodes use; the margin covers retries that they do not see of each other. */
constexpr double fleetBudgetShare = 0.7;

/** Ejection time of a target whose node cannot be reached. */
constexpr auto unreachableEjectionTime = std::chrono::seconds(1);

/** Minimum of a fractional Retry-After, long enough for some slots to become free, and its jitter. */
constexpr std::chrono::milliseconds minRetryAfter{150};
constexpr std::chrono::milliseconds retryAfterJitter{300};

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

nlohmann::json reportToJson(const TargetLoad &load, TimePoint now)
{
    const auto &report = load.report;
    return {{"ageMs", toMilliseconds(now - load.reportedAt)},
            {"running", report.running},
            {"waiting", std::accumulate(report.waiting.begin(), report.waiting.end(), 0U)},
            {"serviceTimeMs", report.serviceTime.count()},
            {"linkWaitMs", report.largeWait.count()}};
}

} // namespace

LoadBalancer::ServiceState::ServiceState(std::uint32_t maxQueued, std::uint32_t retryPercent)
    : admission(maxQueued)
    , retries(retryPercent)
{
}

bool LoadBalancer::ServiceState::hasGateways() const
{
    return std::any_of(targets.begin(), targets.end(), [](const auto &load) { return load->target.isBehindGateway(); });
}

TargetLoadPtr LoadBalancer::ServiceState::findLocal(const std::string &name) const
{
    const auto it = std::find_if(targets.begin(), targets.end(), [&](const auto &load) {
        return load->local && !load->withdrawn && load->target.name == name;
    });
    return it == targets.end() ? nullptr : *it;
}

LoadBalancer::LoadBalancer(const ProxyOptions &options, MetricsRegistry &metrics, const LinkPacer &link)
    : m_options(options)
    , m_link(link)
    , m_ejections(metrics.counter("hornbeam_proxy_ejections_total", "Targets ejected for consecutive failures."))
    , m_recoveries(metrics.counter("hornbeam_proxy_target_recoveries_total",
                                   "Times that a target on this host was paced because it started or recovered."))
    , m_selector({.zone = options.zone, .slowStart = options.slowStart})
    , m_placement({.zone = options.zone})
    , m_outliers({})
    , m_random(std::random_device()())
{
}

void LoadBalancer::publish(const RoutingState &state, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_versions.setRules(state.versions);
    rebuildTargets(state, now);
    // The first targets that a new node learns are not new themselves; slow start applies only to later ones.
    m_seenTargets = m_seenTargets || !state.targets.empty();
    const auto reserve =
        m_options.retryBudgetReserve * fleetBudgetShare / static_cast<double>(std::max<std::size_t>(state.nodes, 1));
    for (auto &[name, service] : m_services) {
        service.admission.slotsChanged(now);
        if (m_options.retryBudgetRatio > 0) {
            service.retries.setReserve(std::max(1U, static_cast<std::uint32_t>(reserve)));
        }
    }
}

void LoadBalancer::rebuildTargets(const RoutingState &state, TimePoint now)
{
    std::map<std::string_view, std::vector<TargetLoadPtr>> targets;
    for (const auto &target : state.targets) {
        const bool local =
            std::find(state.localTargets.begin(), state.localTargets.end(), target) != state.localTargets.end();
        const auto known = m_services.find(target.service);
        auto load = findOrCreateLoad(
            target, known == m_services.end() ? std::vector<TargetLoadPtr>() : known->second.targets, now);
        const auto *service = state.snapshot ? state.snapshot->findService(target.service) : nullptr;
        load->slots = service != nullptr && service->slotsPerTarget != 0 ? service->slotsPerTarget : target.slots;
        load->target = target;
        load->track = m_versions.trackOf(target.service, target.version);
        load->withdrawn = false;
        if (local && !load->local && m_options.targetPace) {
            load->pace.start(load->slots);
            updatePace(*load, now);
        }
        load->local = local;
        targets[target.service].push_back(std::move(load));
    }
    for (auto &[name, service] : m_services) {
        for (const auto &load : service.targets) {
            load->withdrawn = true;
        }
        service.targets.clear();
    }
    for (auto &[name, loads] : targets) {
        for (const auto &load : loads) {
            load->withdrawn = false;
        }
    }
    for (auto &[name, loads] : targets) {
        serviceState(std::string(name)).targets = std::move(loads);
    }
}

TargetLoadPtr LoadBalancer::findOrCreateLoad(const Target &target,
                                             const std::vector<TargetLoadPtr> &known,
                                             TimePoint now) const
{
    const auto it = std::find_if(known.begin(), known.end(), [&](const auto &load) {
        return load->target.address == target.address && load->target.instance == target.instance;
    });
    if (it != known.end()) {
        return *it;
    }
    auto load = std::make_shared<TargetLoad>();
    load->firstSeen = m_seenTargets ? now : TimePoint::min();
    return load;
}

LoadBalancer::ServiceState &LoadBalancer::serviceState(const std::string &name)
{
    const auto known = m_services.find(name);
    if (known != m_services.end()) {
        return known->second;
    }
    const auto percent = m_options.retryBudgetRatio > 0
        ? static_cast<std::uint32_t>(m_options.retryBudgetRatio * fleetBudgetShare * 100)
        : m_options.retryBudgetPercent;
    return m_services.try_emplace(name, m_options.maxQueuedRequests, percent).first->second;
}

TargetSelector::Selection LoadBalancer::select(const std::string &service, const TargetQuery &query, TimePoint now)
{
    return m_selector.select(serviceState(service).targets, query, now);
}

bool LoadBalancer::acquire(const SlotRequestPtr &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    auto &service = serviceState(request->m_options.service);
    if (!request->m_options.localTarget.empty()) {
        const auto load = service.findLocal(request->m_options.localTarget);
        if (!load) {
            request->m_result = SlotResult::NoTarget;
            return false;
        }
        return acquireLocal(request, service, load, now);
    }
    if (service.hasGateways()) {
        return placeRequest(request, service, now);
    }
    const TargetQuery query{.requiredLabels = request->m_options.requiredLabels,
                            .excluded = request->m_options.excluded};
    if (!m_selector.hasSuitable(service.targets, query)) {
        // Do not queue the request: it could run only after another target has been announced.
        request->m_result = SlotResult::NoTarget;
        return false;
    }
    return applyDecision(service.admission.admit(request, totalSlots(service.targets), now), *request);
}

bool LoadBalancer::acquireLocal(const SlotRequestPtr &request,
                                ServiceState &service,
                                const TargetLoadPtr &load,
                                TimePoint now)
{
    // This also applies to callers on this host: their large responses share the link with those to other nodes.
    const auto linkWait = linkWaitAfter(load->serviceTime, m_link.largeResponseWait(request->deadline()));
    const bool tooLate = linkWait > Duration::zero() && now + linkWait > request->latestStart();
    if (request->m_options.bulk && (tooLate || m_link.wouldCutOff(request->deadline(), now))) {
        request->m_expectedWait = linkWait;
        return applyDecision(AdmissionController::Decision::TooLate, *request);
    }
    request->m_pinned = load;
    updatePace(*load, now);
    request->m_expectedWait = service.admission.estimatedWait(request->rank(), load->slots);
    if (load->pace.isLimiting()) {
        const auto wait = pacedWait(*load, request->m_options.service, service.admission.queuedAhead(request->rank()));
        request->m_expectedWait = std::max(request->m_expectedWait, wait);
        if (load->isPaused() || now + wait > request->latestStart()) {
            return applyDecision(AdmissionController::Decision::TooLate, *request);
        }
    }
    return applyDecision(service.admission.admit(request, load->slots, now), *request);
}

PlacementPolicy::Placement LoadBalancer::choosePlacement(ServiceState &service,
                                                         const std::string &name,
                                                         PlacementQuery query,
                                                         TimePoint now)
{
    const auto ahead = service.admission.queuedAhead(query.rank);
    query.track = m_versions.next(name);
    auto placement = m_placement.choose(service.targets, query, ahead, now);
    if (placement.target || query.track == VersionTrack::Stable) {
        return placement;
    }
    // During a switch, requests at the stable version would be cut off when its targets stop.
    if (placement.outcome == PlacementPolicy::Outcome::NoRoom && m_versions.isSwitching(name)) {
        return placement;
    }
    query.track = VersionTrack::Stable;
    return m_placement.choose(service.targets, query, ahead, now);
}

bool LoadBalancer::placeRequest(const SlotRequestPtr &request, ServiceState &service, TimePoint now)
{
    const auto &options = request->m_options;
    const auto latest = std::min(options.latestStart, options.deadline);
    const PlacementQuery query{.requiredLabels = options.requiredLabels,
                               .excluded = options.excluded,
                               .maxWait = std::max(latest - now, Duration::zero()),
                               .rank = options.rank,
                               .bulk = options.bulk,
                               .bulkTransferTime = options.bulk ? m_link.largeResponseTime() : Duration::zero()};
    auto placement = choosePlacement(service, options.service, query, now);
    request->m_expectedWait = placement.expectedWait;
    switch (placement.outcome) {
    case PlacementPolicy::Outcome::NoTarget:
        request->m_result = SlotResult::NoTarget;
        return false;
    case PlacementPolicy::Outcome::NoRoom:
        request->m_result = SlotResult::NoRoom;
        return false;
    case PlacementPolicy::Outcome::Free:
    case PlacementPolicy::Outcome::Wait:
        break;
    }
    m_versions.sent(options.service, placement.target->track);
    if (!placement.target->isRemote()) {
        return acquireLocal(request, service, placement.target, now);
    }
    request->grant(std::move(placement.target));
    return false;
}

bool LoadBalancer::applyDecision(AdmissionController::Decision decision, SlotRequest &request)
{
    switch (decision) {
    case AdmissionController::Decision::Started:
        break;
    case AdmissionController::Decision::Queued:
        request.m_queued = true;
        break;
    case AdmissionController::Decision::QueueFull:
        request.m_result = SlotResult::QueueFull;
        break;
    case AdmissionController::Decision::TooLate:
        request.m_result = SlotResult::TooLate;
        break;
    }
    return request.m_queued;
}

SlotResult LoadBalancer::finish(const SlotRequestPtr &request)
{
    const std::lock_guard lock(m_mutex);
    if (request->m_result == SlotResult::Waiting) {
        serviceState(request->m_options.service).admission.remove(request);
        request->m_result = SlotResult::Expired;
    }
    // The callback refers to the coroutine that waited for the slot and is about to end.
    request->m_options.wake = nullptr;
    return request->m_result;
}

void LoadBalancer::countRequest(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    serviceState(service).retries.requestStarted();
}

bool LoadBalancer::tryTakeRetry(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    return serviceState(service).retries.tryTakeRetry();
}

void LoadBalancer::chargeRetry(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    serviceState(service).retries.chargeRetry();
}

void LoadBalancer::recordSuccess(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_outliers.recordSuccess(*lease.m_load, now);
    recordOutcome(*lease.m_load, false);
}

void LoadBalancer::recordReachable(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_outliers.recordSuccess(*lease.m_load, now);
}

void LoadBalancer::recordUnreachable(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    // Without the ejection, every request sent to the target would wait for a timeout. The ejection is short, so that
    // the target is used again soon after the link has recovered.
    lease.m_load->ejectedUntil = std::max(lease.m_load->ejectedUntil, now + unreachableEjectionTime);
    m_ejections.add();
}

void LoadBalancer::recordRejection(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_outliers.recordSuccess(*lease.m_load, now);
    recordOutcome(*lease.m_load, true);
}

void LoadBalancer::recordFailure(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    recordOutcome(*lease.m_load, true);
    if (m_outliers.recordFailure(*lease.m_load, serviceState(lease.m_service).targets, now)) {
        m_ejections.add();
    }
}

void LoadBalancer::recordVersionResult(const SlotLease &lease, bool failed)
{
    const std::lock_guard lock(m_mutex);
    m_versions.responded(lease.m_service, lease.m_load->track, failed);
}

void LoadBalancer::recordOutcome(TargetLoad &load, bool failed)
{
    load.failureRate += ((failed ? 1.0 : 0.0) - load.failureRate) * failureWeight;
}

void LoadBalancer::recordPace(const SlotLease &lease, PaceOutcome outcome, Duration typical, TimePoint now)
{
    if (!m_options.targetPace || lease.isRemote()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    auto &load = *lease.m_load;
    load.pace.record(outcome, now - lease.started(), typical, load.slots, now);
    updatePace(load, now);
}

void LoadBalancer::updatePace(TargetLoad &load, TimePoint now)
{
    if (!m_options.targetPace) {
        return;
    }
    const bool limited = load.paceLimit < load.slots;
    load.paceLimit =
        load.pace.isLimiting() ? load.pace.limit(load.slots, now) : std::numeric_limits<std::uint32_t>::max();
    if (load.pace.isLimiting() && !limited) {
        m_recoveries.add();
    }
}

Duration LoadBalancer::pacedWait(const TargetLoad &load, const std::string &service, std::size_t queuedAhead) const
{
    const auto limit = std::max(load.concurrencyLimit(), 1U);
    const auto ahead = load.outstanding + queuedAhead;
    if (ahead < limit) {
        return Duration::zero();
    }
    const auto known = m_services.find(service);
    const auto typical = known == m_services.end() ? Duration::zero() : typicalTime(known->second);
    return load.pace.expectedTime(typical) * static_cast<Duration::rep>(ahead + 1 - limit) / limit;
}

void LoadBalancer::recordReport(const SlotLease &lease, const LoadReport &report, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    lease.m_load->applyReport(report, now);
}

void LoadBalancer::recordStatedLoad(const SlotLease &lease, const StatedLoad &stated, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    lease.m_load->applyStated(stated, now);
}

LoadReport LoadBalancer::reportOf(const SlotLease &lease) const
{
    const std::lock_guard lock(m_mutex);
    const auto service = m_services.find(lease.m_service);
    if (service == m_services.end()) {
        return {};
    }
    auto report = makeReport(*lease.m_load, service->second);
    if (!lease.m_released) {
        report.running -= std::min(report.running, 1U);
    }
    return report;
}

std::optional<LoadReport> LoadBalancer::reportOf(const std::string &service, const std::string &localTarget) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_services.find(service);
    const auto load = it == m_services.end() ? nullptr : it->second.findLocal(localTarget);
    return load ? std::optional(makeReport(*load, it->second)) : std::nullopt;
}

LoadReport LoadBalancer::makeReport(const TargetLoad &load, const ServiceState &service) const
{
    // Slots that the target cannot use now count as taken, so that this loses its weight with the age of the report.
    const auto unusable = load.slots - std::min(load.slots, load.concurrencyLimit());
    return {.running = load.outstanding + unusable,
            .waiting = service.admission.queuedByRank(),
            .slots = load.slots,
            .serviceTime = std::chrono::duration_cast<std::chrono::milliseconds>(load.serviceTime),
            .timePercent = static_cast<std::uint32_t>(std::clamp(load.slowdown * percent, 1.0, maxTimePercent)),
            .failuresPerMille = static_cast<std::uint32_t>(load.failureRate * perMille),
            .largeWait = std::chrono::duration_cast<std::chrono::milliseconds>(m_link.largeResponseWait())};
}

Duration LoadBalancer::shortestWait(const std::string &service, AdmissionRank rank, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return Duration::zero();
    }
    const PlacementQuery query{.requiredLabels = {}, .excluded = {}, .rank = rank};
    return m_placement.shortestWait(it->second.targets, query, it->second.admission.queuedAhead(rank), now);
}

Duration LoadBalancer::typicalServiceTime(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_services.find(service);
    return it == m_services.end() ? Duration::zero() : typicalTime(it->second);
}

Duration LoadBalancer::typicalTime(const ServiceState &service) const
{
    Duration sum = Duration::zero();
    int n = 0;
    for (const auto &load : service.targets) {
        if (load->serviceTime > Duration::zero()) {
            sum += load->serviceTime;
            ++n;
        }
    }
    return n > 0 ? sum / n : service.admission.averageDuration();
}

std::chrono::milliseconds LoadBalancer::retryAfter(Duration expectedWait)
{
    const std::lock_guard lock(m_mutex);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(expectedWait);
    const auto spread = std::uniform_int_distribution<std::int64_t>(0, retryAfterJitter.count())(m_random);
    return std::max(minRetryAfter, wait) + std::chrono::milliseconds(spread);
}

int LoadBalancer::retryAfterSeconds(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    auto &state = serviceState(service);
    const auto wait = state.admission.estimatedWait(Priority::Low, totalSlots(state.targets));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait).count();
    const auto longest = 2 + std::min<std::int64_t>(seconds, maxRetryAfterSeconds);
    return static_cast<int>(std::uniform_int_distribution<std::int64_t>(1, longest)(m_random));
}

void LoadBalancer::release(const std::string &service, TargetLoad &load, TimePoint started)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    --load.outstanding;
    if (load.isRemote()) {
        return;
    }
    const bool first = load.serviceTime == Duration::zero();
    load.serviceTime += (now - started - load.serviceTime) / (first ? 1 : serviceTimeDivisor);
    auto &state = serviceState(service);
    state.admission.recordDuration(now - started);
    state.admission.slotsChanged(now);
}

std::string LoadBalancer::dumpJson(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    auto services = nlohmann::json::object();
    for (const auto &[name, service] : m_services) {
        auto targets = nlohmann::json::array();
        for (const auto &load : service.targets) {
            nlohmann::json target = {{"address", load->target.address.toString()},
                                     {"zone", load->target.zone},
                                     {"slots", load->slots},
                                     {"outstanding", load->outstanding},
                                     {"version", load->target.version},
                                     {"consecutiveFailures", load->consecutiveFailures},
                                     {"ejected", load->isEjected(now)}};
            if (load->reportedAt != TimePoint::min()) {
                target["lastReport"] = reportToJson(*load, now);
            }
            targets.push_back(std::move(target));
        }
        services[name] = {{"queued", service.admission.queued()}, {"targets", std::move(targets)}};
    }
    return services.dump();
}

} // namespace Hornbeam
