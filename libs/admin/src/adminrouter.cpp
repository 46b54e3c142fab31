#include "adminrouter.h"

#include <hornbeam/admin/adminextension.h>
#include <hornbeam/admin/announcementapi.h>
#include <hornbeam/admin/operatorapi.h>
#include <hornbeam/admin/statusapi.h>
#include <hornbeam/config/configjson.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace Hornbeam {

namespace {

using nlohmann::json;

// A body can have a problem in every value, of which the operator needs to see only the first ones.
constexpr std::size_t maxProblems = 100;

enum HttpStatus : int {
    Ok = 200,
    BadRequest = 400,
    NotFound = 404,
    MethodNotAllowed = 405,
    ConflictStatus = 409,
    ContentTooLarge = 413,
    InternalError = 500,
    ServiceUnavailable = 503,
    GatewayTimeout = 504,
};

int statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return BadRequest;
    case ErrorCode::NotFound:
        return NotFound;
    case ErrorCode::Conflict:
        return ConflictStatus;
    case ErrorCode::Unavailable:
    case ErrorCode::Overloaded:
    case ErrorCode::Cancelled:
        return ServiceUnavailable;
    case ErrorCode::OutcomeUnknown:
        return GatewayTimeout;
    case ErrorCode::Internal:
        return InternalError;
    }
    return InternalError;
}

AdminResponse jsonResponse(const json &value, int status = Ok)
{
    // Messages can quote bytes of the request that are not valid UTF-8.
    return {.status = status,
            .contentType = "application/json",
            .body = value.dump(-1, ' ', false, json::error_handler_t::replace)};
}

json errorJson(const char *code, const std::string &message, const std::string &path = {})
{
    return {{"error", {{"code", code}, {"message", message}, {"path", path}}}};
}

AdminResponse errorResponse(const Error &error)
{
    return jsonResponse(errorJson(errorCodeName(error.code()), error.message()), statusOf(error.code()));
}

AdminResponse problemsResponse(JsonProblems problems)
{
    const auto first = problems.front();
    problems.resize(std::min(problems.size(), maxProblems));
    auto body = errorJson(errorCodeName(ErrorCode::InvalidArgument), first.path + " " + first.text, first.path);
    body["problems"] = toJson(problems);
    return jsonResponse(body, BadRequest);
}

AdminResponse notFound(const std::string &path)
{
    return jsonResponse(errorJson("not-found", "there is no resource " + path), NotFound);
}

AdminResponse methodNotAllowed(const AdminRequest &request)
{
    const auto message = request.method + " is not supported for " + request.path;
    return jsonResponse(errorJson("method-not-allowed", message), MethodNotAllowed);
}

AdminResponse planResponse(const Result<Plan> &plan)
{
    if (!plan) {
        return errorResponse(plan.error());
    }
    return {.status = Ok, .contentType = "application/json", .body = plan->toJson()};
}

AdminResponse confirmResponse(const ConfirmResult &result)
{
    if (result) {
        return jsonResponse({{"version", result->version}});
    }
    const auto &failure = result.error();
    if (!failure.conflict) {
        return errorResponse(failure.error);
    }
    auto body = errorJson(errorCodeName(failure.error.code()), failure.error.message());
    body["currentVersion"] = failure.conflict->currentVersion;
    body["changes"] = json::array();
    for (const auto &change : failure.conflict->changes) {
        body["changes"].push_back(toJson(change));
    }
    body["refusals"] = toJson(failure.conflict->refusals);
    return jsonResponse(body, statusOf(failure.error.code()));
}

AdminResponse targetResponse(const Result<Target> &target)
{
    return target ? jsonResponse(toJson(*target)) : errorResponse(target.error());
}

/** Returns @p path without @p prefix, or std::nullopt when it does not start with it. */
std::optional<std::string> withoutPrefix(const std::string &path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

} // namespace

AdminRouter::AdminRouter(AdminDependencies dependencies, std::size_t maxBodyBytes)
    : m_dependencies(dependencies)
    , m_maxBodyBytes(maxBodyBytes)
{
}

