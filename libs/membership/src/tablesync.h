#pragma once

#include "membershipchannel.h"

#include <deque>
#include <functional>
#include <optional>

namespace Hornbeam {

/** Joins through a seed, and repairs lost updates by comparing the table with random members (anti-entropy). */
class TableSync
{
public:
    using JoinListener = std::function<void()>;

    TableSync(const FailureDetectorOptions &options,
              MembershipChannel &channel,
              TimerService &timers,
              const MembershipTable &table,
              const RumorTable &rumors,
              JoinListener joined);

    void start();
    void stop();

    bool joined() const
    {
        return m_joined;
    }

    /** Sends the table digest to seeds at whose address no live member is known, and schedules the next time. */
    void contactSeeds();

    /**
     * Called for each datagram received from @p sender. If the sender is another seed than the one that an unfinished
     * join has chosen, joins through the sender instead, once per attempt.
     */
    void messageReceived(const Endpoint &sender);

    /** Asks @p peer for the state of one member. */
    void requestMember(const Endpoint &peer, MemberHash hash);

    void handleTableDigest(const Wire::Datagram &datagram);
    void handleBucketDigests(const Wire::Datagram &datagram);
    void handleTableRequest(const Wire::Datagram &datagram);
    void handleTablePage(const Wire::Datagram &datagram);

    /** Repeats a request whose page was lost, and resets the rate limit of served pages. */
    void sweep();

private:
    struct Range
    {
        MemberHash first = 0;
        MemberHash last = ~MemberHash(0);
    };

    /** A transfer of table ranges from a peer; one page is requested at a time. */
    struct Pull
    {
        Endpoint peer;
        std::deque<Range> ranges;
        std::uint32_t sequence = 0;
        int attempts = 0;
        TimePoint deadline{};
        bool join = false;
        bool peerIsReachable = false; ///< The peer was chosen because it had just sent a datagram.
    };

    void scheduleAntiEntropy();
    void compareWithPeer();
    Wire::Datagram makeDigest() const;
    std::optional<Endpoint> choosePeer();
    std::optional<Endpoint> chooseDistantPeer();
    MemberList failedMembers() const;
    std::vector<Endpoint> otherSeeds() const;

    void scheduleJoin(Duration delay);
    void tryJoin();
    void finishJoin();

    void startPull(const Endpoint &peer, std::deque<Range> ranges, bool join);
    void requestNextPage();
    void finishPull();
    void abandonPull();

    const FailureDetectorOptions &m_options;
    MembershipChannel &m_channel;
    TimerService &m_timers;
    const MembershipTable &m_table;
    const RumorTable &m_rumors;
    JoinListener m_joinListener;
    Backoff m_joinBackoff;
    bool m_joined = false;
    std::optional<Pull> m_pull;
    std::size_t m_nextSeed = 0; ///< Index of the seed that contactSeeds() starts with.
    std::uint32_t m_sequence = 0;
    std::uint32_t m_servedPages = 0; ///< Pages served since m_budgetStart.
    TimePoint m_budgetStart;
    TimerHandle m_antiEntropyTimer;
    TimerHandle m_joinTimer;
    TimerHandle m_seedTimer;
};

} // namespace Hornbeam
