#pragma once

#include <hornbeam/config/snapshot.h>

#include <vector>

namespace Hornbeam {

inline const std::string &keyOf(const Service &service)
{
    return service.name;
}

inline const std::string &keyOf(const Route &route)
{
    return route.name;
}

inline const std::string &keyOf(const ClientAccount &account)
{
    return account.name;
}

inline const Endpoint &keyOf(const LeavingTarget &target)
{
    return target.address;
}

template <typename T>
bool keyLess(const T &a, const T &b)
{
    return keyOf(a) < keyOf(b);
}

/** Calls @p report with pointers to the old and the new form of each resource that differs; null means absent. */
template <typename T, typename Report>
void compareSorted(const std::vector<T> &base, const std::vector<T> &target, Report report)
{
    const T *const none = nullptr;
    auto old = base.begin();
    for (const auto &resource : target) {
        for (; old != base.end() && keyLess(*old, resource); ++old) {
            report(&*old, none);
        }
        if (old == base.end() || keyOf(*old) != keyOf(resource)) {
            report(none, &resource);
            continue;
        }
        if (*old != resource) {
            report(&*old, &resource);
        }
        ++old;
    }
    for (; old != base.end(); ++old) {
        report(&*old, none);
    }
}

} // namespace Hornbeam
