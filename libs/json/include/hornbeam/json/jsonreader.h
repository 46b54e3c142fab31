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

/** A reason why a JSON document is refused. */
struct JsonProblem
{
    std::string path; ///< JSON path of the value, for example "$.operations[2].route.timeoutMs".
    std::string text; ///< What is wrong, for people.

    friend auto operator<=>(const JsonProblem &, const JsonProblem &) = default;
};

using JsonProblems = std::vector<JsonProblem>;

/** Inclusive bounds of an integer. */
struct UnsignedRange
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = UINT64_MAX;
};

/** Inclusive bounds of a number. */
struct NumberRange
{
    double minimum = 0;
    double maximum = 0;
};

/** Parses a document; refuses malformed JSON, repeated keys and nesting deeper than 32 levels. */
tl::expected<nlohmann::json, JsonProblem> parseJson(std::string_view text);

/**
 * Reads the members of a JSON object strictly. Every problem is appended to the list with its JSON path, and a
 * placeholder is returned, so that one pass finds all problems. Keep the document alive while reading.
 */
class JsonReader
{
public:
    JsonReader(const nlohmann::json &value, std::string path, JsonProblems &problems);

    /** Reports a missing or wrongly typed member and returns an empty string. */
    std::string string(const char *key);

    std::optional<std::string> optionalString(const char *key);
    std::optional<bool> optionalBool(const char *key);
    std::optional<std::uint64_t> optionalUnsigned(const char *key, UnsignedRange range);

    /** Reads an integer or a fraction. */
    std::optional<double> optionalNumber(const char *key, NumberRange range);

    /** Reports a missing member. */
    std::uint64_t unsignedNumber(const char *key, UnsignedRange range);

    /** Returns the member if it is an object or an array respectively, otherwise null. */
    const nlohmann::json *optionalObject(const char *key);
    const nlohmann::json *optionalArray(const char *key);

    /** Like the optional functions, but reports a missing member. */
    const nlohmann::json *object(const char *key);
    const nlohmann::json *array(const char *key);

    /** Reads an array of strings; empty when the member is absent. */
    std::vector<std::string> optionalStrings(const char *key);

    void report(const std::string &key, std::string text);

    /** Path of a member. */
    std::string pathOf(const std::string &key) const;

    const std::string &path() const
    {
        return m_path;
    }

    JsonProblems &problems()
    {
        return m_problems;
    }

    /** Reports the members that no function asked for. Call it last. */
    void finish();

private:
    const nlohmann::json *find(const char *key);
    const nlohmann::json *require(const char *key, const nlohmann::json *found);

    const nlohmann::json *m_value; ///< Null when the value is not an object.
    std::string m_path;
    JsonProblems &m_problems;
    std::set<std::string> m_known;
};

} // namespace Hornbeam
