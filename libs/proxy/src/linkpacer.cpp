#include "linkpacer.h"

#include <algorithm>
#include <numeric>

namespace Hornbeam {

namespace {

/** Faster links are not paced: they transfer a large response within a few milliseconds. */
constexpr double fastestPacedMegabits = 100;

/** Share of the link's capacity for responses; headers, acknowledgements and other traffic of the host use the rest. */
constexpr double usableShare = 0.9;

constexpr double bytesPerMegabit = 1e6 / 8;

/** Queueing delay that is allowed at the link, so that it does not idle between two pieces. */
constexpr std::chrono::milliseconds allowedQueueDelay{10};

/**
 * Lost sending time that is made up for at most. A host may give a process the processor for only a part of each tenth
 * of a second.
 */
constexpr std::chrono::milliseconds maxCatchUp{100};

/** Assumed size of a large response until the size of the first one is known. */
constexpr double initialLargeBytes = 64.0 * 1024;

/** Weight of a new sample in the moving average of the size. */
constexpr double sizeWeight = 1.0 / 8;

} // namespace

Duration linkWaitAfter(Duration work, Duration linkWait)
{
    return std::max(linkWait - work, Duration::zero());
}

LinkPacer::LinkPacer(LinkPacerOptions options)
    : m_bytesPerSecond(options.megabitsPerSecond > fastestPacedMegabits
                           ? 0
                           : options.megabitsPerSecond * usableShare * bytesPerMegabit)
    , m_largeBytes(initialLargeBytes)
{
}

Duration LinkPacer::reserve(std::size_t bytes, TimePoint now, bool backlogged)
{
    if (!isPacing()) {
        return Duration::zero();
    }
    const std::lock_guard lock(m_mutex);
    const auto start = std::max(backlogged ? now - maxCatchUp : now, m_freeAt);
    m_freeAt = start + timeOf(static_cast<double>(bytes));
    return std::max<Duration>(start - now - allowedQueueDelay, Duration::zero());
}

void LinkPacer::addUnpaced(std::size_t bytes, TimePoint now)
{
    if (isPacing()) {
        const std::lock_guard lock(m_mutex);
        m_freeAt = std::max(now, m_freeAt) + timeOf(static_cast<double>(bytes));
    }
}

std::uint64_t LinkPacer::largeResponseStarted(TimePoint deadline)
{
    const std::lock_guard lock(m_mutex);
    m_large.emplace(m_nextId, LargeResponseEntry{.deadline = deadline, .remaining = m_largeBytes});
    return m_nextId++;
}

void LinkPacer::largeResponseAnnounced(std::size_t bytes, std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    const auto size = std::min(bytes, maxLargeResponseBytes);
    auto &entry = m_large.at(id);
    entry.remaining = static_cast<double>(size);
    entry.announced = entry.remaining;
    learnSize(size);
}

void LinkPacer::largeResponseLimited(TimePoint deadline, std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_large.at(id);
    entry.deadline = std::min(entry.deadline, deadline);
}

void LinkPacer::largeResponseSent(std::size_t bytes, std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    auto &remaining = m_large.at(id).remaining;
    remaining = std::max(remaining - static_cast<double>(bytes), 0.0);
}

void LinkPacer::largeResponseEnded(std::size_t bytes, std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_large.erase(id);
    if (bytes > 0) {
        learnSize(bytes);
    }
}

void LinkPacer::learnSize(std::size_t bytes)
{
    // A plain mean at first: a node that has just started must not admit responses by the assumed size for long.
    ++m_learnedSizes;
    const auto weight = std::max(sizeWeight, 1.0 / static_cast<double>(m_learnedSizes));
    m_largeBytes += (static_cast<double>(bytes) - m_largeBytes) * weight;
}

double LinkPacer::remainingBytes(TimePoint deadline, std::optional<std::uint64_t> except) const
{
    return std::accumulate(m_large.begin(), m_large.end(), 0.0, [&](double sum, const auto &it) {
        return it.second.deadline <= deadline && it.first != except ? sum + it.second.remaining : sum;
    });
}

Duration LinkPacer::largeResponseWait(TimePoint deadline, std::optional<std::uint64_t> except) const
{
    if (!isPacing()) {
        return Duration::zero();
    }
    const std::lock_guard lock(m_mutex);
    return timeOf(remainingBytes(deadline, except));
}

bool LinkPacer::wouldCutOff(TimePoint deadline, TimePoint now) const
{
    if (!isPacing()) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    const auto added = timeOf(m_largeBytes);
    return std::any_of(m_large.begin(), m_large.end(), [&](const auto &it) {
        const auto &entry = it.second;
        if (entry.deadline <= deadline || entry.deadline == TimePoint::max()) {
            return false;
        }
        const auto end = now + timeOf(remainingBytes(entry.deadline));
        return end <= entry.deadline && end + added > entry.deadline;
    });
}

bool LinkPacer::canBufferLargeResponse() const
{
    const std::lock_guard lock(m_mutex);
    return remainingBytes(TimePoint::max()) <= static_cast<double>(maxLargeResponseBytes);
}

Duration LinkPacer::largeResponseTime() const
{
    if (!isPacing()) {
        return Duration::zero();
    }
    const std::lock_guard lock(m_mutex);
    return timeOf(m_largeBytes);
}

Duration LinkPacer::longestLargeResponseTime() const
{
    if (!isPacing()) {
        return Duration::zero();
    }
    const std::lock_guard lock(m_mutex);
    const auto largest =
        std::accumulate(m_large.begin(), m_large.end(), m_largeBytes, [](double bytes, const auto &it) {
            return std::max(bytes, it.second.announced);
        });
    return timeOf(largest);
}

Duration LinkPacer::timeOf(double bytes) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / m_bytesPerSecond));
}

} // namespace Hornbeam
