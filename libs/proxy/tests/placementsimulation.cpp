#include "placementsimulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Hornbeam {

namespace {

using namespace std::chrono_literals;

/** As in the call: limit of sends, the factor on the typical time, and the wait of a late request. */
constexpr int maxSends = 6;
constexpr double serviceTimeMargin = 1.25;
constexpr Duration maxLateWait = 0ms;
constexpr int serviceTimeDivisor = 16;

constexpr double workSpread = 0.3; ///< Standard deviation of the logarithm of the work.
constexpr double coldFactor = 2;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * factor);
}

} // namespace

struct PlacementSimulation::Server
{
    Target target;
    double speed = 1;
    TimePoint warm; ///< End of the cold start.
    std::uint32_t running = 0;
    std::uint32_t coming = 0; ///< Requests on their way to the target.
    Duration serviceTime = Duration::zero();
    std::deque<std::pair<CallPtr, TimePoint>> queue; ///< With the end of each wait.
};

struct PlacementSimulation::Node
{
    std::string zone;
    std::vector<TargetLoadPtr> loads;
    std::unique_ptr<PlacementPolicy> policy;
};

struct PlacementSimulation::Call
{
    std::uint32_t node = 0;
    TimePoint sent;
    TimePoint started;
    TargetLoadPtr load; ///< Of the target to which the request was sent last.
    std::vector<Endpoint> excluded;
    int sends = 0;
    int tries = 0;
};

PlacementSimulation::PlacementSimulation(SimulationOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (std::uint32_t i = 0; i < m_options.nodes; ++i) {
        auto node = std::make_unique<Node>();
        node->zone = "zone-" + std::to_string(i % m_options.zones);
        auto placement = m_options.placement;
        placement.zone = node->zone;
        placement.seed = m_random();
        node->policy = std::make_unique<PlacementPolicy>(std::move(placement));
        m_nodes.push_back(std::move(node));
    }
    m_servers.resize(m_options.targets);
    for (std::uint32_t i = 0; i < m_options.targets; ++i) {
        addServer(i, false);
    }
}

PlacementSimulation::~PlacementSimulation() = default;

void PlacementSimulation::at(TimePoint time, std::function<void()> action)
{
    m_events.emplace(time, std::move(action));
}

void PlacementSimulation::addServer(std::uint32_t host, bool cold)
{
    auto server = std::make_shared<Server>();
    const auto port = static_cast<std::uint16_t>(1 + m_incarnations++);
    server->target.address = Endpoint("10.0.0.1", port);
    server->target.gateway = Endpoint("10.0.0.2", static_cast<std::uint16_t>(1 + host));
    server->target.zone = m_nodes[host]->zone;
    server->target.name = "target-" + std::to_string(port);
    server->speed = m_options.speeds[host % m_options.speeds.size()];
    server->warm = cold ? m_now + m_options.coldTime : m_now;
    for (std::uint32_t i = 0; i < m_options.nodes; ++i) {
        auto load = std::make_shared<TargetLoad>();
        load->target = server->target;
        load->slots = m_options.slots;
        load->local = i == host;
        load->firstSeen = cold ? m_now : TimePoint::min();
        auto &loads = m_nodes[i]->loads;
        std::erase_if(loads, [&](const auto &it) { return it->target.gateway == server->target.gateway; });
        loads.push_back(std::move(load));
    }
    m_servers[host] = std::move(server);
}

void PlacementSimulation::replaceServers()
{
    constexpr std::uint32_t perStep = 2;
    for (std::uint32_t i = 0; i < perStep && m_nextReplaced < m_options.released; ++i) {
        addServer(m_nextReplaced++, true);
    }
    if (m_nextReplaced < m_options.released) {
        at(m_now + m_options.releasePeriod, [this] { replaceServers(); });
    }
}

void PlacementSimulation::run()
{
    at(m_begin + m_options.releaseStart, [this] { replaceServers(); });
    for (std::uint32_t i = 0; i < m_options.nodes; ++i) {
        arrive(i);
    }
    while (!m_events.empty() && m_now < m_begin + m_options.length + 5s) {
        const auto event = m_events.begin();
        m_now = event->first;
        const auto action = std::move(event->second);
        m_events.erase(event);
        action();
    }
}

void PlacementSimulation::arrive(std::uint32_t node)
{
    const auto highest = m_options.requestsPerSecond / m_options.nodes * (1 + m_options.swing);
    const auto gap = std::exponential_distribution<double>(highest)(m_random);
    const auto next = m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
    if (next >= m_begin + m_options.length) {
        return;
    }
    at(next, [this, node] {
        arrive(node);
        if (m_options.swing > 0
            && std::uniform_real_distribution<double>(0, 1 + m_options.swing)(m_random) > demandOf(node, m_now)) {
            return;
        }
        const auto call = std::make_shared<Call>();
        call->node = node;
        call->sent = m_now;
        place(call);
    });
}

