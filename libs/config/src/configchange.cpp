#include <hornbeam/config/configchange.h>

#include "contentdiff.h"

namespace Hornbeam {

namespace {

std::string nameOf(const Service &service)
{
    return service.name;
}

std::string nameOf(const Route &route)
{
    return route.name;
}

std::string nameOf(const ClientAccount &account)
{
    return account.name;
}

std::string nameOf(const LeavingTarget &target)
{
    return target.address.toString();
}

template <typename T>
void appendChanges(ResourceKind resource,
                   const std::vector<T> &base,
                   const std::vector<T> &target,
                   std::vector<ConfigChange> &changes)
{
    compareSorted(base, target, [&](const T *before, const T *after) {
        ConfigChange change{.kind = ConfigChange::Kind::Changed,
                            .resource = resource,
                            .name = nameOf(before != nullptr ? *before : *after),
                            .before = std::nullopt,
                            .after = std::nullopt};
        if (before != nullptr) {
            change.before = *before;
        } else {
            change.kind = ConfigChange::Kind::Added;
        }
        if (after != nullptr) {
            change.after = *after;
        } else {
            change.kind = ConfigChange::Kind::Removed;
        }
        changes.push_back(std::move(change));
    });
}

} // namespace

std::vector<ConfigChange> changesBetween(const SnapshotContent &base, const SnapshotContent &target)
{
    std::vector<ConfigChange> changes;
    appendChanges(ResourceKind::Service, base.services, target.services, changes);
    appendChanges(ResourceKind::Route, base.routes, target.routes, changes);
    appendChanges(ResourceKind::LeavingTarget, base.leavingTargets, target.leavingTargets, changes);
    appendChanges(ResourceKind::ClientAccount, base.accounts, target.accounts, changes);
    return changes;
}

} // namespace Hornbeam
