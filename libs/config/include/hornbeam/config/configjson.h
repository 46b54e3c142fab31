#pragma once

#include <hornbeam/config/configchange.h>
#include <hornbeam/json/jsonreader.h>

namespace Hornbeam {

// JSON representation of the configuration. The read functions report problems and unknown keys with their JSON paths.

nlohmann::json toJson(const Service &service);
nlohmann::json toJson(const Route &route);
nlohmann::json toJson(const LeavingTarget &target);
/** With complete key digests, so that a plan can be stored and read again. */
nlohmann::json toJson(const ClientAccount &account);

nlohmann::json toJson(const ConfigChange &change);
nlohmann::json toJson(const JsonProblems &problems);

/**
 * {"version", "digest", "services", "routes", "leavingTargets", "limits", "accounts"}. Of a key, only the first 8
 * digits of its digest are shown.
 */
nlohmann::json toJson(const Snapshot &snapshot);

Service readService(const nlohmann::json &value, const std::string &path, JsonProblems &problems);
Route readRoute(const nlohmann::json &value, const std::string &path, JsonProblems &problems);

/** The keys of an account are given as "keys", which are not kept, or as "keyDigests". */
ClientAccount readAccount(const nlohmann::json &value, const std::string &path, JsonProblems &problems);

Endpoint readEndpoint(const std::string &text, const std::string &path, JsonProblems &problems);
ConfigChange readChange(const nlohmann::json &value, const std::string &path, JsonProblems &problems);

/** Reads an object whose values are strings; returns its members as sorted labels. */
std::vector<Label> readLabels(const nlohmann::json &value, const std::string &path, JsonProblems &problems);

} // namespace Hornbeam