void PlacementSimulation::place(const CallPtr &call)
{
    auto &node = *m_nodes[call->node];
    Duration sum = Duration::zero();
    int n = 0;
    for (const auto &load : node.loads) {
        sum += load->serviceTime;
        n += load->serviceTime > Duration::zero() ? 1 : 0;
    }
    const auto typical = n > 0 ? scaled(sum, serviceTimeMargin / n) : Duration::zero();
    const auto latest = call->sent + m_options.objective - typical;
    const auto maxWait = latest < m_now ? maxLateWait : latest - m_now;
    const PlacementQuery query{.requiredLabels = {}, .excluded = call->excluded, .maxWait = maxWait};
    std::size_t localQueued = 0;
    for (const auto &load : node.loads) {
        localQueued += load->local ? m_servers[call->node]->queue.size() : 0;
    }
    if (m_options.oracle) {
        lookAtAllQueues(node);
    }
    auto placement = node.policy->choose(node.loads, query, localQueued, m_now);
    if (!placement.target) {
        finish(call, false);
        return;
    }
    call->load = std::move(placement.target);
    const auto host = static_cast<std::size_t>(call->load->target.gateway.port() - 1);
    const auto server = m_servers[host];
    ++call->sends;
    ++call->load->outstanding;
    call->load->lastUsed = m_now;
    const auto delay = delayTo(*call, *server);
    ++server->coming;
    at(m_now + delay, [this, call, server, maxWait] { offer(call, server, maxWait); });
}

void PlacementSimulation::offer(const CallPtr &call, const ServerPtr &server, Duration maxWait)
{
    --server->coming;
    const auto ahead = server->queue.size() + 1;
    const auto wait = scaled(server->serviceTime, static_cast<double>(ahead) / m_options.slots);
    if (server->running >= m_options.slots && wait > maxWait) {
        refuse(call, server);
        return;
    }
    const auto end = m_now + maxWait;
    server->queue.emplace_back(call, end);
    startNext(server);
    at(end, [this, call, server] {
        const auto waiting =
            std::find_if(server->queue.begin(), server->queue.end(), [&](const auto &it) { return it.first == call; });
        if (waiting != server->queue.end()) {
            server->queue.erase(waiting);
            refuse(call, server);
        }
    });
}

void PlacementSimulation::startNext(const ServerPtr &server)
{
    while (server->running < m_options.slots && !server->queue.empty()) {
        const auto call = server->queue.front().first;
        server->queue.pop_front();
        start(call, server);
    }
}

void PlacementSimulation::start(const CallPtr &call, const ServerPtr &server)
{
    ++server->running;
    call->started = m_now;
    m_runs.emplace_back(m_now, server->target.name);
    at(m_now + workTime(*server), [this, call, server] { complete(call, server); });
}

void PlacementSimulation::complete(const CallPtr &call, const ServerPtr &server)
{
    --server->running;
    const bool first = server->serviceTime == Duration::zero();
    server->serviceTime += (m_now - call->started - server->serviceTime) / (first ? 1 : serviceTimeDivisor);
    startNext(server);
    at(m_now + delayTo(*call, *server), [this, call, report = reportOf(*server)] {
        call->load->applyReport(report, m_now);
        --call->load->outstanding;
        finish(call, true);
    });
}

void PlacementSimulation::refuse(const CallPtr &call, const ServerPtr &server)
{
    at(m_now + delayTo(*call, *server), [this, call, report = reportOf(*server)] {
        call->load->applyReport(report, m_now);
        --call->load->outstanding;
        call->excluded.push_back(call->load->target.address);
        if (call->sends >= maxSends) {
            finish(call, false);
        } else {
            place(call);
        }
    });
}

void PlacementSimulation::finish(const CallPtr &call, bool answered)
{
    if (!answered && call->tries < m_options.retries) {
        const auto spread =
            std::uniform_int_distribution<int>(0, static_cast<int>(m_options.retryJitter.count()))(m_random);
        const auto wait = m_options.retryAfter + std::chrono::milliseconds(spread);
        const auto most = (call->sent + m_options.deadline - m_now) / 3;
        const auto back = std::make_shared<Call>();
        back->node = call->node;
        back->sent = call->sent;
        back->tries = call->tries + 1;
        at(m_now + std::min<Duration>(wait, most), [this, back] { place(back); });
        return;
    }
    m_samples.push_back({.sent = call->sent,
                         .inTime = answered && m_now - call->sent <= m_options.objective,
                         .refused = !answered,
                         .again = !answered && call->tries > 0});
}

