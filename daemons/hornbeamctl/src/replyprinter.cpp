#include "replyprinter.h"

#include "tableprinter.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace Hornbeam {

namespace {

using nlohmann::json;

/** Formats a JSON value as a table cell: strings without quotes, lists separated by commas. */
std::string cell(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_structured()) {
        return value.dump();
    }
    std::string text;
    for (const auto &[key, element] : value.items()) {
        text += (text.empty() ? "" : ",") + (value.is_object() ? key + "=" : std::string()) + cell(element);
    }
    return text;
}

std::string cellOr(const json &value, const char *placeholder)
{
    const auto text = cell(value);
    return text.empty() ? placeholder : text;
}

/** Describes a change: the new fields, or for a changed resource the fields that differ. */
std::string describeChange(const json &change)
{
    std::string text;
    const auto append = [&](const std::string &part) {
        text += (text.empty() ? "" : ", ") + part;
    };
    if (!change.contains("after")) {
        return "-";
    }
    for (const auto &[key, value] : change.at("after").items()) {
        if (!change.contains("before")) {
            if (key != "name" && !cell(value).empty()) {
                append(key + "=" + cell(value));
            }
        } else if (change.at("before").at(key) != value) {
            append(key + ": " + cellOr(change.at("before").at(key), "(none)") + " -> " + cellOr(value, "(none)"));
        }
    }
    return text;
}

void printReasons(const json &reasons, std::ostream &out)
{
    for (const auto &reason : reasons) {
        out << "  " << cell(reason.at("path")) << ": " << cell(reason.at("reason")) << '\n';
    }
}

} // namespace

void printChanges(const json &changes, std::ostream &out)
{
    TablePrinter table({"CHANGE", "RESOURCE", "NAME", "FIELDS"});
    for (const auto &change : changes) {
        table.add(
            {cell(change.at("kind")), cell(change.at("resource")), cell(change.at("name")), describeChange(change)});
    }
    table.print(out);
}

void printPlan(const json &plan, std::ostream &out)
{
    out << "plan      " << cell(plan.at("id")) << '\n'
        << "version   " << cell(plan.at("baseVersion")) << " -> " << cell(plan.at("targetVersion")) << '\n'
        << "affected  " << cell(plan.at("affected").at("proxies")) << " proxies, "
        << cell(plan.at("affected").at("targets")) << " targets\n";
    if (plan.contains("confirmedVersion")) {
        out << "confirmed as version " << cell(plan.at("confirmedVersion")) << '\n';
    }
    for (const auto &notice : plan.at("notices")) {
        out << "notice: " << cell(notice) << '\n';
    }
    printChanges(plan.at("changes"), out);
    if (!plan.at("refusals").empty()) {
        out << "refused; it cannot be confirmed:\n";
        printReasons(plan.at("refusals"), out);
    }
}

void printConfig(const json &config, std::ostream &out)
{
    out << "version " << cell(config.at("version")) << '\n';
    TablePrinter services({"SERVICE", "SLOTS", "ATTEMPT TIMEOUT", "MAX REQUEST"});
    for (const auto &service : config.at("services")) {
        const auto &slots = service.at("slotsPerTarget");
        services.add({cell(service.at("name")),
                      slots == 0 ? "announced" : cell(slots),
                      cell(service.at("attemptTimeoutMs")) + " ms",
                      cell(service.at("maxRequestBytes")) + " B"});
    }
    services.print(out);
    TablePrinter routes(
        {"ROUTE", "HOST", "PREFIX", "METHODS", "SERVICE", "LABELS", "REPEATABLE", "PRIORITY", "TIMEOUT"});
    for (const auto &route : config.at("routes")) {
        const bool idempotent = route.at("idempotent").get<bool>();
        routes.add({cell(route.at("name")),
                    cellOr(route.at("host"), "*"),
                    cell(route.at("pathPrefix")),
                    cellOr(route.at("methods"), "*"),
                    cell(route.at("service")),
                    cellOr(route.at("requiredLabels"), "-"),
                    idempotent ? "yes" : "no, identified by " + cell(route.at("identity")),
                    cell(route.at("priority")),
                    cell(route.at("timeoutMs")) + " ms"});
    }
    routes.print(out);
    TablePrinter leaving({"LEAVING TARGET"});
    for (const auto &target : config.at("leavingTargets")) {
        leaving.add({cell(target.at("address"))});
    }
    leaving.print(out);
}

void printRollout(const json &rollout, std::ostream &out)
{
    out << "version " << cell(rollout.at("version")) << ": " << cell(rollout.at("nodesWithVersion")) << " of "
        << cell(rollout.at("knownNodes")) << " nodes\n";
    TablePrinter table({"BEHIND", "ZONE", "VERSION"});
    for (const auto &node : rollout.at("behind")) {
        table.add({cell(node.at("node")), cell(node.at("zone")), cell(node.at("version"))});
    }
    table.print(out);
}

void printRollouts(const json &rollouts, std::ostream &out)
{
    TablePrinter table({"SERVICE", "FROM", "TO", "PHASE", "SHARE", "STEP", "REASON"});
    for (const auto &step : rollouts.at("steps")) {
        table.add({cell(step.at("service")),
                   cell(step.at("stable")),
                   cell(step.at("version")),
                   cell(step.at("phase")),
                   cell(step.at("share")) + "/1000",
                   cell(step.at("fence")) + "." + cell(step.at("step")),
                   cell(step.at("reason"))});
    }
    table.print(out);
}

void printTargets(const json &reply, std::ostream &out)
{
    TablePrinter table({"TARGET", "SERVICE", "ZONE", "SLOTS", "STATE", "LABELS"});
    for (const auto &target : reply.at("targets")) {
        table.add({cell(target.at("address")),
                   cell(target.at("service")),
                   cell(target.at("zone")),
                   cell(target.at("slots")),
                   cell(target.at("state")),
                   cellOr(target.at("labels"), "-")});
    }
    table.print(out);
}

void printError(const json &reply, std::ostream &err)
{
    err << "hornbeamctl: " << cell(reply.at("error").at("message")) << '\n';
    if (reply.contains("problems")) {
        printReasons(reply.at("problems"), err);
    }
    if (reply.contains("changes")) {
        err << "against version " << cell(reply.at("currentVersion")) << ", the plan's intent would change:\n";
        printChanges(reply.at("changes"), err);
    }
    if (reply.contains("refusals") && !reply.at("refusals").empty()) {
        err << "and would be refused:\n";
        printReasons(reply.at("refusals"), err);
    }
}

} // namespace Hornbeam
