#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/dissemination/disseminatoroptions.h>
#include <hornbeam/dissemination/peerclient.h>
#include <hornbeam/dissemination/snapshotholder.h>
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

/** How a node learned of a version that it did not receive from a peer. */
enum class OfferSource {
    Confirmed, ///< The node confirmed the version itself and pushes it immediately.
    Watched, ///< The node read it from the store and pushes it only if no push arrives before a delay.
};

/** Dependencies of the disseminator; the referenced objects must outlive it. */
struct DisseminatorDependencies
{
    PeerClient &peers;
    TimerService &timers;
    const MembershipTable &table;
    SnapshotHolder &config;
    MetricsRegistry &metrics;
};

/**
 * Distributes configuration versions: pushes new ones along a fan-out tree, and fetches missed ones from any peer that
 * has a higher version. Control thread only.
 */
class Disseminator : public PeerService
{
public:
    using ReadyListener = std::function<void()>;

    /** InvalidArgument when an option is out of range. */
    static Result<std::unique_ptr<Disseminator>> make(DisseminatorOptions options,
                                                      DisseminatorDependencies dependencies);

    ~Disseminator() override;

    /** Applies a version from the store or from a confirm on this node, and pushes it to the peers when it is new. */
    ApplyResult offer(const SnapshotPtr &snapshot, OfferSource source);

    /** Schedules a fetch from the sender when it has a higher version. */
    void heartbeatReceived(const Heartbeat &heartbeat);

    PushReply handlePush(const PushRequest &request) override;
    FetchReply handleFetch(const FetchRequest &request) override;

    /** Sets the newest version in the store, as read after this process started; see ready(). */
    void setStoreHeadVersion(ConfigVersion version);

    /** Starts the join window, in which the peers report their versions. Call it when the membership is joined. */
    void membershipJoined();

    /**
     * Whether the node may serve requests: its version is at least the newest one in the store and that of every live
     * member. Before that, the store must have answered or, while it is unreachable, a peer must have reported a
     * version by the end of a join window. Does not become false again.
     */
    bool ready() const
    {
        return m_ready;
    }

    /** Calls @p listener once when ready() becomes true. */
    void subscribeReady(ReadyListener listener);

private:
    struct RetainedDelta
    {
        ConfigVersion base = 0;
        ConfigVersion target = 0;
        std::string bytes;
    };

    /** A peer that has a higher version. */
    struct FetchSource
    {
        Endpoint peer;
        ConfigVersion version = 0;
        std::uint64_t digestPrefix = 0; ///< 0 when it is not known.
    };

    /** A version that could not be applied. */
    struct Rejected
    {
        ConfigVersion version = 0;
        std::uint64_t digestPrefix = 0;
        TimePoint until{};
    };

    Disseminator(DisseminatorOptions options, DisseminatorDependencies dependencies);

    void retainDelta(const Delta &delta, std::string bytes);
    std::optional<std::vector<std::string>> deltasFrom(ConfigVersion base) const;
    const std::string &encodedSnapshot();

    void originate();
    void forward(const PushRequest &push);
    void forwardPending();
    bool markRangeForwarded(ConfigVersion version, const HashRange &range);
    void pushBranches(const std::vector<FanoutBranch> &branches, const PushRequest &push);
    void pushBranch(const std::shared_ptr<const FanoutBranch> &branch, std::size_t candidate, const PushRequest &push);
    void forwardAfterFetch(const PushRequest &request);

    void scheduleFetch(const FetchSource &source);
    bool isRejected(const FetchSource &source) const;
    void startFetch();
    void fetchFinished(const FetchSource &source, const Result<FetchReply> &reply);
    bool applyFetched(const FetchSource &source, const FetchReply &reply);
    bool applyDeltas(const std::vector<std::string> &encoded);
    bool applySnapshot(const FetchSource &source, const std::string &encoded);
    bool applyAndForward(const SnapshotPtr &snapshot);

    ConfigVersion newestPeerVersion() const;
    void joinWindowEnded();
    void updateReady();
    Duration randomDelay(Duration longest);

    const DisseminatorOptions m_options;
    PeerClient &m_peers;
    TimerService &m_timers;
    const MembershipTable &m_table;
    SnapshotHolder &m_config;
    MemberHash m_selfHash;
    std::mt19937_64 m_random;
    Counter &m_pushes;
    Counter &m_replacements;
    Counter &m_fetches;
    Counter &m_conflicts;

    std::deque<RetainedDelta> m_retainedDeltas; ///< In ascending order of versions, for fetches of peers.
    std::size_t m_retainedBytes = 0;
    std::string m_encodedSnapshot;
    ConfigVersion m_encodedVersion = 0;

    ConfigVersion m_forwardedVersion = 0;
    std::vector<HashRange> m_forwardedRanges; ///< Ranges to which m_forwardedVersion was already pushed.
    std::vector<PushRequest> m_pendingForwards; ///< Pushes to forward once their version has been fetched.
    std::optional<PushRequest> m_originPush; ///< Sent by m_originTimer unless another node's push arrives first.
    TimerHandle m_originTimer;

    std::optional<FetchSource> m_nextSource; ///< The peer to fetch from next.
    bool m_fetching = false;
    bool m_fetchFullSnapshot = false; ///< The deltas of a peer could not be applied.
    Backoff m_fetchBackoff;
    TimePoint m_nextFetch{};
    TimerHandle m_fetchTimer;
    std::optional<Rejected> m_rejected; ///< Not fetched again for rejectedRetryDelay.

    std::optional<ConfigVersion> m_storeHeadVersion;
    std::optional<ConfigVersion> m_joinWindowVersion; ///< Newest version of the peers when the join window ended.
    bool m_joinWindowPassed = false;
    bool m_ready = false;
    TimerHandle m_joinTimer;
    std::vector<ReadyListener> m_readyListeners;
    std::shared_ptr<bool> m_alive; ///< Set to false by the destructor; checked by callbacks of requests to peers.
};

} // namespace Hornbeam
