#include "placementpolicy.h"

#include "linkpacer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Hornbeam {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// A target that this node has not used for this long gets a discount, so that its load report is refreshed and targets
// that have joined or recovered receive requests.
constexpr auto unusedThreshold = std::chrono::seconds(2);
constexpr std::chrono::milliseconds unusedDiscount{60};

double milliseconds(Duration duration)
{
    return Milliseconds(duration).count();
}

bool isSuitable(const TargetLoad &load, const PlacementQuery &query)
{
    const auto &labels = load.target.labels;
    return !load.withdrawn && load.track == query.track
        && std::includes(labels.begin(), labels.end(), query.requiredLabels.begin(), query.requiredLabels.end())
        && std::find(query.excluded.begin(), query.excluded.end(), load.target.address) == query.excluded.end();
}

/** Requests of other nodes that run or precede a new one of @p rank, according to the last load report. */
double requestsOfOthers(const TargetLoad &load, AdmissionRank rank)
{
    const auto reported = load.report.ahead(rank);
    return reported > load.outstandingAtReport ? reported - load.outstandingAtReport : 0;
}

} // namespace

PlacementPolicy::PlacementPolicy(PlacementOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed != 0 ? m_options.seed : std::random_device()())
{
}

PlacementPolicy::Placement PlacementPolicy::choose(std::span<const TargetLoadPtr> targets,
                                                   const PlacementQuery &query,
                                                   std::size_t localQueuedAhead,
                                                   TimePoint now)
{
    updateMeans(targets, query.rank, now);
    Placement best;
    double lowest = std::numeric_limits<double>::max();
    Duration shortest = Duration::max();
    // Ejected targets are considered only if there is no other suitable target.
    for (const bool ejected : {false, true}) {
        for (const auto &load : targets) {
            if (load->isEjected(now) != ejected || !isSuitable(*load, query)) {
                continue;
            }
            const auto requests = expectedRequests(*load, query.rank, localQueuedAhead, now);
            auto wait = expectedWait(*load, requests, now);
            if (query.bulk && load->isRemote()) {
                wait += linkWaitOf(*load, now);
            }
            shortest = std::min(shortest, wait);
            const auto cost = costOf(*load, query, requests, now);
            if (wait <= query.maxWait && cost < lowest) {
                lowest = cost;
                best = {.outcome = wait == Duration::zero() ? Outcome::Free : Outcome::Wait,
                        .target = load,
                        .expectedWait = wait};
            }
        }
        if (shortest != Duration::max()) {
            break;
        }
    }
    if (!best.target && shortest != Duration::max()) {
        return {.outcome = Outcome::NoRoom, .target = nullptr, .expectedWait = shortest};
    }
    return best;
}

Duration PlacementPolicy::shortestWait(std::span<const TargetLoadPtr> targets,
                                       const PlacementQuery &query,
                                       std::size_t localQueuedAhead,
                                       TimePoint now)
{
    updateMeans(targets, query.rank, now);
    Duration shortest = Duration::max();
    for (const auto &load : targets) {
        if (!load->isEjected(now) && isSuitable(*load, query)) {
            shortest = std::min(shortest,
                                expectedWait(*load, expectedRequests(*load, query.rank, localQueuedAhead, now), now));
        }
    }
    return shortest == Duration::max() ? Duration::zero() : shortest;
}

Duration PlacementPolicy::expectedWait(const TargetLoad &load, double requests, TimePoint now) const
{
    const auto ahead = requests + 1 - load.slots;
    if (ahead <= 0) {
        return Duration::zero();
    }
    const auto wait = Milliseconds(milliseconds(serviceTimeOf(load, now)) * ahead / load.slots);
    return std::chrono::duration_cast<Duration>(wait);
}

double PlacementPolicy::expectedRequests(const TargetLoad &load,
                                         AdmissionRank rank,
                                         std::size_t localQueuedAhead,
                                         TimePoint now) const
{
    if (!load.isRemote()) {
        return load.outstanding + static_cast<double>(load.local ? localQueuedAhead : 0);
    }
    const auto mean = m_meanOccupancy * load.slots;
    if (load.reportedAt == TimePoint::min()) {
        return load.outstanding + mean;
    }
    const auto weight = std::exp(-milliseconds(now - load.reportedAt) / milliseconds(m_options.reportTimeConstant));
    return load.outstanding + weight * requestsOfOthers(load, rank) + (1 - weight) * mean;
}

