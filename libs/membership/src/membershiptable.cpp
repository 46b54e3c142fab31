#include <hornbeam/membership/membershiptable.h>

#include <hornbeam/base/digest.h>

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

bool isLive(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

bool isNewer(const Member &update, const Member &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

// One step of SplitMix64. It diffuses each input bit over the whole word, so that the XOR of all entries is a usable
// digest.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

MemberHash memberHash(std::string_view id)
{
    return Digest::of(id).prefix();
}

MembershipTable::MembershipTable() = default;

bool MembershipTable::merge(const Member &update)
{
    const auto hash = memberHash(update.id);
    const auto known = find(hash);
    if (!known) {
        if (!isLive(update)) {
            return false;
        }
        replace(hash, std::make_shared<const Member>(update));
        return true;
    }
    if (known->id != update.id) {
        return false;
    }
    if (!isNewer(update, *known)) {
        recordConfigVersion(hash, update.configVersion);
        return false;
    }
    Member merged = isLive(update) ? update : *known;
    merged.state = update.state;
    merged.incarnation = update.incarnation;
    merged.configVersion = std::max(known->configVersion, update.configVersion);
    replace(hash, std::make_shared<const Member>(std::move(merged)));
    return true;
}

void MembershipTable::recordConfigVersion(MemberHash hash, std::uint64_t version)
{
    const auto known = find(hash);
    if (!known || known->configVersion >= version) {
        return;
    }
    Member changed = *known;
    changed.configVersion = version;
    replace(hash, std::make_shared<const Member>(std::move(changed)));
}

void MembershipTable::remove(MemberHash hash)
{
    replace(hash, nullptr);
}

MemberPtr MembershipTable::find(MemberHash hash) const
{
    const auto it = m_members.find(hash);
    return it == m_members.end() ? nullptr : it->second;
}

MemberListPtr MembershipTable::liveMembers() const
{
    if (!m_liveMembers) {
        auto list = std::make_shared<MemberList>();
        list->reserve(m_members.size());
        for (const auto &[hash, member] : m_members) {
            if (isLive(*member)) {
                list->push_back({.hash = hash, .member = member});
            }
        }
        m_liveMembers = std::move(list);
    }
    return m_liveMembers;
}

MemberList MembershipTable::allMembers() const
{
    MemberList list;
    for (const auto &[hash, member] : m_members) {
        list.push_back({.hash = hash, .member = member});
    }
    return list;
}

void MembershipTable::visitFrom(MemberHash first, const std::function<bool(MemberHash, const MemberPtr &)> &visit) const
{
    for (auto it = m_members.lower_bound(first); it != m_members.end(); ++it) {
        if (!visit(it->first, it->second)) {
            return;
        }
    }
}

void MembershipTable::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void MembershipTable::replace(MemberHash hash, const MemberPtr &member)
{
    const auto before = find(hash);
    if (before) {
        toggleDigest(hash, before);
        m_members.erase(hash);
    }
    if (member) {
        m_members.emplace(hash, member);
        toggleDigest(hash, member);
    }
    m_liveMembers.reset();
    if (before || member) {
        for (const auto &listener : m_listeners) {
            listener(before, member);
        }
    }
}

void MembershipTable::toggleDigest(MemberHash hash, const MemberPtr &member)
{
    if (!isLive(*member)) {
        return;
    }
    const auto entry = mix(hash ^ mix(member->incarnation));
    m_digest ^= entry;
    m_buckets[hash >> 56] ^= static_cast<std::uint32_t>(entry);
}

} // namespace Hornbeam
