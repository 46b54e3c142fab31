#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace Hornbeam {

// Print replies of the admin API as tables for people. A reply without an expected member throws an exception of
// nlohmann-json.

void printPlan(const nlohmann::json &plan, std::ostream &out);
void printChanges(const nlohmann::json &changes, std::ostream &out);
void printConfig(const nlohmann::json &config, std::ostream &out);
void printRollout(const nlohmann::json &rollout, std::ostream &out);
void printTargets(const nlohmann::json &reply, std::ostream &out);

/** Prints an error reply: its message, all problems of the input and the current difference after a lost race. */
void printError(const nlohmann::json &reply, std::ostream &err);

} // namespace Hornbeam
