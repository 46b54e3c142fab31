#include "watchercandidacy.h"

#include <hornbeam/membership/membershiptable.h>

namespace Hornbeam {

namespace {

// Spare candidates take over expired leases, even when several watchers fail at the same time.
constexpr std::uint32_t candidatesPerWatcher = 2;

} // namespace

Result<std::unique_ptr<WatcherCandidacy>> WatcherCandidacy::make(WatcherCandidacyOptions options,
                                                                 KeyValueStore &store,
                                                                 TimerService &timers,
                                                                 MembershipTable &members,
                                                                 Listener listener)
{
    std::unique_ptr<WatcherCandidacy> candidacy(new WatcherCandidacy(options, members, std::move(listener)));
    auto election = LeaseElection::make({.prefix = "/hornbeamring/watchers/" + options.zone + "/",
                                         .slots = options.watchersPerZone,
                                         .candidate = options.id},
                                        store,
                                        timers,
                                        *candidacy);
    if (!election) {
        return tl::unexpected(election.error());
    }
    candidacy->m_election = std::move(*election);
    return candidacy;
}

WatcherCandidacy::WatcherCandidacy(WatcherCandidacyOptions options, MembershipTable &members, Listener listener)
    : m_options(std::move(options))
    , m_members(members)
    , m_listener(std::move(listener))
{
}

void WatcherCandidacy::start()
{
    m_following = true;
    m_members.subscribe([this](const MemberPtr &, const MemberPtr &) { update(); });
    update();
}

void WatcherCandidacy::stop()
{
    m_following = false;
    m_candidate = false;
    m_election->stop();
}

void WatcherCandidacy::acquired(std::uint32_t)
{
    m_listener(true);
}

void WatcherCandidacy::lost()
{
    m_listener(false);
}

void WatcherCandidacy::update()
{
    if (!m_following) {
        return;
    }
    const bool candidate = isAmongFirstInZone();
    if (candidate && !m_candidate) {
        m_candidate = true;
        m_election->start();
    } else if (!candidate && m_candidate && !m_election->isHolder()) {
        // A holder keeps its role; otherwise a joining member with a lower hash would force a change of watchers.
        m_candidate = false;
        m_election->stop();
    }
}

bool WatcherCandidacy::isAmongFirstInZone() const
{
    const auto self = memberHash(m_options.id);
    std::uint32_t before = 0;
    for (const auto &listed : *m_members.liveMembers()) {
        if (listed.hash >= self) {
            break;
        }
        if (listed.member->zone == m_options.zone) {
            ++before;
        }
    }
    return before < m_options.watchersPerZone * candidatesPerWatcher;
}

} // namespace Hornbeam
