#include <hornbeam/proxy/crashquarantine.h>

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

/** Crashes that are kept of one request; three that are not refuted suffice for a quarantine. */
constexpr std::size_t maxCrashes = 16;

/** Crashes of a single target that quarantine a request. */
constexpr std::size_t maxCrashesOfOneTarget = 3;

} // namespace

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions options)
    : m_options(options)
{
}

bool CrashQuarantine::report(const CrashReport &report, TimePoint now)
{
    removeExpired(now);
    auto *record = findOrAdd(report.request, now);
    if (record == nullptr) {
        return false;
    }
    auto &crashes = record->crashes;
    const bool known =
        std::any_of(crashes.begin(), crashes.end(), [&](const Crash &it) { return it.event == report.event; });
    if (!known && crashes.size() < maxCrashes) {
        crashes.push_back({.target = report.target, .event = report.event});
        record->last = now;
    }
    if (!record->isQuarantined() && isJustified(*record)) {
        record->releaseAt = now + m_options.quarantine;
    }
    return record->isQuarantined();
}

void CrashQuarantine::refute(const CrashReport &report, TimePoint now)
{
    removeExpired(now);
    auto *record = findOrAdd(report.request, now);
    if (record == nullptr) {
        return;
    }
    auto &crashes = record->crashes;
    const auto known =
        std::find_if(crashes.begin(), crashes.end(), [&](const Crash &it) { return it.event == report.event; });
    if (known != crashes.end()) {
        known->refuted = true;
    } else if (crashes.size() < maxCrashes) {
        crashes.push_back({.target = report.target, .event = report.event, .refuted = true});
    }
    if (!isJustified(*record)) {
        record->releaseAt = {};
    }
}

std::vector<CrashReport> CrashQuarantine::succeeded(const Digest &request)
{
    std::vector<CrashReport> refuted;
    const auto record = m_records.find(request);
    if (record == m_records.end()) {
        return refuted;
    }
    for (auto &crash : record->second.crashes) {
        if (!std::exchange(crash.refuted, true)) {
            refuted.push_back({.request = request, .target = crash.target, .event = crash.event});
        }
    }
    record->second.releaseAt = {};
    return refuted;
}

void CrashQuarantine::quarantineUntil(const Digest &request, TimePoint releaseAt)
{
    auto &record = m_records[request];
    record.releaseAt = std::max(record.releaseAt, releaseAt);
}

std::vector<Digest> CrashQuarantine::quarantined(TimePoint now)
{
    removeExpired(now);
    std::vector<Digest> digests;
    for (const auto &[digest, record] : m_records) {
        if (record.isQuarantined()) {
            digests.push_back(digest);
        }
    }
    return digests;
}

std::vector<SuspectRequest> CrashQuarantine::suspects(TimePoint now)
{
    removeExpired(now);
    std::vector<SuspectRequest> list;
    for (const auto &[digest, record] : m_records) {
        SuspectRequest suspect{.request = digest, .targets = {}};
        for (const auto &crash : record.crashes) {
            if (!crash.refuted) {
                suspect.targets.push_back(crash.target);
            }
        }
        if (!suspect.targets.empty()) {
            list.push_back(std::move(suspect));
        }
    }
    return list;
}

bool CrashQuarantine::isJustified(const Record &record)
{
    const Crash *last = nullptr;
    std::size_t n = 0;
    for (const auto &crash : record.crashes) {
        if (crash.refuted) {
            continue;
        }
        ++n;
        if (n == maxCrashesOfOneTarget || (last != nullptr && last->target != crash.target)) {
            return true;
        }
        last = &crash;
    }
    return false;
}

CrashQuarantine::Record *CrashQuarantine::findOrAdd(const Digest &request, TimePoint now)
{
    const auto known = m_records.find(request);
    if (known != m_records.end()) {
        return &known->second;
    }
    if (m_records.size() >= m_options.maxSuspects) {
        return nullptr;
    }
    auto &record = m_records[request];
    record.last = now;
    return &record;
}

void CrashQuarantine::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &it) {
        const auto &record = it.second;
        return record.isQuarantined() ? record.releaseAt <= now : record.last + m_options.window <= now;
    });
}

} // namespace Hornbeam