LoadReport PlacementSimulation::reportOf(const Server &server) const
{
    LoadReport report;
    report.running = server.running;
    report.waiting[AdmissionRank(Priority::Normal).value()] = static_cast<std::uint32_t>(server.queue.size());
    report.slots = m_options.slots;
    report.serviceTime = std::chrono::duration_cast<std::chrono::milliseconds>(server.serviceTime);
    if (m_options.loadFactor) {
        const auto stated = isSlowed(server, m_now) ? m_options.noiseFactor : 1;
        const auto mean = 1 + m_options.noiseShare * (m_options.noiseFactor - 1);
        report.timePercent = static_cast<std::uint32_t>(percent * stated / mean);
    }
    return report;
}

Duration PlacementSimulation::delayTo(const Call &call, const Server &server) const
{
    return m_nodes[call.node]->zone == server.target.zone ? 200us : 500us;
}

Duration PlacementSimulation::workTime(const Server &server)
{
    const auto factor = std::lognormal_distribution<double>(-workSpread * workSpread / 2, workSpread)(m_random);
    const auto cold = m_now < server.warm ? coldFactor : 1;
    const bool tail = std::bernoulli_distribution(m_options.tailShare)(m_random);
    const auto length = tail ? m_options.tailFactor : 1;
    return slowedTime(server, scaled(m_options.work, server.speed * cold * factor * length)) + m_options.nested;
}

Duration PlacementSimulation::slowedTime(const Server &server, Duration work) const
{
    if (m_options.noiseShare == 0) {
        return work;
    }
    const Duration period = m_options.noisePeriod;
    for (auto time = m_now;;) {
        const auto end = time + period - (time - m_begin) % period;
        const auto factor = isSlowed(server, time) ? m_options.noiseFactor : 1;
        const auto done = scaled(end - time, 1 / factor);
        if (done >= work) {
            return time + scaled(work, factor) - m_now;
        }
        work -= done;
        time = end;
    }
}

double PlacementSimulation::demandOf(std::uint32_t node, TimePoint time) const
{
    constexpr double shift = 0.08; // of the period, between two zones
    const auto zone = static_cast<double>(node % m_options.zones);
    const std::chrono::duration<double> period = m_options.wavePeriod;
    const auto phase = std::chrono::duration<double>(time - m_begin) / period + shift * zone;
    return 1 + m_options.swing * std::sin(2 * std::numbers::pi * phase);
}

bool PlacementSimulation::isSlowed(const Server &server, TimePoint time) const
{
    // A hash (splitmix64), because the generator of the class would make the result depend on the order of the calls.
    const auto turn = static_cast<std::uint64_t>((time - m_begin) / m_options.noisePeriod);
    auto hash = (m_options.seed << 40U) + (turn << 20U) + server.target.address.port();
    for (int i = 0; i < 2; ++i) {
        hash += 0x9e3779b97f4a7c15U;
        hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
        hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
        hash ^= hash >> 31U;
    }
    return static_cast<double>(hash >> 11U) < m_options.noiseShare * static_cast<double>(std::uint64_t{1} << 53U);
}

void PlacementSimulation::lookAtAllQueues(Node &node)
{
    for (const auto &load : node.loads) {
        const auto &server = *m_servers[load->target.gateway.port() - 1U];
        auto report = reportOf(server);
        report.running += server.coming;
        load->applyReport(report, m_now);
        load->outstandingAtReport = load->outstanding;
        load->lastUsed = m_now;
    }
}

SimulationResult PlacementSimulation::between(std::chrono::milliseconds from, std::chrono::milliseconds to) const
{
    SimulationResult result;
    for (const auto &it : m_samples) {
        if (it.sent >= m_begin + from && it.sent < m_begin + to) {
            ++result.requests;
            result.inTime += it.inTime ? 1 : 0;
            result.refusedAgain += it.again ? 1 : 0;
            result.refused += it.refused ? 1 : 0;
        }
    }
    return result;
}

double PlacementSimulation::skewBetween(std::chrono::milliseconds from, std::chrono::milliseconds to) const
{
    std::map<std::string, double> runs;
    double all = 0;
    for (const auto &[time, name] : m_runs) {
        if (time >= m_begin + from && time < m_begin + to) {
            ++runs[name];
            ++all;
        }
    }
    double most = 0;
    for (const auto &[name, n] : runs) {
        most = std::max(most, n);
    }
    return all > 0 ? most * m_options.targets / all : 0;
}

} // namespace Hornbeam
