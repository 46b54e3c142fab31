#include "commandrunner.h"

#include "replyprinter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>

namespace Hornbeam {

namespace {

using nlohmann::json;

// Polling interval of the rollout status; versions spread in well under a second.
constexpr std::chrono::milliseconds rolloutPollInterval(200);

std::optional<std::string> readAll(const std::string &file, std::istream &in)
{
    if (file == "-") {
        return std::string(std::istreambuf_iterator<char>(in), {});
    }
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    std::string text(std::istreambuf_iterator<char>(stream), {});
    return stream.bad() ? std::nullopt : std::optional(std::move(text));
}

bool isOk(const AdminReply &reply)
{
    return reply.status >= 200 && reply.status < 300;
}

} // namespace

CommandRunner::CommandRunner(CtlOptions options, std::istream &in, std::ostream &out, std::ostream &err)
    : m_options(std::move(options))
    , m_client(m_options.nodes, std::chrono::steady_clock::now() + m_options.timeout)
    , m_in(in)
    , m_out(out)
    , m_err(err)
{
}

ExitCode CommandRunner::run()
{
    // Parsing throws when the reply is not from a node, for example because another program listens at the address.
    try {
        switch (m_options.command) {
        case Command::Plan:
            return plan();
        case Command::Confirm:
            return confirm();
        case Command::ShowPlan:
            return show("/v1/plans/" + m_options.argument, printPlan);
        case Command::Config:
            return show("/v1/config", printConfig);
        case Command::Rollout:
            return show("/v1/rollout/" + m_options.argument, printRollout);
        case Command::Dump:
            return dump();
        case Command::Targets:
            return show("/v1/targets", printTargets);
        case Command::Rollouts:
            return show("/v1/rollouts", printRollouts);
        }
    } catch (const json::exception &exception) {
        return fail(std::string("the reply is not from a hornbeamd node: ") + exception.what(), ExitCode::Unreachable);
    }
    return ExitCode::Usage;
}

ExitCode CommandRunner::plan()
{
    auto intent = readAll(m_options.argument, m_in);
    if (!intent) {
        return fail("cannot read " + m_options.argument, ExitCode::Usage);
    }
    const auto reply = request({.method = "POST", .path = "/v1/plans", .body = *std::move(intent)});
    if (!reply) {
        return fail(reply.error().message(), ExitCode::Unreachable);
    }
    if (!isOk(*reply)) {
        return fail(*reply);
    }
    const auto plan = json::parse(reply->body);
    if (m_options.json) {
        m_out << reply->body << '\n';
    } else {
        printPlan(plan, m_out);
    }
    return plan.at("refusals").empty() ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode CommandRunner::confirm()
{
    // After a lost reply it is unknown whether the plan took effect. Confirming the same plan again finds out.
    const auto path = "/v1/plans/" + m_options.argument + "/confirm";
    const auto reply = request({.method = "POST", .path = path, .body = {}, .retry = true});
    if (!reply) {
        return fail(reply.error().message() + "; the plan may have taken effect: confirm the same plan again",
                    ExitCode::Unreachable);
    }
    if (!isOk(*reply)) {
        return fail(*reply);
    }
    const auto version = json::parse(reply->body).at("version").dump();
    if (m_options.json) {
        m_out << reply->body << '\n';
    } else {
        m_out << "version " << version << '\n';
    }
    return m_options.wait ? waitForRollout(version) : ExitCode::Ok;
}

ExitCode CommandRunner::waitForRollout(const std::string &version)
{
    std::string printedLine;
    while (true) {
        const auto reply = request({.path = "/v1/rollout/" + version});
        if (reply && isOk(*reply)) {
            const auto rollout = json::parse(reply->body);
            const auto line = "version " + version + ": " + rollout.at("nodesWithVersion").dump() + " of "
                + rollout.at("knownNodes").dump() + " nodes";
            if (line != printedLine) {
                m_err << line << std::endl;
                printedLine = line;
            }
            if (rollout.at("complete").get<bool>()) {
                return ExitCode::Ok;
            }
        }
        if (m_client.remaining() <= rolloutPollInterval) {
            return fail("version " + version + " was accepted, but not all known nodes reported it in time",
                        ExitCode::Unreachable);
        }
        std::this_thread::sleep_for(rolloutPollInterval);
    }
}

ExitCode CommandRunner::show(const std::string &path, void (*print)(const json &, std::ostream &))
{
    const auto reply = request({.path = path});
    if (!reply) {
        return fail(reply.error().message(), ExitCode::Unreachable);
    }
    if (!isOk(*reply)) {
        return fail(*reply);
    }
    if (m_options.json) {
        m_out << reply->body << '\n';
    } else {
        print(json::parse(reply->body), m_out);
    }
    return ExitCode::Ok;
}

ExitCode CommandRunner::dump()
{
    constexpr int indent = 2;
    return show("/dump", [](const json &state, std::ostream &out) { out << state.dump(indent) << '\n'; });
}

Result<AdminReply> CommandRunner::request(const AdminCall &call)
{
    return m_client.send(call);
}

ExitCode CommandRunner::fail(const AdminReply &reply)
{
    if (m_options.json) {
        m_out << reply.body << '\n';
    } else {
        printError(json::parse(reply.body), m_err);
    }
    return reply.status >= 500 ? ExitCode::Unreachable : ExitCode::Refused;
}

ExitCode CommandRunner::fail(const std::string &message, ExitCode code)
{
    m_err << "hornbeamctl: " << message << '\n';
    return code;
}

} // namespace Hornbeam
