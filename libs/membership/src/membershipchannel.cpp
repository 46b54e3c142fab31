#include "membershipchannel.h"

#include <hornbeam/membership/datagramtransport.h>

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

// Random draws per requested member before the search ends; it may miss members when few satisfy the predicate.
constexpr std::size_t drawsPerMember = 16;

} // namespace

MembershipChannel::MembershipChannel(const FailureDetectorOptions &options,
                                     DatagramTransport &transport,
                                     const MembershipTable &table,
                                     UpdateQueue &updates,
                                     RumorTable &rumors)
    : m_transport(transport)
    , m_table(table)
    , m_updates(updates)
    , m_rumors(rumors)
    , m_selfHash(memberHash(options.id))
    , m_random(options.randomSeed != 0 ? options.randomSeed : std::random_device()())
{
    m_header.set_sender_id(options.id);
    m_header.set_sender_address(options.advertisedAddress.toString());
}

void MembershipChannel::setIncarnation(std::uint64_t incarnation)
{
    m_header.set_incarnation(incarnation);
}

void MembershipChannel::setConfig(std::uint64_t version, std::uint64_t digestPrefix)
{
    m_header.set_config_version(version);
    m_header.set_config_digest(digestPrefix);
}

Wire::Datagram MembershipChannel::makeDatagram() const
{
    return m_header;
}

void MembershipChannel::sendWithoutPiggyback(const Endpoint &peer, const Wire::Datagram &datagram)
{
    m_transport.send(peer, datagram.SerializeAsString());
}

void MembershipChannel::send(const Endpoint &peer, MemberHash peerHash, Wire::Datagram datagram)
{
    const auto member = m_table.find(peerHash);
    if (member && member->state != MemberState::Alive) {
        appendUpdate(datagram, toWire(*member));
    }
    m_rumors.piggyback(datagram);
    m_updates.piggyback(datagram);
    sendWithoutPiggyback(peer, datagram);
}

void MembershipChannel::sendRecordedState(const Member &member)
{
    auto datagram = makeDatagram();
    datagram.mutable_gossip();
    appendUpdate(datagram, toWire(member));
    sendWithoutPiggyback(member.peerAddress, datagram);
}

MemberList MembershipChannel::chooseMembers(std::size_t count, const Predicate &accept)
{
    const auto live = m_table.liveMembers();
    MemberList chosen;
    if (live->empty()) {
        return chosen;
    }
    // A short list is shuffled, which finds every member that satisfies the predicate. Random draws avoid the copy of a
    // long list.
    MemberList shuffled;
    if (live->size() <= count * drawsPerMember) {
        shuffled = *live;
        std::shuffle(shuffled.begin(), shuffled.end(), m_random);
    }
    const auto draws = shuffled.empty() ? count * drawsPerMember : shuffled.size();
    for (std::size_t i = 0; i < draws && chosen.size() < count; ++i) {
        const auto &candidate = shuffled.empty() ? (*live)[randomBelow(live->size())] : shuffled[i];
        const bool alreadyChosen = std::any_of(chosen.begin(), chosen.end(), [&candidate](const ListedMember &member) {
            return member.hash == candidate.hash;
        });
        if (candidate.hash != m_selfHash && !alreadyChosen && accept(*candidate.member)) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

std::uint64_t MembershipChannel::randomBelow(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
}

Duration MembershipChannel::randomDuration(Duration shortest, Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(shortest.count(), longest.count())(m_random));
}

} // namespace Hornbeam
