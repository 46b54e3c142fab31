#pragma once

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** A reason why a JSON document is invalid. */
struct JsonProblem
{
    std::string path; ///< JSON path of the value, for example "$.operations[2].route.timeoutMs".
    std::string text; ///< Human-readable description, without the path.

    friend auto operator<=>(const JsonProblem &, const JsonProblem &) = default;
};

using JsonProblems = std::vector<JsonProblem>;

/** Inclusive range of an integer. */
struct UnsignedRange
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = UINT64_MAX;
};

/** Inclusive range of a number. */
struct NumberRange
{
    double minimum = 0;
    double maximum = 0;
};

/** Parses a document. Fails for malformed JSON, duplicate keys and nesting deeper than 32 levels. */
tl::expected<nlohmann::json, JsonProblem> parseJson(std::string_view text);

/**
 * Reads the members of a JSON object strictly. Each problem is appended to a list together with its JSON path, and
 * reading continues with a default value, so that one pass finds all problems. The JSON value must outlive the reader.
 */
class JsonReader
{
public:
    JsonReader(const nlohmann::json &value, std::string path, JsonProblems &problems);

    /** Reads a required string; empty when the member is missing or has another type, which is reported. */
    std::string string(const char *key);

    std::optional<std::string> optionalString(const char *key);
    std::optional<bool> optionalBool(const char *key);
    std::optional<std::uint64_t> optionalUnsigned(const char *key, UnsignedRange range);

    /** Reads a number with or without a fraction. */
    std::optional<double> optionalNumber(const char *key, NumberRange range);

    /** Like optionalUnsigned(), but reports a missing member. Returns the minimum when there is no valid value. */
    std::uint64_t unsignedNumber(const char *key, UnsignedRange range);

    /** Returns the member if it is an object or array respectively, otherwise null. Reports other types. */
    const nlohmann::json *optionalObject(const char *key);
    const nlohmann::json *optionalArray(const char *key);

    /** Like the optional functions, but reports a missing member. */
    const nlohmann::json *object(const char *key);
    const nlohmann::json *array(const char *key);

    /** Reads an optional array of strings; empty when the member is absent. */
    std::vector<std::string> optionalStrings(const char *key);

    /** Reports a problem with a member. */
    void report(const std::string &key, std::string text);

    /** Returns the JSON path of a member. */
    std::string pathOf(const std::string &key) const;

    const std::string &path() const
    {
        return m_path;
    }

    JsonProblems &problems()
    {
        return m_problems;
    }

    /** Reports each member that has not been read as an unknown key. Must be called last. */
    void finish();

private:
    const nlohmann::json *find(const char *key);
    const nlohmann::json *require(const char *key, const nlohmann::json *found);

    const nlohmann::json *m_value; ///< Null when the value is not an object.
    std::string m_path;
    JsonProblems &m_problems;
    std::set<std::string> m_knownKeys;
};

} // namespace Hornbeam