double PlacementPolicy::costOf(const TargetLoad &load, const PlacementQuery &query, double requests, TimePoint now)
{
    const auto slots = static_cast<double>(load.slots);
    auto cost = milliseconds(expectedWait(load, requests, now)) + milliseconds(serviceTimeOf(load, now));
    if (query.bulk) {
        cost += milliseconds(linkWaitOf(load, now));
    }
    cost += milliseconds(m_options.busyCost) * std::min(requests / slots, 1.0);
    cost += milliseconds(m_options.failureCost) * load.failureRate;
    if (load.isRemote()) {
        cost += milliseconds(m_options.hopCost) + milliseconds(query.bulkTransferTime);
    }
    if (load.target.zone != m_options.zone) {
        cost += milliseconds(query.bulk ? m_options.bulkZoneCost : m_options.zoneCost);
    }
    const bool unused = load.lastUsed == TimePoint::min() || now - load.lastUsed >= unusedThreshold;
    if (unused && !query.bulk) {
        cost -= milliseconds(unusedDiscount);
    }
    return cost + std::uniform_real_distribution<double>(0, milliseconds(m_options.jitter))(m_random);
}

void PlacementPolicy::updateMeans(std::span<const TargetLoadPtr> targets, AdmissionRank rank, TimePoint now)
{
    double requests = 0;
    double slots = 0;
    Duration serviceTimes = Duration::zero();
    int known = 0;
    m_recentLinkWaits = Duration::zero();
    m_recentReports = 0;
    for (const auto &load : targets) {
        serviceTimes += load->serviceTime;
        known += load->serviceTime > Duration::zero() ? 1 : 0;
        if (isRecent(*load, now)) {
            requests += requestsOfOthers(*load, rank);
            slots += load->slots;
            m_recentLinkWaits += load->largeResponseWait;
            ++m_recentReports;
        }
    }
    m_meanOccupancy = slots > 0 ? requests / slots : 0;
    m_meanServiceTime = known > 0 ? serviceTimes / known : Duration(m_options.defaultServiceTime);
}

bool PlacementPolicy::isRecent(const TargetLoad &load, TimePoint now) const
{
    return load.isRemote() && load.reportedAt != TimePoint::min()
        && now - load.reportedAt <= 2 * m_options.reportTimeConstant;
}

Duration PlacementPolicy::linkWaitOfOthers(const TargetLoad &load, TimePoint now) const
{
    const bool own = isRecent(load, now);
    const auto reports = m_recentReports - (own ? 1 : 0);
    const auto waits = m_recentLinkWaits - (own ? load.largeResponseWait : Duration::zero());
    return reports > 0 ? waits / reports : Duration::zero();
}

Duration PlacementPolicy::linkWaitOf(const TargetLoad &load, TimePoint now) const
{
    if (load.reportedAt == TimePoint::min()) {
        return Duration::zero();
    }
    // The link has been sending since the report, but other nodes may have added to its backlog.
    const auto age = now - load.reportedAt;
    const auto left = load.largeResponseWait - age;
    const auto weight = std::exp(-milliseconds(age) / milliseconds(m_options.reportTimeConstant));
    const auto typical = std::chrono::duration_cast<Duration>((1 - weight) * Milliseconds(linkWaitOfOthers(load, now)));
    return linkWaitAfter(serviceTimeOf(load, now), std::max<Duration>(left, typical));
}

double PlacementPolicy::slowdownOf(const TargetLoad &load, Duration constant, TimePoint now)
{
    if (load.slowdownAt == TimePoint::min()) {
        return 1;
    }
    return 1 + (load.slowdown - 1) * std::exp(-milliseconds(now - load.slowdownAt) / milliseconds(constant));
}

Duration PlacementPolicy::serviceTimeOf(const TargetLoad &load, TimePoint now) const
{
    const Milliseconds usual = usualTimeOf(load, now);
    return std::chrono::duration_cast<Duration>(usual * slowdownOf(load, m_options.slowdownTimeConstant, now));
}

Duration PlacementPolicy::usualTimeOf(const TargetLoad &load, TimePoint now) const
{
    if (!load.isRemote()) {
        return load.serviceTime > Duration::zero() ? load.serviceTime : m_meanServiceTime;
    }
    if (load.serviceTime == Duration::zero()) {
        return m_meanServiceTime;
    }
    // A target that was slow when it reported must be tried again, soon if it had just started.
    const bool warmingUp =
        load.firstSeen != TimePoint::min() && load.reportedAt - load.firstSeen < m_options.warmUpTime;
    const auto constant = warmingUp ? m_options.warmUpTimeConstant : m_options.serviceTimeConstant;
    const auto weight = std::exp(-milliseconds(now - load.reportedAt) / milliseconds(constant));
    const Milliseconds difference = load.serviceTime - m_meanServiceTime;
    return m_meanServiceTime + std::chrono::duration_cast<Duration>(difference * weight);
}

} // namespace Hornbeam
