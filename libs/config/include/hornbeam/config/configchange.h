#pragma once

#include <hornbeam/config/snapshot.h>
#include <hornbeam/config/snapshotvalidator.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Hornbeam {

using Resource = std::variant<Service, Route, LeavingTarget, ClientAccount>;

/** One resource that differs between two configurations. */
struct ConfigChange
{
    enum class Kind {
        Added,
        Changed,
        Removed,
    };

    Kind kind = Kind::Added;
    ResourceKind resource = ResourceKind::Service;
    std::string name; ///< Name of the service, route or client account, or address of the target.
    std::optional<Resource> before; ///< Absent when added.
    std::optional<Resource> after; ///< Absent when removed.

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/**
 * Returns the differences between two sorted contents: services, routes, leaving targets and client accounts, each in
 * key order. Traffic limits are not compared.
 */
std::vector<ConfigChange> changesBetween(const SnapshotContent &base, const SnapshotContent &target);

} // namespace Hornbeam
