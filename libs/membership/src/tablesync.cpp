#include "tablesync.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Hornbeam {

namespace {

constexpr auto pageTimeout = std::chrono::milliseconds(400);
constexpr int maxPageAttempts = 4;

// Seeds without a live member are contacted this often, a few at a time, since most of them are gone for good. The
// table comparisons are too rare (every 5 s) and choose peers at random, so they cannot ensure that a healed partition
// catches up within 3 s.
constexpr auto seedContactPeriod = std::chrono::seconds(1);
constexpr std::size_t maxSeedsPerPeriod = 4;

constexpr auto pageBudgetPeriod = std::chrono::seconds(1);

// One in this many comparisons is with a seed, a failed member or a member of another zone, so that the two sides of a
// healed partition find each other.
constexpr std::uint64_t distantPeerOneIn = 4;

// While there are failed members, a partition is likely, and comparisons with distant peers are more frequent.
constexpr std::uint64_t distantPeerOneInWithFailures = 2;

// Sequence number of requests for a single member, whose pages are not matched to a pull.
constexpr std::uint32_t singleMemberSequence = 0;

} // namespace

TableSync::TableSync(const FailureDetectorOptions &options,
                     MembershipChannel &channel,
                     TimerService &timers,
                     const MembershipTable &table,
                     const RumorTable &rumors,
                     JoinListener joined)
    : m_options(options)
    , m_channel(channel)
    , m_timers(timers)
    , m_table(table)
    , m_rumors(rumors)
    , m_joinListener(std::move(joined))
    , m_joinBackoff(options.joinBackoff)
    , m_budgetStart(timers.now())
{
}

void TableSync::start()
{
    scheduleAntiEntropy();
    if (otherSeeds().empty()) {
        finishJoin();
        return;
    }
    m_seedTimer = m_timers.once(seedContactPeriod, [this] { contactSeeds(); });
    scheduleJoin(m_channel.randomDuration(Duration::zero(), m_options.joinJitter));
}

void TableSync::stop()
{
    m_antiEntropyTimer.reset();
    m_joinTimer.reset();
    m_seedTimer.reset();
    m_pull.reset();
}

void TableSync::contactSeeds()
{
    m_seedTimer = m_timers.once(seedContactPeriod, [this] { contactSeeds(); });
    std::set<Endpoint> live;
    for (const auto &listed : *m_table.liveMembers()) {
        live.insert(listed.member->peerAddress);
    }
    const auto seeds = otherSeeds();
    const auto self = m_table.find(m_channel.selfHash());
    std::size_t contacted = 0;
    for (std::size_t n = 0; n < seeds.size() && contacted < maxSeedsPerPeriod && self; ++n) {
        const auto &seed = seeds[m_nextSeed++ % seeds.size()];
        if (live.contains(seed)) {
            continue;
        }
        auto datagram = makeDigest();
        appendUpdate(datagram, toWire(*self));
        m_channel.sendWithoutPiggyback(seed, datagram);
        ++contacted;
    }
}

void TableSync::messageReceived(const Endpoint &sender)
{
    if (m_joined || (m_pull && (m_pull->peerIsReachable || m_pull->peer == sender))) {
        return;
    }
    // The seed that the join has chosen may be unreachable, for example in a partitioned zone; the sender is reachable.
    const auto seeds = otherSeeds();
    if (std::find(seeds.begin(), seeds.end(), sender) == seeds.end()) {
        return;
    }
    startPull(sender, {Range{}}, true);
    m_pull->peerIsReachable = true;
}

void TableSync::requestMember(const Endpoint &peer, MemberHash hash)
{
    auto datagram = m_channel.makeDatagram();
    datagram.mutable_table_request()->set_sequence(singleMemberSequence);
    datagram.mutable_table_request()->set_first(hash);
    datagram.mutable_table_request()->set_last(hash);
    m_channel.sendWithoutPiggyback(peer, datagram);
}

