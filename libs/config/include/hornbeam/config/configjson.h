#pragma once

#include <hornbeam/config/configchange.h>
#include <hornbeam/json/jsonreader.h>

namespace Hornbeam {

// JSON form of the model. The functions that read report problems and unknown keys with their JSON path.

nlohmann::json toJson(const Service &service);
nlohmann::json toJson(const Route &route);
nlohmann::json toJson(const LeavingTarget &target);
nlohmann::json toJson(const ConfigChange &change);
nlohmann::json toJson(const JsonProblems &problems);

/** {"version", "digest", "services", "routes", "leavingTargets"}. */
nlohmann::json toJson(const Snapshot &snapshot);

Service readService(const nlohmann::json &value, const std::string &path, JsonProblems &problems);
Route readRoute(const nlohmann::json &value, const std::string &path, JsonProblems &problems);
Endpoint readEndpoint(const std::string &text, const std::string &path, JsonProblems &problems);
ConfigChange readChange(const nlohmann::json &value, const std::string &path, JsonProblems &problems);

/** Reads an object of strings as sorted labels. */
std::vector<Label> readLabels(const nlohmann::json &value, const std::string &path, JsonProblems &problems);

} // namespace Hornbeam
