#include "prober.h"

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t maxRelays = 256;

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
    // A random phase keeps nodes that start together from probing at the same moment.
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
    if (m_probe && m_probe->target == sender) {
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
    if (m_relays.size() >= maxRelays) {
        return;
    }
    const auto &request = datagram.ping_request();
    const auto sequence = ++m_sequence;
    m_relays[sequence] = {.requester = endpointFromWire(datagram.sender_address()),
                          .requesterHash = memberHash(datagram.sender_id()),
                          .sequence = request.sequence(),
                          .expiry = m_timers.now() + m_options.probePeriod};
    sendPing(endpointFromWire(request.target_address()), request.target_hash(), sequence);
}

void Prober::handleAck(const Wire::Datagram &datagram)
{
    const auto sequence = datagram.ack().sequence();
    if (m_probe && m_probe->sequence == sequence) {
        abandonProbe();
    }
    const auto relay = m_relays.find(sequence);
    if (relay == m_relays.end()) {
        return;
    }
    auto answer = m_channel.makeDatagram();
    answer.mutable_ack()->set_sequence(relay->second.sequence);
    m_channel.send(relay->second.requester, relay->second.requesterHash, std::move(answer));
    m_relays.erase(relay);
}

void Prober::sweep()
{
    const auto now = m_timers.now();
    std::erase_if(m_relays, [now](const auto &entry) { return entry.second.expiry <= now; });
}

void Prober::nextPeriod()
{
    // Ticks that were late follow each other at once; the target then had no time to answer.
    if (m_probe && m_timers.now() - m_probe->sent <= m_options.probeTimeout) {
        return;
    }
    if (m_probe) {
        const auto silent = m_probe->target;
        abandonProbe();
        m_unresponsive(silent);
    }
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    m_probe = Probe{.target = memberHash(target->id), .sequence = ++m_sequence, .sent = m_timers.now()};
    m_timeoutTimer = m_timers.once(m_options.probeTimeout, [this] { probeIndirectly(); });
    sendPing(target->peerAddress, m_probe->target, m_probe->sequence);
}

void Prober::probeIndirectly()
{
    const auto target = m_probe ? m_table.find(m_probe->target) : nullptr;
    if (!target) {
        return;
    }
    const auto helpers = m_channel.chooseMembers(m_options.indirectProbes, acceptAny);
    for (const auto &helper : helpers) {
        if (helper.hash == m_probe->target) {
            continue;
        }
        auto datagram = m_channel.makeDatagram();
        datagram.mutable_ping_request()->set_sequence(m_probe->sequence);
        datagram.mutable_ping_request()->set_target_address(target->peerAddress.toString());
        datagram.mutable_ping_request()->set_target_hash(m_probe->target);
        m_channel.send(helper.member->peerAddress, helper.hash, std::move(datagram));
    }
}

MemberPtr Prober::nextTarget()
{
    // Each member is probed once per round in random order, which bounds the time until a failure is noticed.
    for (int round = 0; round < 2; ++round) {
        while (!m_order.empty()) {
            const auto member = m_table.find(m_order.back());
            m_order.pop_back();
            if (member && (member->state == MemberState::Alive || member->state == MemberState::Suspect)) {
                return member;
            }
        }
        const auto all = m_channel.chooseMembers(m_table.liveMembers()->size(), acceptAny);
        for (const auto &listed : all) {
            m_order.push_back(listed.hash);
        }
    }
    return nullptr;
}

void Prober::sendPing(const Endpoint &address, MemberHash target, std::uint32_t sequence)
{
    auto datagram = m_channel.makeDatagram();
    datagram.mutable_ping()->set_sequence(sequence);
    datagram.mutable_ping()->set_target_hash(target);
    m_channel.send(address, target, std::move(datagram));
}

} // namespace Hornbeam
