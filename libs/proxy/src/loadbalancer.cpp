#include "loadbalancer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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

/** Longest wait that Retry-After asks for on top of the jitter, so that a recovered service is found soon. */
constexpr int maxRetryAfterSeconds = 5;

} // namespace

LoadBalancer::ServiceState::ServiceState(std::uint32_t maxQueued, std::uint32_t retryPercent)
    : admission(maxQueued)
    , retries(retryPercent)
{
}

LoadBalancer::LoadBalancer(const ProxyOptions &options, MetricsRegistry &metrics)
    : m_options(options)
    , m_ejections(metrics.counter("hornbeam_proxy_ejections_total", "Targets ejected for consecutive failures."))
    , m_selector({.zone = options.zone, .slowStart = options.slowStart})
    , m_outliers({})
    , m_random(std::random_device()())
{
}

void LoadBalancer::publish(const RoutingState &state, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    rebuild(state, now);
    // Targets that a new node learns at first are not new themselves; only later ones start slowly.
    m_seenTargets = m_seenTargets || !state.targets.empty();
    for (auto &[name, service] : m_services) {
        service.admission.slotsChanged(now);
    }
}

void LoadBalancer::rebuild(const RoutingState &state, TimePoint now)
{
    std::map<std::string_view, std::vector<TargetLoadPtr>> targets;
    for (const auto &target : state.targets) {
        const auto known = m_services.find(target.service);
        auto load =
            loadOf(target, known == m_services.end() ? std::vector<TargetLoadPtr>() : known->second.targets, now);
        const auto *service = state.snapshot ? state.snapshot->findService(target.service) : nullptr;
        load->slots = service != nullptr && service->slotsPerTarget != 0 ? service->slotsPerTarget : target.slots;
        load->target = target;
        targets[target.service].push_back(std::move(load));
    }
    for (auto &[name, service] : m_services) {
        service.targets.clear();
    }
    for (auto &[name, loads] : targets) {
        serviceState(std::string(name)).targets = std::move(loads);
    }
}

TargetLoadPtr LoadBalancer::loadOf(const Target &target, const std::vector<TargetLoadPtr> &known, TimePoint now) const
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
    return m_services.try_emplace(name, m_options.maxQueuedRequests, m_options.retryBudgetPercent).first->second;
}

TargetSelector::Selection LoadBalancer::select(const std::string &service, const TargetQuery &query, TimePoint now)
{
    return m_selector.select(serviceState(service).targets, query, now);
}

bool LoadBalancer::acquire(const SlotRequestPtr &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    auto &service = serviceState(request->m_options.service);
    const TargetQuery query{.requiredLabels = request->m_options.requiredLabels,
                            .excluded = request->m_options.excluded};
    if (!m_selector.hasSuitable(service.targets, query)) {
        // Waiting would not help: a target must announce itself first.
        request->m_result = SlotResult::NoTarget;
        return false;
    }
    switch (service.admission.admit(request, totalSlots(service.targets), now)) {
    case AdmissionController::Verdict::Started:
        break;
    case AdmissionController::Verdict::Queued:
        request->m_queued = true;
        break;
    case AdmissionController::Verdict::QueueFull:
        request->m_result = SlotResult::QueueFull;
        break;
    case AdmissionController::Verdict::TooLate:
        request->m_result = SlotResult::TooLate;
        break;
    }
    return request->m_queued;
}

SlotResult LoadBalancer::finish(const SlotRequestPtr &request)
{
    const std::lock_guard lock(m_mutex);
    if (request->m_result == SlotResult::Waiting) {
        serviceState(request->m_options.service).admission.remove(request);
        request->m_result = SlotResult::Expired;
    }
    // The function refers to the waiting side, which ends now.
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

void LoadBalancer::recordSuccess(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_outliers.succeeded(*lease.m_load, now);
}

void LoadBalancer::recordFailure(const SlotLease &lease, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_outliers.failed(*lease.m_load, serviceState(lease.m_service).targets, now)) {
        m_ejections.add();
    }
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
            targets.push_back({{"address", load->target.address.toString()},
                               {"zone", load->target.zone},
                               {"slots", load->slots},
                               {"outstanding", load->outstanding},
                               {"consecutiveFailures", load->consecutiveFailures},
                               {"ejected", load->isEjected(now)}});
        }
        services[name] = {{"queued", service.admission.queued()}, {"targets", std::move(targets)}};
    }
    return services.dump();
}

} // namespace Hornbeam
