#pragma once

#include <hornbeam/config/snapshot.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

enum class ResourceKind {
    Service,
    Route,
    LeavingTarget,
    ClientAccount,
};

/** Returns "service", "route", "leavingTarget" or "account". */
const char *resourceKindName(ResourceKind kind);

/** Whether @p text is a valid name of a service or a route: 1..128 characters of [a-z0-9-]. */
bool isResourceName(std::string_view text);

/** Whether @p text is a valid label name: 1..64 characters of [A-Za-z0-9._-]. */
bool isLabelName(std::string_view text);

/** Whether @p text is a valid label value: 0..128 printable ASCII characters without spaces. */
bool isLabelValue(std::string_view text);

/** Whether @p text is a valid name of a client account: 1..128 printable ASCII characters without spaces. */
bool isAccountName(std::string_view text);

/** A reason why a resource, or the content as a whole, is invalid. */
struct ResourceProblem
{
    ResourceKind kind = ResourceKind::Service;
    std::string name; ///< Name of the service, route or client account, or address of the target.
    std::string field; ///< JSON name of the field, for example "timeoutMs" or "methods[1]".
    std::string text; ///< Human-readable description.

    /** For example: route "swap": timeoutMs: must be 10..3600000. */
    std::string toString() const;

    friend bool operator==(const ResourceProblem &, const ResourceProblem &) = default;
};

/** Checks the rules that every configuration version must satisfy. */
class SnapshotValidator
{
public:
    /** Maximum size of the uncompressed encoding of a configuration; Snapshot::make() checks it. */
    static constexpr std::size_t maxEncodedBytes = 8U << 20;

    static std::vector<ResourceProblem> check(const Service &service);

    /** Checks a route on its own; whether its services exist is checked with the whole content. */
    static std::vector<ResourceProblem> check(const Route &route);

    static std::vector<ResourceProblem> check(const LeavingTarget &target);

    /** Checks an account on its own; whether another one holds its keys is checked with the whole content. */
    static std::vector<ResourceProblem> check(const ClientAccount &account);

    /** Checks sorted content as a whole: each resource, duplicates, ambiguous routes, missing services and
     * keys that two accounts hold. */
    static std::vector<ResourceProblem> check(const SnapshotContent &content);

    /** Sorts resources, methods, labels, splits and key digests in the order that check() and the encoding require. */
    static void sort(SnapshotContent &content);
};

} // namespace Hornbeam
