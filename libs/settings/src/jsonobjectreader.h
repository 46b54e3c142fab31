#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/settings/settings.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

/** Inclusive bounds of an integer setting. */
struct IntegerRange
{
    std::int64_t minimum;
    std::int64_t maximum;
};

/**
 * Reads one JSON object key by key and records every problem with its JSON path.
 * The destructor reports keys that were never asked for, so a misspelt key cannot be ignored silently.
 */
class JsonObjectReader
{
public:
    JsonObjectReader(const nlohmann::json &value, std::string path, std::vector<SettingsProblem> &problems);
    ~JsonObjectReader();

    JsonObjectReader(const JsonObjectReader &) = delete;
    JsonObjectReader &operator=(const JsonObjectReader &) = delete;

    /** Returns a reader of a required nested object. */
    JsonObjectReader object(const char *key);

    /** Returns a reader of an optional nested object; it is empty when the key is absent. */
    JsonObjectReader optionalObject(const char *key);

    std::string requiredName(const char *key);
    Endpoint requiredEndpoint(const char *key);
    std::optional<Endpoint> optionalEndpoint(const char *key);
    std::vector<Endpoint> endpoints(const char *key, std::size_t minimumCount);
    std::int64_t integer(const char *key, std::int64_t defaultValue, IntegerRange range);
    std::optional<std::string> optionalString(const char *key);
    void report(const char *key, std::string text);

private:
    const nlohmann::json *find(const char *key);
    const nlohmann::json *require(const char *key);
    std::string pathOf(const std::string &key) const;
    Endpoint parseEndpoint(const nlohmann::json &value, const std::string &path);

    const nlohmann::json &m_value;
    std::string m_path;
    std::vector<SettingsProblem> &m_problems;
    std::set<std::string> m_known;
};

} // namespace Hornbeam
