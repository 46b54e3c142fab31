#include <hornbeam/config/snapshot.h>

#include <hornbeam/config/snapshotvalidator.h>

#include "compression.h"
#include "wire.h"

#include <config.pb.h>

#include <algorithm>
#include <cassert>

namespace Hornbeam {

namespace {

// Upper limit of the bytes that an encoded Wire::Snapshot has in addition to the content: version and field headers.
constexpr std::size_t maxEnvelopeBytes = 64;

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/** Compares @p host with @p lowerCaseHost, ignoring the case of @p host. */
bool hostEquals(std::string_view host, std::string_view lowerCaseHost)
{
    return std::equal(host.begin(), host.end(), lowerCaseHost.begin(), lowerCaseHost.end(), [](char a, char b) {
        return lowerCase(a) == b;
    });
}

bool matches(const Route &route, std::string_view host, std::string_view method, std::string_view path)
{
    if (route.onlyBelow && path == route.pathPrefix) {
        return false;
    }
    if (!route.host.empty() && !hostEquals(host, route.host)) {
        return false;
    }
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

/** Longer prefixes come first; among equal prefixes, routes that require a host, then routes that require methods. */
bool isMoreSpecific(const Route &a, const Route &b)
{
    const auto rank = [](const Route &route) {
        return std::tuple(route.host.empty(), route.methods.empty(), std::string_view(route.name));
    };
    if (a.pathPrefix.size() != b.pathPrefix.size()) {
        return a.pathPrefix.size() > b.pathPrefix.size();
    }
    if (a.pathPrefix != b.pathPrefix) {
        return a.pathPrefix < b.pathPrefix;
    }
    return rank(a) < rank(b);
}

/** Returns @p path without its last segment; "/" for a single segment and an empty view for "/". */
std::string_view shorterPrefix(std::string_view path)
{
    if (path.size() <= 1) {
        return {};
    }
    const auto slash = path.rfind('/');
    return path.substr(0, std::max<std::size_t>(slash, 1));
}

} // namespace

Snapshot::Snapshot(ConfigVersion version, SnapshotContent content)
    : m_version(version)
    , m_content(std::move(content))
{
    m_routesBySpecificity.resize(m_content.routes.size());
    for (std::uint32_t i = 0; i < m_routesBySpecificity.size(); ++i) {
        m_routesBySpecificity[i] = i;
    }
    std::sort(m_routesBySpecificity.begin(), m_routesBySpecificity.end(), [this](std::uint32_t a, std::uint32_t b) {
        return isMoreSpecific(m_content.routes[a], m_content.routes[b]);
    });
    for (std::uint32_t i = 0; i < m_content.accounts.size(); ++i) {
        for (const auto &digest : m_content.accounts[i].keyDigests) {
            m_accountsByKey.emplace_back(digest, i);
        }
    }
    std::sort(m_accountsByKey.begin(), m_accountsByKey.end());
}

Result<SnapshotPtr> Snapshot::make(ConfigVersion version, SnapshotContent content)
{
    SnapshotValidator::sort(content);
    const auto problems = SnapshotValidator::check(content);
    if (!problems.empty()) {
        return makeError(ErrorCode::InvalidArgument, problems.front().toString());
    }
    const auto encoded = encodeContent(content);
    if (encoded.size() > SnapshotValidator::maxEncodedBytes) {
        return makeError(ErrorCode::InvalidArgument,
                         "the configuration has " + std::to_string(encoded.size()) + " bytes; the limit is "
                             + std::to_string(SnapshotValidator::maxEncodedBytes));
    }
    const std::shared_ptr<Snapshot> snapshot(new Snapshot(version, std::move(content)));
    snapshot->m_contentDigest = Digest::of(encoded);
    return snapshot;
}

SnapshotPtr Snapshot::empty()
{
    auto snapshot = make(0, {});
    assert(snapshot.has_value());
    return *std::move(snapshot);
}

Result<SnapshotPtr> Snapshot::decode(std::string_view bytes)
{
    const auto unpacked = unpackBytes(bytes, SnapshotValidator::maxEncodedBytes + maxEnvelopeBytes);
    if (!unpacked) {
        return tl::unexpected(unpacked.error());
    }
    Wire::Snapshot message;
    if (!parseWire(message, *unpacked)) {
        return makeError(ErrorCode::InvalidArgument, "the encoded snapshot is malformed");
    }
    SnapshotContent content;
    const auto appended = appendFromWire(message.content(), content);
    if (!appended) {
        return tl::unexpected(appended.error());
    }
    return make(message.version(), std::move(content));
}

std::string Snapshot::encode() const
{
    Wire::Snapshot message;
    message.set_version(m_version);
    toWire(m_content, *message.mutable_content());
    return packBytes(message.SerializeAsString());
}

const Service *Snapshot::findService(std::string_view name) const
{
    const auto &services = m_content.services;
    const auto byName = [](const Service &service, std::string_view wanted) {
        return service.name < wanted;
    };
    const auto it = std::lower_bound(services.begin(), services.end(), name, byName);
    return it != services.end() && it->name == name ? &*it : nullptr;
}

const ClientAccount *Snapshot::findAccount(const Digest &key) const
{
    const auto it = std::lower_bound(m_accountsByKey.begin(), m_accountsByKey.end(), std::pair(key, std::uint32_t{0}));
    return it != m_accountsByKey.end() && it->first == key ? &m_content.accounts[it->second] : nullptr;
}

const ClientAccount *Snapshot::findAccountByName(std::string_view name) const
{
    const auto byName = [](const ClientAccount &account, std::string_view wanted) {
        return account.name < wanted;
    };
    const auto it = std::lower_bound(m_content.accounts.begin(), m_content.accounts.end(), name, byName);
    return it != m_content.accounts.end() && it->name == name ? &*it : nullptr;
}

const Route *Snapshot::matchRoute(std::string_view host, std::string_view method, std::string_view path) const
{
    if (m_routesBySpecificity.empty() || path.empty() || path.front() != '/') {
        return nullptr;
    }
    const auto &routes = m_content.routes;
    const auto longest = routes[m_routesBySpecificity.front()].pathPrefix.size();
    auto it = m_routesBySpecificity.begin();
    for (auto prefix = path; !prefix.empty(); prefix = shorterPrefix(prefix)) {
        // Skips prefixes that are longer than every route's, so that a long path does not cost a search per segment.
        if (prefix.size() > longest) {
            continue;
        }
        it = std::lower_bound(
            it, m_routesBySpecificity.end(), prefix, [&](std::uint32_t index, std::string_view wanted) {
                const auto &candidate = routes[index].pathPrefix;
                return candidate.size() != wanted.size() ? candidate.size() > wanted.size() : candidate < wanted;
            });
        for (; it != m_routesBySpecificity.end() && routes[*it].pathPrefix == prefix; ++it) {
            if (matches(routes[*it], host, method, path)) {
                return &routes[*it];
            }
        }
    }
    return nullptr;
}

bool Snapshot::isLeaving(const Endpoint &target) const
{
    return std::binary_search(
        m_content.leavingTargets.begin(), m_content.leavingTargets.end(), LeavingTarget{.address = target});
}

} // namespace Hornbeam
