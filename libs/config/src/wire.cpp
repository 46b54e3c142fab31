#include "wire.h"

#include <config.pb.h>

namespace Hornbeam {

namespace {

Wire::Priority toWire(Priority priority)
{
    switch (priority) {
    case Priority::High:
        return Wire::PRIORITY_HIGH;
    case Priority::Normal:
        return Wire::PRIORITY_NORMAL;
    case Priority::Low:
        return Wire::PRIORITY_LOW;
    }
    return Wire::PRIORITY_NORMAL;
}

Result<Priority> fromWire(Wire::Priority priority)
{
    switch (priority) {
    case Wire::PRIORITY_HIGH:
        return Priority::High;
    case Wire::PRIORITY_NORMAL:
        return Priority::Normal;
    case Wire::PRIORITY_LOW:
        return Priority::Low;
    default:
        return makeError(ErrorCode::InvalidArgument, "unknown priority");
    }
}

Wire::IdentitySource toWire(RequestIdentitySource source)
{
    switch (source) {
    case RequestIdentitySource::Header:
        return Wire::IDENTITY_SOURCE_HEADER;
    case RequestIdentitySource::Content:
        return Wire::IDENTITY_SOURCE_CONTENT;
    case RequestIdentitySource::Attempt:
        return Wire::IDENTITY_SOURCE_ATTEMPT;
    }
    return Wire::IDENTITY_SOURCE_HEADER;
}

Result<RequestIdentitySource> fromWire(Wire::IdentitySource source)
{
    switch (source) {
    case Wire::IDENTITY_SOURCE_HEADER:
        return RequestIdentitySource::Header;
    case Wire::IDENTITY_SOURCE_CONTENT:
        return RequestIdentitySource::Content;
    case Wire::IDENTITY_SOURCE_ATTEMPT:
        return RequestIdentitySource::Attempt;
    default:
        return makeError(ErrorCode::InvalidArgument, "unknown request identity source");
    }
}

Service fromWire(const Wire::Service &message)
{
    return Service{.name = message.name(),
                   .slotsPerTarget = message.slots_per_target(),
                   .attemptTimeout = std::chrono::milliseconds(message.attempt_timeout_ms()),
                   .maxRequestBytes = message.max_request_bytes(),
                   .maxConnections = message.max_connections()};
}

Result<Route> fromWire(const Wire::Route &message)
{
    const auto priority = fromWire(message.priority());
    if (!priority) {
        return tl::unexpected(priority.error());
    }
    const auto identity = fromWire(message.identity());
    if (!identity) {
        return tl::unexpected(identity.error());
    }
    Route route{.name = message.name(),
                .host = message.host(),
                .pathPrefix = message.path_prefix(),
                .methods = {message.methods().begin(), message.methods().end()},
                .service = message.service(),
                .requiredLabels = {},
                .idempotent = !message.not_idempotent(),
                .identity = *identity,
                .priority = *priority,
                .timeout = std::chrono::milliseconds(message.timeout_ms()),
                .splits = {},
                // Versions that were written before the field existed have 0.
                .attempts = message.attempts() != 0 ? message.attempts() : Route().attempts,
                .onlyBelow = message.only_below(),
                .bulk = message.bulk(),
                .latencyObjective = std::chrono::milliseconds(message.latency_objective_ms()),
                .anonymous = message.anonymous()};
    for (const auto &split : message.splits()) {
        route.splits.push_back({.service = split.service(), .weight = split.weight()});
    }
    for (const auto &label : message.required_labels()) {
        route.requiredLabels.push_back(Label{.name = label.name(), .value = label.value()});
    }
    return route;
}

Result<ClientAccount> fromWire(const Wire::ClientAccount &message)
{
    ClientAccount account{.name = message.name(),
                          .keyDigests = {},
                          .priority = std::nullopt,
                          .ratePerSecond = message.rate_per_second(),
                          .burst = message.burst()};
    for (const auto &bytes : message.key_digests()) {
        auto digest = Digest::fromBytes(bytes);
        if (digest.bytes() != bytes) {
            return makeError(ErrorCode::InvalidArgument, "a key digest of a client account is malformed");
        }
        account.keyDigests.push_back(digest);
    }
    if (message.has_priority()) {
        const auto priority = fromWire(message.priority());
        if (!priority) {
            return tl::unexpected(priority.error());
        }
        account.priority = *priority;
    }
    return account;
}

} // namespace

void toWire(const Service &service, Wire::Service &message)
{
    message.set_name(service.name);
    message.set_slots_per_target(service.slotsPerTarget);
    message.set_attempt_timeout_ms(static_cast<std::uint32_t>(service.attemptTimeout.count()));
    message.set_max_request_bytes(service.maxRequestBytes);
    message.set_max_connections(service.maxConnections);
}

void toWire(const Route &route, Wire::Route &message)
{
    message.set_name(route.name);
    message.set_host(route.host);
    message.set_path_prefix(route.pathPrefix);
    for (const auto &method : route.methods) {
        message.add_methods(method);
    }
    message.set_service(route.service);
    for (const auto &label : route.requiredLabels) {
        auto *added = message.add_required_labels();
        added->set_name(label.name);
        added->set_value(label.value);
    }
    message.set_not_idempotent(!route.idempotent);
    message.set_identity(toWire(route.identity));
    message.set_priority(toWire(route.priority));
    message.set_timeout_ms(static_cast<std::uint32_t>(route.timeout.count()));
    for (const auto &split : route.splits) {
        auto *added = message.add_splits();
        added->set_service(split.service);
        added->set_weight(split.weight);
    }
    message.set_attempts(route.attempts);
    message.set_only_below(route.onlyBelow);
    message.set_bulk(route.bulk);
    message.set_latency_objective_ms(static_cast<std::uint32_t>(route.latencyObjective.count()));
    message.set_anonymous(route.anonymous);
}

void toWire(const ClientAccount &account, Wire::ClientAccount &message)
{
    message.set_name(account.name);
    for (const auto &digest : account.keyDigests) {
        message.add_key_digests(digest.bytes());
    }
    if (account.priority) {
        message.set_priority(toWire(*account.priority));
    }
    message.set_rate_per_second(account.ratePerSecond);
    message.set_burst(account.burst);
}

void toWire(const TrafficLimits &limits, Wire::TrafficLimits &message)
{
    message.set_max_header_bytes(limits.maxHeaderBytes);
    message.set_max_body_bytes(limits.maxBodyBytes);
    message.set_header_timeout_ms(static_cast<std::uint32_t>(limits.headerTimeout.count()));
    message.set_idle_timeout_ms(static_cast<std::uint32_t>(limits.idleTimeout.count()));
}

void toWire(const LeavingTarget &target, Wire::LeavingTarget &message)
{
    message.set_address(target.address.toString());
}

void toWire(const SnapshotContent &content, Wire::Content &message)
{
    for (const auto &service : content.services) {
        toWire(service, *message.add_services());
    }
    for (const auto &route : content.routes) {
        toWire(route, *message.add_routes());
    }
    for (const auto &target : content.leavingTargets) {
        toWire(target, *message.add_leaving_targets());
    }
    for (const auto &account : content.accounts) {
        toWire(account, *message.add_accounts());
    }
    if (content.limits != TrafficLimits()) {
        toWire(content.limits, *message.mutable_limits());
    }
}

Result<void> appendFromWire(const Wire::Content &message, SnapshotContent &content)
{
    for (const auto &service : message.services()) {
        content.services.push_back(fromWire(service));
    }
    for (const auto &encoded : message.routes()) {
        auto route = fromWire(encoded);
        if (!route) {
            return tl::unexpected(route.error());
        }
        content.routes.push_back(*std::move(route));
    }
    for (const auto &target : message.leaving_targets()) {
        auto address = Endpoint::parse(target.address());
        if (!address) {
            return tl::unexpected(address.error());
        }
        content.leavingTargets.push_back(LeavingTarget{.address = *std::move(address)});
    }
    for (const auto &encoded : message.accounts()) {
        auto account = fromWire(encoded);
        if (!account) {
            return tl::unexpected(account.error());
        }
        content.accounts.push_back(*std::move(account));
    }
    if (message.has_limits()) {
        const auto &limits = message.limits();
        content.limits = {.maxHeaderBytes = limits.max_header_bytes(),
                          .maxBodyBytes = limits.max_body_bytes(),
                          .headerTimeout = std::chrono::milliseconds(limits.header_timeout_ms()),
                          .idleTimeout = std::chrono::milliseconds(limits.idle_timeout_ms())};
    }
    return {};
}

std::string encodeContent(const SnapshotContent &content)
{
    Wire::Content message;
    toWire(content, message);
    return message.SerializeAsString();
}

} // namespace Hornbeam
