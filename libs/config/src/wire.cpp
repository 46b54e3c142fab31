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

Result<RequestIdentitySource> fromWire(Wire::IdentitySource source)
{
    switch (source) {
    case Wire::IDENTITY_SOURCE_HEADER:
        return RequestIdentitySource::Header;
    case Wire::IDENTITY_SOURCE_CONTENT:
        return RequestIdentitySource::Content;
    default:
        return makeError(ErrorCode::InvalidArgument, "unknown request identity source");
    }
}

Service fromWire(const Wire::Service &message)
{
    return Service{.name = message.name(),
                   .slotsPerTarget = message.slots_per_target(),
                   .attemptTimeout = std::chrono::milliseconds(message.attempt_timeout_ms()),
                   .maxRequestBytes = message.max_request_bytes()};
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
                .timeout = std::chrono::milliseconds(message.timeout_ms())};
    for (const auto &label : message.required_labels()) {
        route.requiredLabels.push_back(Label{.name = label.name(), .value = label.value()});
    }
    return route;
}

} // namespace

void toWire(const Service &service, Wire::Service &message)
{
    message.set_name(service.name);
    message.set_slots_per_target(service.slotsPerTarget);
    message.set_attempt_timeout_ms(static_cast<std::uint32_t>(service.attemptTimeout.count()));
    message.set_max_request_bytes(service.maxRequestBytes);
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
    message.set_identity(route.identity == RequestIdentitySource::Content ? Wire::IDENTITY_SOURCE_CONTENT
                                                                          : Wire::IDENTITY_SOURCE_HEADER);
    message.set_priority(toWire(route.priority));
    message.set_timeout_ms(static_cast<std::uint32_t>(route.timeout.count()));
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
    return {};
}

std::string encodeContent(const SnapshotContent &content)
{
    Wire::Content message;
    toWire(content, message);
    return message.SerializeAsString();
}

} // namespace Hornbeam
