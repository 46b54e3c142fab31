#include <hornbeam/config/delta.h>

#include <hornbeam/config/snapshotvalidator.h>

#include "compression.h"
#include "contentdiff.h"
#include "wire.h"

#include <config.pb.h>

#include <algorithm>

namespace Hornbeam {

namespace {

// A delta that replaces everything holds the new content and the removed keys, which are smaller than the old content.
constexpr std::size_t maxDeltaBytes = 2 * SnapshotValidator::maxEncodedBytes + 256;

/** Returns the sorted @p resources with the sorted @p upserts added, replacing resources of the same key. */
template <typename T>
std::vector<T> withUpserts(const std::vector<T> &resources, const std::vector<T> &upserts)
{
    std::vector<T> merged;
    merged.reserve(resources.size() + upserts.size());
    // When both ranges have a key, set_union takes the element of the first one.
    std::set_union(upserts.begin(),
                   upserts.end(),
                   resources.begin(),
                   resources.end(),
                   std::back_inserter(merged),
                   [](const T &a, const T &b) { return keyLess(a, b); });
    return merged;
}

/** Removes the resources with the sorted @p keys. Returns false when one of them is absent. */
template <typename T, typename Key>
bool removeKeys(std::vector<T> &resources, const std::vector<Key> &keys)
{
    const auto before = resources.size();
    std::erase_if(resources,
                  [&](const T &resource) { return std::binary_search(keys.begin(), keys.end(), keyOf(resource)); });
    return before - resources.size() == keys.size();
}

bool hasDuplicates(const SnapshotContent &content)
{
    const auto repeated = [](const auto &resources) {
        const auto sameKey = [](const auto &a, const auto &b) {
            return keyOf(a) == keyOf(b);
        };
        return std::adjacent_find(resources.begin(), resources.end(), sameKey) != resources.end();
    };
    return repeated(content.services) || repeated(content.routes) || repeated(content.leavingTargets)
        || repeated(content.accounts);
}

std::vector<std::string> sortedStrings(const google::protobuf::RepeatedPtrField<std::string> &strings)
{
    std::vector<std::string> sorted(strings.begin(), strings.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

tl::unexpected<Error> malformed(const char *text)
{
    return makeError(ErrorCode::InvalidArgument, text);
}

} // namespace

Delta Delta::between(const Snapshot &base, const Snapshot &target)
{
    Delta delta;
    delta.m_baseVersion = base.version();
    delta.m_targetVersion = target.version();
    delta.m_baseDigest = base.contentDigest();
    delta.m_targetDigest = target.contentDigest();
    compareSorted(base.services(), target.services(), [&](const Service *before, const Service *after) {
        if (after != nullptr) {
            delta.m_upserts.services.push_back(*after);
        } else {
            delta.m_removedServices.push_back(before->name);
        }
    });
    compareSorted(base.routes(), target.routes(), [&](const Route *before, const Route *after) {
        if (after != nullptr) {
            delta.m_upserts.routes.push_back(*after);
        } else {
            delta.m_removedRoutes.push_back(before->name);
        }
    });
    compareSorted(
        base.leavingTargets(), target.leavingTargets(), [&](const LeavingTarget *before, const LeavingTarget *after) {
            if (after != nullptr) {
                delta.m_upserts.leavingTargets.push_back(*after);
            } else {
                delta.m_removedLeavingTargets.push_back(*before);
            }
        });
    compareSorted(base.accounts(), target.accounts(), [&](const ClientAccount *before, const ClientAccount *after) {
        if (after != nullptr) {
            delta.m_upserts.accounts.push_back(*after);
        } else {
            delta.m_removedAccounts.push_back(before->name);
        }
    });
    delta.m_upserts.limits = target.limits();
    return delta;
}

Result<Delta> Delta::decode(std::string_view bytes)
{
    const auto unpacked = unpackBytes(bytes, maxDeltaBytes);
    if (!unpacked) {
        return tl::unexpected(unpacked.error());
    }
    Wire::Delta message;
    if (!parseWire(message, *unpacked)) {
        return malformed("the encoded delta is malformed");
    }
    const auto digestSize = Digest().bytes().size();
    if (message.base_digest().size() != digestSize || message.target_digest().size() != digestSize) {
        return malformed("a digest in the encoded delta is malformed");
    }
    if (message.target_version() <= message.base_version()) {
        return malformed("the target version of the delta is not higher than its base version");
    }
    Delta delta;
    delta.m_baseVersion = message.base_version();
    delta.m_targetVersion = message.target_version();
    delta.m_baseDigest = Digest::fromBytes(message.base_digest());
    delta.m_targetDigest = Digest::fromBytes(message.target_digest());
    const auto appended = appendFromWire(message.upserts(), delta.m_upserts);
    if (!appended) {
        return tl::unexpected(appended.error());
    }
    SnapshotValidator::sort(delta.m_upserts);
    if (hasDuplicates(delta.m_upserts)) {
        return malformed("the delta contains a resource twice");
    }
    delta.m_removedServices = sortedStrings(message.removed_services());
    delta.m_removedRoutes = sortedStrings(message.removed_routes());
    delta.m_removedAccounts = sortedStrings(message.removed_accounts());
    for (const auto &text : message.removed_leaving_targets()) {
        auto address = Endpoint::parse(text);
        if (!address) {
            return tl::unexpected(address.error());
        }
        delta.m_removedLeavingTargets.push_back(LeavingTarget{.address = *std::move(address)});
    }
    std::sort(delta.m_removedLeavingTargets.begin(), delta.m_removedLeavingTargets.end());
    return delta;
}

std::string Delta::encode() const
{
    Wire::Delta message;
    message.set_base_version(m_baseVersion);
    message.set_target_version(m_targetVersion);
    message.set_base_digest(m_baseDigest.bytes());
    message.set_target_digest(m_targetDigest.bytes());
    toWire(m_upserts, *message.mutable_upserts());
    message.mutable_removed_services()->Assign(m_removedServices.begin(), m_removedServices.end());
    message.mutable_removed_routes()->Assign(m_removedRoutes.begin(), m_removedRoutes.end());
    message.mutable_removed_accounts()->Assign(m_removedAccounts.begin(), m_removedAccounts.end());
    for (const auto &target : m_removedLeavingTargets) {
        message.add_removed_leaving_targets(target.address.toString());
    }
    return packBytes(message.SerializeAsString());
}

Result<SnapshotPtr> Delta::applyTo(const Snapshot &base) const
{
    if (base.version() != m_baseVersion || base.contentDigest() != m_baseDigest) {
        return makeError(ErrorCode::Conflict,
                         "the base of the delta, version " + std::to_string(m_baseVersion)
                             + ", differs from the given snapshot, version " + std::to_string(base.version())
                             + ", in version or content");
    }
    SnapshotContent content = base.content();
    std::vector<Endpoint> removedAddresses;
    removedAddresses.reserve(m_removedLeavingTargets.size());
    for (const auto &target : m_removedLeavingTargets) {
        removedAddresses.push_back(target.address);
    }
    const bool removed = removeKeys(content.services, m_removedServices) && removeKeys(content.routes, m_removedRoutes)
        && removeKeys(content.leavingTargets, removedAddresses) && removeKeys(content.accounts, m_removedAccounts);
    if (!removed) {
        return malformed("the delta removes a resource that its base does not have");
    }
    content.services = withUpserts(content.services, m_upserts.services);
    content.routes = withUpserts(content.routes, m_upserts.routes);
    content.leavingTargets = withUpserts(content.leavingTargets, m_upserts.leavingTargets);
    content.accounts = withUpserts(content.accounts, m_upserts.accounts);
    content.limits = m_upserts.limits;
    auto target = Snapshot::make(m_targetVersion, std::move(content));
    if (target && (*target)->contentDigest() != m_targetDigest) {
        return malformed("the result of the delta does not match its target digest");
    }
    return target;
}

std::size_t Delta::changeCount() const
{
    return m_upserts.services.size() + m_upserts.routes.size() + m_upserts.leavingTargets.size()
        + m_upserts.accounts.size() + m_removedServices.size() + m_removedRoutes.size() + m_removedLeavingTargets.size()
        + m_removedAccounts.size();
}

} // namespace Hornbeam
