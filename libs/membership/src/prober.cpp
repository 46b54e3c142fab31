#include "prober.h"

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t maxRequestedProbes = 256;

bool acceptAny(const Member &)
{
    return true;
}

} // namespace

Prober::Prober(const FailureDetectorOptions &options,
               MembershipChannel &channel,
               TimerService &timers,
               const MembershipTable &table,
               UnresponsiveListener unresponsive)
    : m_options(options)
    , m_channel(channel)
    , m_timers(timers)
    , m_table(table)
    , m_unresponsive(std::move(unresponsive))
    , m_sequence(static_cast<std::uint32_t>(channel.randomBelow(1ULL << 32)))
{
}

void Prober::start()
{
    // The random start keeps nodes that are started together from probing at the same time.
    m_periodTimer = m_timers.once(m_channel.randomDuration(Duration::zero(), m_options.probePeriod), [this] {
        m_periodTimer = m_timers.every(m_options.probePeriod, [this] { nextPeriod(); });
        nextPeriod();
    });
}

void Prober::stop()
{
    m_periodTimer.reset();
    abandonProbe();
}

void Prober::abandonProbe()
{
    m_timeoutTimer.reset();
    m_probe.reset();
}

void Prober::messageReceived(MemberHash sender)
{
    if (m_probe && m_probe->member == sender) {
        abandonProbe();
    }
}

void Prober::handlePing(const Wire::Datagram &datagram)
{
    if (datagram.ping().target_hash() != m_channel.selfHash()) {
        return;
    }
    auto answer = m_channel.makeDatagram();
    answer.mutable_ack()->set_sequence(datagram.ping().sequence());
    m_channel.send(endpointFromWire(datagram.sender_address()), memberHash(datagram.sender_id()), std::move(answer));
}

void Prober::handlePingRequest(const Wire::Datagram &datagram)
{
    if (m_requestedProbes.size() >= maxRequestedProbes) {
        return;
    }
    const auto &request = datagram.ping_request();
    const auto sequence = ++m_sequence;
    m_requestedProbes[sequence] = {.requester = endpointFromWire(datagram.sender_address()),
                                   .requesterHash = memberHash(datagram.sender_id()),
                                   .requesterSequence = request.sequence(),
                                   .expiry = m_timers.now() + m_options.probePeriod};
    sendPing(endpointFromWire(request.target_address()), request.target_hash(), sequence);
}

void Prober::handleAck(const Wire::Datagram &datagram)
{
    const auto sequence = datagram.ack().sequence();
    if (m_probe && m_probe->sequence == sequence) {
        abandonProbe();
    }
    const auto requested = m_requestedProbes.find(sequence);
    if (requested == m_requestedProbes.end()) {
        return;
    }
    auto answer = m_channel.makeDatagram();
    answer.mutable_ack()->set_sequence(requested->second.requesterSequence);
    m_channel.send(requested->second.requester, requested->second.requesterHash, std::move(answer));
    m_requestedProbes.erase(requested);
}

void Prober::sweep()
{
    const auto now = m_timers.now();
    std::erase_if(m_requestedProbes, [now](const auto &entry) { return entry.second.expiry <= now; });
}

void Prober::nextPeriod()
{
    // Timer callbacks that were delayed run immediately after each other; the probed member then had no time to answer.
    if (m_probe && m_timers.now() - m_probe->sent <= m_options.probeTimeout) {
        return;
    }
    if (m_probe) {
        const auto unresponsive = m_probe->member;
        abandonProbe();
        m_unresponsive(unresponsive);
    }
    const auto member = nextMember();
    if (!member) {
        return;
    }
    m_probe = Probe{.member = memberHash(member->id), .sequence = ++m_sequence, .sent = m_timers.now()};
    m_timeoutTimer = m_timers.once(m_options.probeTimeout, [this] { probeIndirectly(); });
    sendPing(member->peerAddress, m_probe->member, m_probe->sequence);
}

void Prober::probeIndirectly()
{
    const auto member = m_probe ? m_table.find(m_probe->member) : nullptr;
    if (!member) {
        return;
    }
    const auto intermediaries = m_channel.chooseMembers(m_options.indirectProbes, acceptAny);
    for (const auto &intermediary : intermediaries) {
        if (intermediary.hash == m_probe->member) {
            continue;
        }
        auto datagram = m_channel.makeDatagram();
        datagram.mutable_ping_request()->set_sequence(m_probe->sequence);
        datagram.mutable_ping_request()->set_target_address(member->peerAddress.toString());
        datagram.mutable_ping_request()->set_target_hash(m_probe->member);
        m_channel.send(intermediary.member->peerAddress, intermediary.hash, std::move(datagram));
    }
}

MemberPtr Prober::nextMember()
{
    // Each round probes every member once, in random order, which bounds the time until a failure is detected.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const auto member = m_table.find(m_probeOrder.back());
            m_probeOrder.pop_back();
            if (member && (member->state == MemberState::Alive || member->state == MemberState::Suspect)) {
                return member;
            }
        }
        const auto all = m_channel.chooseMembers(m_table.liveMembers()->size(), acceptAny);
        for (const auto &listed : all) {
            m_probeOrder.push_back(listed.hash);
        }
    }
    return nullptr;
}

void Prober::sendPing(const Endpoint &address, MemberHash member, std::uint32_t sequence)
{
    auto datagram = m_channel.makeDatagram();
    datagram.mutable_ping()->set_sequence(sequence);
    datagram.mutable_ping()->set_target_hash(member);
    m_channel.send(address, member, std::move(datagram));
}

} // namespace Hornbeam
