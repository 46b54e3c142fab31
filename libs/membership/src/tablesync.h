#pragma once

#include "membershipchannel.h"

#include <deque>
#include <functional>
#include <optional>

namespace Hornbeam {

/** Joins through a seed and compares the table with random members, so that lost updates are repaired. */
class TableSync
{
public:
    using JoinListener = std::function<void()>;

    TableSync(const FailureDetectorOptions &options,
              MembershipChannel &channel,
              TimerService &timers,
              const MembershipTable &table,
              const RumorBoard &rumors,
              JoinListener joined);

    void start();
    void stop();

    bool joined() const
    {
        return m_joined;
    }

    /** Compares the table with seeds that are not the address of a live member. */
    void contactSeeds();

    /** Continues a join that has not heard from its seed with @p sender, if that is another seed. */
    void heardFrom(const Endpoint &sender);

    /** Asks @p peer for the state of one member. */
    void requestMember(const Endpoint &peer, MemberHash hash);

    void handleTableDigest(const Wire::Datagram &datagram);
    void handleBucketDigests(const Wire::Datagram &datagram);
    void handleTableRequest(const Wire::Datagram &datagram);
    void handleTablePage(const Wire::Datagram &datagram);

    /** Repeats a request whose page was lost, and renews the budget of served pages. */
    void sweep();

private:
    struct Range
    {
        MemberHash first = 0;
        MemberHash last = ~MemberHash(0);
    };

    /** A table exchange in progress; one page is requested at a time. */
    struct Pull
    {
        Endpoint peer;
        std::deque<Range> ranges;
        std::uint32_t sequence = 0;
        int attempts = 0;
        TimePoint deadline{};
        bool join = false;
        bool peerHeard = false; ///< Whether the peer was chosen because it had just sent a datagram.
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
    const RumorBoard &m_rumors;
    JoinListener m_joinListener;
    Backoff m_joinBackoff;
    bool m_joined = false;
    std::optional<Pull> m_pull;
    std::size_t m_nextSeed = 0; ///< Position in the seeds at which the next contact begins.
    std::uint32_t m_sequence = 0;
    std::uint32_t m_servedPages = 0; ///< In the current second.
    TimePoint m_budgetStart;
    TimerHandle m_antiEntropyTimer;
    TimerHandle m_joinTimer;
    TimerHandle m_seedTimer;
};

} // namespace Hornbeam