void AdminRouter::handle(const AdminRequest &request, AdminResponder respond)
{
    const auto &path = request.path;
    if (m_dependencies.extension != nullptr && m_dependencies.extension->handle(request, respond)) {
        return;
    }
    if (request.body.size() > m_maxBodyBytes) {
        const auto message = "the body is larger than " + std::to_string(m_maxBodyBytes) + " bytes";
        respond(jsonResponse(errorJson("too-large", message), ContentTooLarge));
    } else if (path == "/v1/plans") {
        createPlan(request, std::move(respond));
    } else if (const auto plan = withoutPrefix(path, "/v1/plans/")) {
        handlePlans(request, *plan, std::move(respond));
    } else if (const auto target = withoutPrefix(path, "/v1/targets/")) {
        respond(handleTargets(request, *target));
    } else if (request.method != "GET") {
        respond(methodNotAllowed(request));
    } else if (path == "/v1/targets") {
        respond(targets());
    } else if (path == "/v1/config") {
        respond(jsonResponse(toJson(*m_dependencies.operators.configuration())));
    } else if (const auto version = withoutPrefix(path, "/v1/rollout/")) {
        respond(rollout(*version));
    } else if (path == "/v1/rollouts") {
        respond({.status = Ok, .contentType = "application/json", .body = m_dependencies.status.rolloutsJson()});
    } else if (path == "/metrics") {
        respond(
            {.status = Ok, .contentType = "text/plain; version=0.0.4", .body = m_dependencies.status.renderMetrics()});
    } else if (path == "/dump") {
        respond({.status = Ok, .contentType = "application/json", .body = m_dependencies.status.dumpJson()});
    } else if (path == "/healthz") {
        respond(health());
    } else {
        respond(notFound(path));
    }
}

void AdminRouter::createPlan(const AdminRequest &request, AdminResponder respond)
{
    if (request.method != "POST") {
        respond(methodNotAllowed(request));
        return;
    }
    auto intent = Intent::parse(request.body);
    if (!intent) {
        respond(problemsResponse(std::move(intent.error())));
        return;
    }
    m_dependencies.operators.createPlan(
        *std::move(intent), [respond = std::move(respond)](const Result<Plan> &plan) { respond(planResponse(plan)); });
}

void AdminRouter::handlePlans(const AdminRequest &request, const std::string &subpath, AdminResponder respond)
{
    constexpr std::string_view confirmSuffix = "/confirm";
    const bool confirms = subpath.ends_with(confirmSuffix);
    const auto id = confirms ? subpath.substr(0, subpath.size() - confirmSuffix.size()) : subpath;
    if (!isPlanId(id)) {
        respond(jsonResponse(errorJson("not-found", "there is no such plan, or it has expired"), NotFound));
    } else if (request.method != (confirms ? "POST" : "GET")) {
        respond(methodNotAllowed(request));
    } else if (confirms) {
        confirmPlan(id, std::move(respond));
    } else {
        m_dependencies.operators.readPlan(
            id, [respond = std::move(respond)](const Result<Plan> &plan) { respond(planResponse(plan)); });
    }
}

void AdminRouter::confirmPlan(const std::string &id, AdminResponder respond)
{
    m_dependencies.operators.confirmPlan(
        id, [respond = std::move(respond)](const ConfirmResult &result) { respond(confirmResponse(result)); });
}

AdminResponse AdminRouter::handleTargets(const AdminRequest &request, const std::string &subpath)
{
    const auto address = Endpoint::parse(subpath);
    if (!address) {
        return errorResponse(address.error());
    }
    if (request.method == "PUT") {
        return announce(request, *address);
    }
    if (request.method == "DELETE") {
        return targetResponse(m_dependencies.announcements.withdraw(*address));
    }
    return methodNotAllowed(request);
}

AdminResponse AdminRouter::announce(const AdminRequest &request, const Endpoint &address)
{
    auto announcement = Announcement::parse(address, request.body);
    if (!announcement) {
        return problemsResponse(std::move(announcement.error()));
    }
    return targetResponse(m_dependencies.announcements.announce(*announcement));
}

AdminResponse AdminRouter::rollout(const std::string &version) const
{
    ConfigVersion number = 0;
    const auto *const last = version.data() + version.size();
    const auto [end, status] = std::from_chars(version.data(), last, number);
    if (status != std::errc() || end != last) {
        return errorResponse(Error(ErrorCode::InvalidArgument, "\"" + version + "\" is not a version"));
    }
    const auto rollout = m_dependencies.operators.rollout(number);
    json body = {{"version", rollout.version},
                 {"knownNodes", rollout.knownNodes},
                 {"nodesWithVersion", rollout.nodesWithVersion},
                 {"complete", rollout.nodesWithVersion == rollout.knownNodes},
                 {"behind", json::array()}};
    for (const auto &lagging : rollout.behind) {
        body["behind"].push_back({{"node", lagging.node}, {"zone", lagging.zone}, {"version", lagging.version}});
    }
    return jsonResponse(body);
}

AdminResponse AdminRouter::targets() const
{
    json body = {{"targets", json::array()}};
    for (const auto &target : m_dependencies.announcements.knownTargets()) {
        body["targets"].push_back(toJson(target));
    }
    return jsonResponse(body);
}

AdminResponse AdminRouter::health() const
{
    const auto health = m_dependencies.status.health();
    return jsonResponse({{"ready", health.ready}, {"reason", health.reason}}, health.ready ? Ok : ServiceUnavailable);
}

} // namespace Hornbeam
