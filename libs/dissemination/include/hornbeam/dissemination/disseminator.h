#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/dissemination/disseminatoroptions.h>
#include <hornbeam/dissemination/peerclient.h>
#include <hornbeam/dissemination/versionedsnapshot.h>
#include <hornbeam/membership/heartbeat.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Hornbeam {

class Counter;
struct FanoutBranch;

/** How a node came to know a version that it did not receive from a peer. */
enum class OfferSource {
    Confirmed, ///< It confirmed the version itself and is the origin of the push.
    Watched, ///< It read it from the store; it pushes only when no push arrives for some time.
};

/** What the disseminator needs; the referenced objects outlive it. */
struct DisseminatorDependencies
{
    PeerClient &peers;
    TimerService &timers;
    const MembershipTable &table;
    VersionedSnapshot &config;
    MetricsRegistry &metrics;
};

/**
 * Distributes configuration versions: pushes new ones along a tree and fetches those that were missed from any peer
 * that is ahead. Control thread only.
 */
class Disseminator : public PeerService
{
public:
    using ReadyListener = std::function<void()>;

    /** InvalidArgument when an option is out of range. */
    static Result<std::unique_ptr<Disseminator>> make(DisseminatorOptions options,
                                                      DisseminatorDependencies dependencies);

    ~Disseminator() override;

    /** Applies a version that came from the store or a confirm, and pushes it when it is new. */
    ApplyResult offer(const SnapshotPtr &snapshot, OfferSource source);

    /** Fetches from the sender when it is ahead. */
    void heartbeatReceived(const Heartbeat &heartbeat);

    PushReply handlePush(const PushRequest &request) override;
    FetchReply handleFetch(const FetchRequest &request) override;

    /** The version of the store's head, as read after this process started. */
    void setStoreFloor(ConfigVersion version);

    /** Starts the time in which the peers tell their newest version; call it when the membership has joined. */
    void membershipJoined();

    /**
     * Whether the node may serve calls: it has at least the version of the store's head and, without the store, of all
     * peers heard of in the join window. Never returns to false.
     */
    bool ready() const
    {
        return m_ready;
    }

    /** Calls @p listener once when ready() becomes true. */
    void subscribeReady(ReadyListener listener);

private:
    struct KeptDelta
    {
        ConfigVersion base = 0;
        ConfigVersion target = 0;
        std::string bytes;
    };

    /** A peer that reported a higher version. */
    struct Source
    {
        Endpoint peer;
        ConfigVersion version = 0;
        std::uint64_t digestPrefix = 0; ///< 0 when it is not known.
    };

    struct Rejected
    {
        ConfigVersion version = 0;
        std::uint64_t digestPrefix = 0;
        TimePoint until{};
    };

    Disseminator(DisseminatorOptions options, DisseminatorDependencies dependencies);

    void keepDelta(const Delta &delta, std::string bytes);
    std::optional<std::vector<std::string>> deltasFrom(ConfigVersion base) const;
    const std::string &encodedSnapshot();

    void originate();
    void forward(const PushRequest &push);
    void forwardPending();
    bool coverRange(ConfigVersion version, const HashRange &range);
    void pushBranches(const std::vector<FanoutBranch> &branches, const PushRequest &push);
    void pushBranch(const std::shared_ptr<const FanoutBranch> &branch, std::size_t candidate, const PushRequest &push);
    void awaitFetch(const PushRequest &request);

    void noteSource(const Source &source);
    bool isRejected(const Source &source) const;
    void startFetch();
    void fetchFinished(const Source &source, const Result<FetchReply> &reply);
    bool applyFetched(const Source &source, const FetchReply &reply);
    bool applyDeltas(const std::vector<std::string> &encoded);
    bool applySnapshot(const Source &source, const std::string &encoded);
    bool accept(const SnapshotPtr &snapshot);

    ConfigVersion newestPeerVersion() const;
    void joinWindowEnded();
    void updateReady();
    Duration randomDelay(Duration longest);

    const DisseminatorOptions m_options;
    PeerClient &m_peers;
    TimerService &m_timers;
    const MembershipTable &m_table;
    VersionedSnapshot &m_config;
    MemberHash m_selfHash;
    std::mt19937_64 m_random;
    Counter &m_pushes;
    Counter &m_replacements;
    Counter &m_fetches;
    Counter &m_conflicts;

    std::deque<KeptDelta> m_deltas; ///< In the order of their versions.
    std::size_t m_keptBytes = 0;
    std::string m_encodedSnapshot;
    ConfigVersion m_encodedVersion = 0;

    ConfigVersion m_coveredVersion = 0;
    std::vector<HashRange> m_covered; ///< Ranges of m_coveredVersion that were already passed on.
    std::vector<PushRequest> m_pendingForwards; ///< Wait for the version to be fetched.
    std::optional<PushRequest> m_originPush; ///< Pushed by m_originTimer unless another origin is faster.
    TimerHandle m_originTimer;

    std::optional<Source> m_source; ///< The peer to fetch from next.
    bool m_fetching = false;
    bool m_wholeSnapshotNext = false; ///< The deltas of a peer did not fit.
    Backoff m_fetchBackoff;
    TimePoint m_nextFetch{};
    TimerHandle m_fetchTimer;
    std::optional<Rejected> m_rejected; ///< Not fetched again for some time.

    std::optional<ConfigVersion> m_storeFloor;
    std::optional<ConfigVersion> m_peerFloor;
    bool m_joinWindowPassed = false;
    bool m_ready = false;
    TimerHandle m_joinTimer;
    std::vector<ReadyListener> m_readyListeners;
    std::shared_ptr<bool> m_alive; ///< Lets callbacks of peers notice that the object is gone.
};

} // namespace Hornbeam
