#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/store/leaseelection.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Hornbeam {

class KeyValueStore;
class MembershipTable;

struct WatcherCandidacyOptions
{
    std::string id; ///< Member id of the node.
    std::string zone;
    std::uint32_t watchersPerZone = 3;
};

/**
 * Decides whether the node is a candidate for one of the zone's store watcher leases.
 * Only the first members of the zone, in the order of their hashes, are candidates. If every node of the zone polled
 * the leases, the load on the store would grow with the size of the fleet. Control thread only.
 */
class WatcherCandidacy : private LeaseElectionListener
{
public:
    using Listener = std::function<void(bool watcher)>;

    static Result<std::unique_ptr<WatcherCandidacy>> make(WatcherCandidacyOptions options,
                                                          KeyValueStore &store,
                                                          TimerService &timers,
                                                          MembershipTable &members,
                                                          Listener listener);

    /** Becomes a candidate whenever the membership puts this node among the first of its zone. */
    void start();

    /** Stops being a candidate and releases a held lease. */
    void stop();

private:
    WatcherCandidacy(WatcherCandidacyOptions options, MembershipTable &members, Listener listener);

    void acquired(std::uint32_t slot) override;
    void lost() override;
    void update();
    bool isAmongFirstInZone() const;

    WatcherCandidacyOptions m_options;
    MembershipTable &m_members;
    Listener m_listener;
    std::unique_ptr<LeaseElection> m_election;
    bool m_following = false;
    bool m_candidate = false;
};

} // namespace Hornbeam
