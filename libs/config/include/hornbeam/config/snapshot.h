#pragma once

#include <hornbeam/base/digest.h>
#include <hornbeam/base/error.h>
#include <hornbeam/config/clientaccount.h>
#include <hornbeam/config/leavingtarget.h>
#include <hornbeam/config/route.h>
#include <hornbeam/config/service.h>
#include <hornbeam/config/trafficlimits.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace Hornbeam {

class Snapshot;
using SnapshotPtr = std::shared_ptr<const Snapshot>;
using ConfigVersion = std::uint64_t;

/** The resources of a configuration; the input of Snapshot::make(). */
struct SnapshotContent
{
    std::vector<Service> services = {};
    std::vector<Route> routes = {};
    std::vector<LeavingTarget> leavingTargets = {};
    TrafficLimits limits = {};
    std::vector<ClientAccount> accounts = {}; ///< If there are none, requests need no account.

    friend bool operator==(const SnapshotContent &, const SnapshotContent &) = default;
};

/** One complete, validated configuration version. Immutable, so it can be read from any thread. */
class Snapshot
{
public:
    /**
     * Sorts and validates @p content (names, ranges, every route's service present, no duplicates).
     * Returns InvalidArgument with the first problem; there are no partly valid snapshots.
     */
    static Result<SnapshotPtr> make(ConfigVersion version, SnapshotContent content);

    /** Version 0 without resources; a node has it until it receives a configuration. */
    static SnapshotPtr empty();

    /** Decodes the output of encode() and validates it like make(). */
    static Result<SnapshotPtr> decode(std::string_view bytes);

    /** Serialises version and content. */
    std::string encode() const;

    ConfigVersion version() const
    {
        return m_version;
    }

    /** Digest of the sorted content without the version; versions with equal content have equal digests. */
    const Digest &contentDigest() const
    {
        return m_contentDigest;
    }

    /** Services sorted by name. */
    const std::vector<Service> &services() const
    {
        return m_content.services;
    }

    /** Routes sorted by name. */
    const std::vector<Route> &routes() const
    {
        return m_content.routes;
    }

    /** Leaving targets sorted by address. */
    const std::vector<LeavingTarget> &leavingTargets() const
    {
        return m_content.leavingTargets;
    }

    const TrafficLimits &limits() const
    {
        return m_content.limits;
    }

    /** Client accounts sorted by name. */
    const std::vector<ClientAccount> &accounts() const
    {
        return m_content.accounts;
    }

    const SnapshotContent &content() const
    {
        return m_content;
    }

    /** Returns the service of that name, or null. */
    const Service *findService(std::string_view name) const;

    /** Returns the account that holds the key with this digest, or null. */
    const ClientAccount *findAccount(const Digest &key) const;

    /** Returns the account of that name, or null. */
    const ClientAccount *findAccountByName(std::string_view name) const;

    /**
     * Returns the most specific route for a request, or null. @p host has no port and is compared without regard to
     * case; @p path has no query. The longest prefix takes precedence; among equal prefixes, a route that requires a
     * host is preferred, then one that requires methods.
     */
    const Route *matchRoute(std::string_view host, std::string_view method, std::string_view path) const;

    bool isLeaving(const Endpoint &target) const;

private:
    Snapshot(ConfigVersion version, SnapshotContent content);

    ConfigVersion m_version;
    SnapshotContent m_content;
    Digest m_contentDigest;
    std::vector<std::uint32_t> m_routesBySpecificity; ///< Indexes into the routes, longest prefix first.
    std::vector<std::pair<Digest, std::uint32_t>> m_accountsByKey; ///< Indexes into the accounts, sorted by digest.
};

} // namespace Hornbeam