void TableSync::handleTableDigest(const Wire::Datagram &datagram)
{
    if (datagram.table_digest().digest() == m_table.digest()) {
        return;
    }
    auto answer = m_channel.makeDatagram();
    answer.mutable_bucket_digests()->set_reply_wanted(true);
    answer.mutable_bucket_digests()->mutable_buckets()->Add(m_table.bucketDigests().begin(),
                                                            m_table.bucketDigests().end());
    m_channel.sendWithoutPiggyback(endpointFromWire(datagram.sender_address()), answer);
}

void TableSync::handleBucketDigests(const Wire::Datagram &datagram)
{
    const auto peer = endpointFromWire(datagram.sender_address());
    if (datagram.bucket_digests().reply_wanted()) {
        auto answer = m_channel.makeDatagram();
        answer.mutable_bucket_digests()->mutable_buckets()->Add(m_table.bucketDigests().begin(),
                                                                m_table.bucketDigests().end());
        m_channel.sendWithoutPiggyback(peer, answer);
    }
    constexpr int bucketShift = 56;
    std::deque<Range> ranges;
    for (std::size_t i = 0; i < MembershipTable::bucketCount; ++i) {
        if (datagram.bucket_digests().buckets(static_cast<int>(i)) == m_table.bucketDigests().at(i)) {
            continue;
        }
        const MemberHash first = static_cast<MemberHash>(i) << bucketShift;
        const MemberHash last = first | ((MemberHash(1) << bucketShift) - 1);
        if (!ranges.empty() && ranges.back().last + 1 == first) {
            ranges.back().last = last;
        } else {
            ranges.push_back({.first = first, .last = last});
        }
    }
    if (!ranges.empty() && !m_pull) {
        startPull(peer, std::move(ranges), false);
    }
}

void TableSync::handleTableRequest(const Wire::Datagram &datagram)
{
    if (m_servedPages >= m_options.maxPagesPerSecond) {
        return;
    }
    ++m_servedPages;
    const auto &request = datagram.table_request();
    auto answer = m_channel.makeDatagram();
    auto &page = *answer.mutable_table_page();
    page.set_sequence(request.sequence());
    page.set_next(request.last()); // Reserves space in the datagram; replaced or cleared below.
    page.set_complete(true);
    m_table.visitFrom(request.first(), [&](MemberHash hash, const MemberPtr &member) {
        if (hash > request.last()) {
            return false;
        }
        if (!appendUpdate(answer, toWire(*member))) {
            page.set_next(hash);
            page.set_complete(false);
            return false;
        }
        return true;
    });
    if (page.complete()) {
        page.clear_next();
        m_rumors.appendAll(answer);
    }
    m_channel.sendWithoutPiggyback(endpointFromWire(datagram.sender_address()), answer);
}

void TableSync::handleTablePage(const Wire::Datagram &datagram)
{
    const auto &page = datagram.table_page();
    if (!m_pull || page.sequence() != m_pull->sequence) {
        return;
    }
    auto &range = m_pull->ranges.front();
    if (page.complete()) {
        m_pull->ranges.pop_front();
    } else if (page.next() > range.first && page.next() <= range.last) {
        range.first = page.next();
    } else {
        abandonPull();
        return;
    }
    m_pull->attempts = 0;
    if (m_pull->ranges.empty()) {
        finishPull();
        return;
    }
    requestNextPage();
}

void TableSync::sweep()
{
    const auto now = m_timers.now();
    if (now - m_budgetStart >= pageBudgetPeriod) {
        m_budgetStart = now;
        m_servedPages = 0;
    }
    if (!m_pull || now < m_pull->deadline) {
        return;
    }
    if (m_pull->attempts >= maxPageAttempts) {
        abandonPull();
        return;
    }
    requestNextPage();
}

void TableSync::scheduleAntiEntropy()
{
    const auto period = m_options.antiEntropyPeriod;
    m_antiEntropyTimer = m_timers.once(m_channel.randomDuration(period / 2, period + period / 2), [this] {
        scheduleAntiEntropy();
        compareWithPeer();
    });
}

