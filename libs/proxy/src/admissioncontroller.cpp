#include "admissioncontroller.h"

#include <algorithm>

namespace Hornbeam {

namespace {

/** A new sample has the weight 1/16, so the average duration follows a change within some tens of requests. */
constexpr int smoothingDivisor = 16;

} // namespace

QueuedRequest::QueuedRequest(AdmissionRank rank, TimePoint deadline, TimePoint latestStart)
    : m_rank(rank)
    , m_deadline(deadline)
    , m_latestStart(latestStart)
{
}

AdmissionController::AdmissionController(std::uint32_t maxQueued)
    : m_maxQueued(maxQueued)
{
}

AdmissionController::Decision AdmissionController::admit(const QueuedRequestPtr &request,
                                                         std::uint32_t slots,
                                                         TimePoint now)
{
    const auto rank = request->rank();
    if (queuedAhead(rank) == 0 && request->tryStart()) {
        return Decision::Started;
    }
    const auto start = now + estimatedWait(rank, slots);
    if (start + m_averageDuration > request->deadline() || start > request->latestStart()) {
        return Decision::TooLate;
    }
    if (queued() >= m_maxQueued && !evictBelow(rank)) {
        return Decision::QueueFull;
    }
    m_queues[rank.queueIndex()].push_back(request);
    return Decision::Queued;
}

void AdmissionController::slotsChanged(TimePoint now)
{
    for (auto &queue : m_queues) {
        for (auto it = queue.begin(); it != queue.end();) {
            const auto request = *it;
            // A request that cannot finish in time must not take a slot from one that can.
            const bool expired =
                request->deadline() <= now + m_averageDuration || request->latestStart() < now || request->isObsolete();
            if (!expired && !request->tryStart()) {
                ++it;
                continue;
            }
            it = queue.erase(it);
            if (expired) {
                request->rejected();
            }
        }
    }
}

void AdmissionController::remove(const QueuedRequestPtr &request)
{
    auto &queue = m_queues[request->rank().queueIndex()];
    queue.erase(std::remove(queue.begin(), queue.end(), request), queue.end());
}

void AdmissionController::recordDuration(Duration duration)
{
    const bool first = m_averageDuration == Duration::zero();
    m_averageDuration += (duration - m_averageDuration) / (first ? 1 : smoothingDivisor);
}

Duration AdmissionController::estimatedWait(AdmissionRank rank, std::uint32_t slots) const
{
    const auto ahead = static_cast<Duration::rep>(queuedAhead(rank)) + 1;
    return m_averageDuration * ahead / std::max<std::uint32_t>(slots, 1);
}

std::size_t AdmissionController::queued() const
{
    std::size_t n = 0;
    for (const auto &queue : m_queues) {
        n += queue.size();
    }
    return n;
}

std::size_t AdmissionController::queuedAhead(AdmissionRank rank) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i <= rank.queueIndex(); ++i) {
        n += m_queues[i].size();
    }
    return n;
}

std::array<std::uint32_t, AdmissionRank::count> AdmissionController::queuedByRank() const
{
    std::array<std::uint32_t, AdmissionRank::count> counts{};
    for (const auto &queue : m_queues) {
        if (!queue.empty()) {
            counts[queue.front()->rank().value()] += static_cast<std::uint32_t>(queue.size());
        }
    }
    return counts;
}

bool AdmissionController::evictBelow(AdmissionRank rank)
{
    for (std::size_t i = m_queues.size() - 1; i > rank.queueIndex(); --i) {
        if (!m_queues[i].empty()) {
            const auto evicted = m_queues[i].back();
            m_queues[i].pop_back();
            evicted->rejected();
            return true;
        }
    }
    return false;
}

} // namespace Hornbeam
