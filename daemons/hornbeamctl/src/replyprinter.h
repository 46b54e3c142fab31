#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace Hornbeam {

// These functions print replies of the admin API as tables. They throw nlohmann::json::exception when a reply lacks an
// expected member.

void printPlan(const nlohmann::json &plan, std::ostream &out);
void printChanges(const nlohmann::json &changes, std::ostream &out);
void printConfig(const nlohmann::json &config, std::ostream &out);
void printRollout(const nlohmann::json &rollout, std::ostream &out);
void printRollouts(const nlohmann::json &rollouts, std::ostream &out);
void printTargets(const nlohmann::json &reply, std::ostream &out);

/** Prints an error reply: its message, all problems of the input and, after a conflict, the plan's new changes. */
void printError(const nlohmann::json &reply, std::ostream &err);

} // namespace Hornbeam