void TableSync::compareWithPeer()
{
    const auto peer = choosePeer();
    if (!peer) {
        return;
    }
    m_channel.send(*peer, 0, makeDigest());
}

Wire::Datagram TableSync::makeDigest() const
{
    auto datagram = m_channel.makeDatagram();
    datagram.mutable_table_digest()->set_digest(m_table.digest());
    return datagram;
}

std::optional<Endpoint> TableSync::choosePeer()
{
    const auto oneIn = failedMembers().empty() ? distantPeerOneIn : distantPeerOneInWithFailures;
    if (m_channel.randomBelow(oneIn) == 0) {
        if (auto distant = chooseDistantPeer()) {
            return distant;
        }
    }
    const auto chosen = m_channel.chooseMembers(1, [](const Member &) { return true; });
    if (!chosen.empty()) {
        return chosen.front().member->peerAddress;
    }
    return chooseDistantPeer();
}

std::optional<Endpoint> TableSync::chooseDistantPeer()
{
    std::vector<Endpoint> candidates;
    if (const auto failed = failedMembers(); !failed.empty()) {
        candidates.push_back(failed[m_channel.randomBelow(failed.size())].member->peerAddress);
    }
    if (const auto seeds = otherSeeds(); !seeds.empty()) {
        candidates.push_back(seeds[m_channel.randomBelow(seeds.size())]);
    }
    const auto inOtherZone =
        m_channel.chooseMembers(1, [this](const Member &member) { return member.zone != m_options.zone; });
    if (!inOtherZone.empty()) {
        candidates.push_back(inOtherZone.front().member->peerAddress);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_channel.randomBelow(candidates.size())];
}

MemberList TableSync::failedMembers() const
{
    auto all = m_table.allMembers();
    std::erase_if(all, [](const ListedMember &listed) { return listed.member->state != MemberState::Failed; });
    return all;
}

std::vector<Endpoint> TableSync::otherSeeds() const
{
    auto seeds = m_options.seeds;
    std::erase(seeds, m_options.advertisedAddress);
    return seeds;
}

void TableSync::scheduleJoin(Duration delay)
{
    m_joinTimer = m_timers.once(delay, [this] { tryJoin(); });
}

void TableSync::tryJoin()
{
    if (m_joined) {
        return;
    }
    const auto seeds = otherSeeds();
    startPull(seeds[m_channel.randomBelow(seeds.size())], {Range{}}, true);
}

void TableSync::finishJoin()
{
    if (m_joined) {
        return;
    }
    m_joined = true;
    m_joinTimer.reset();
    m_joinListener();
}

void TableSync::startPull(const Endpoint &peer, std::deque<Range> ranges, bool join)
{
    m_joinTimer.reset();
    m_pull = Pull{.peer = peer, .ranges = std::move(ranges), .join = join};
    requestNextPage();
}

void TableSync::requestNextPage()
{
    if (++m_sequence == singleMemberSequence) {
        ++m_sequence;
    }
    m_pull->sequence = m_sequence;
    m_pull->deadline = m_timers.now() + pageTimeout;
    ++m_pull->attempts;
    auto datagram = m_channel.makeDatagram();
    auto &request = *datagram.mutable_table_request();
    request.set_sequence(m_sequence);
    request.set_first(m_pull->ranges.front().first);
    request.set_last(m_pull->ranges.front().last);
    const auto self = m_table.find(m_channel.selfHash());
    if (m_pull->join && self) {
        appendUpdate(datagram, toWire(*self));
    }
    m_channel.sendWithoutPiggyback(m_pull->peer, datagram);
}

void TableSync::finishPull()
{
    const bool join = m_pull->join;
    m_pull.reset();
    if (join) {
        finishJoin();
    }
}

void TableSync::abandonPull()
{
    const bool join = m_pull->join;
    m_pull.reset();
    if (join) {
        scheduleJoin(m_joinBackoff.next());
    }
}

} // namespace Hornbeam
