#include <hornbeam/rollouts/outcomeledger.h>

namespace Hornbeam {

namespace {

constexpr const char *otherRoutes = "*";

} // namespace

void OutcomeLedger::track(const std::string &service, std::int64_t order)
{
    const std::lock_guard lock(m_mutex);
    auto &report = m_services[service];
    if (report.order != order) {
        report = {.service = service, .order = order, .elapsed = {}, .versions = {}};
    }
    m_active = true;
}

void OutcomeLedger::stopTracking(const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    m_services.erase(service);
    m_active = !m_services.empty();
}

void OutcomeLedger::record(const std::string &service,
                           const std::string &version,
                           const std::string &route,
                           bool failed,
                           std::chrono::milliseconds time)
{
    if (!m_active) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return;
    }
    auto &routes = it->second.versions[version];
    const bool fits = routes.size() < maxRoutes || routes.find(route) != routes.end();
    routes[fits ? route : otherRoutes] += {.requests = 1, .failures = failed ? 1U : 0U, .totalTime = time};
}

OutcomeReport OutcomeLedger::report(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_services.find(service);
    return it == m_services.end() ? OutcomeReport{} : it->second;
}

} // namespace Hornbeam
