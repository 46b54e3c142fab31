#include <hornbeam/json/jsonreader.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

using nlohmann::json;

constexpr int maxDepth = 32;

bool isIdentifier(const std::string &key)
{
    return !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
    });
}

std::string quoted(const std::string &key)
{
    return json(key).dump(-1, ' ', true, json::error_handler_t::replace);
}

/** Detects excessive nesting and duplicate keys, of which the parser would silently use the last. */
class StructureCheck
{
public:
    bool operator()(int depth, json::parse_event_t event, const json &value)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            m_keys.emplace_back();
            if (depth >= maxDepth) {
                problem = "is nested deeper than 32 levels";
            }
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            m_keys.pop_back();
            break;
        case json::parse_event_t::key:
            if (!m_keys.back().insert(value.get<std::string>()).second) {
                problem = "has the key " + quoted(value.get<std::string>()) + " twice in one object";
            }
            break;
        case json::parse_event_t::value:
            break;
        }
        return true;
    }

    std::string problem;

private:
    std::vector<std::set<std::string>> m_keys;
};

} // namespace

tl::expected<json, JsonProblem> parseJson(std::string_view text)
{
    StructureCheck check;
    auto document = json::parse(text, std::ref(check), false);
    if (document.is_discarded()) {
        return tl::unexpected(JsonProblem{.path = "$", .text = "is not valid JSON"});
    }
    if (!check.problem.empty()) {
        return tl::unexpected(JsonProblem{.path = "$", .text = check.problem});
    }
    return document;
}

JsonReader::JsonReader(const json &value, std::string path, JsonProblems &problems)
    : m_value(value.is_object() ? &value : nullptr)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (m_value == nullptr) {
        m_problems.push_back({.path = m_path, .text = "must be an object"});
    }
}

std::string JsonReader::string(const char *key)
{
    const auto *value = require(key, find(key));
    if (value != nullptr && !value->is_string()) {
        report(key, "must be a string");
        return {};
    }
    return value != nullptr ? value->get<std::string>() : std::string();
}

std::optional<std::string> JsonReader::optionalString(const char *key)
{
    if (find(key) == nullptr) {
        return std::nullopt;
    }
    return string(key);
}

std::optional<bool> JsonReader::optionalBool(const char *key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_boolean()) {
        report(key, "must be true or false");
        return std::nullopt;
    }
    return value->get<bool>();
}

std::optional<std::uint64_t> JsonReader::optionalUnsigned(const char *key, UnsignedRange range)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_number_integer()) {
        report(key, "must be an integer");
        return std::nullopt;
    }
    const bool negative = !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
    const auto n = negative ? 0 : value->get<std::uint64_t>();
    if (negative || n < range.minimum || n > range.maximum) {
        report(key, "must be " + std::to_string(range.minimum) + ".." + std::to_string(range.maximum));
        return std::nullopt;
    }
    return n;
}

std::optional<double> JsonReader::optionalNumber(const char *key, NumberRange range)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_number()) {
        report(key, "must be a number");
        return std::nullopt;
    }
    const auto number = value->get<double>();
    if (number < range.minimum || number > range.maximum) {
        report(key, "is out of range");
        return std::nullopt;
    }
    return number;
}

std::uint64_t JsonReader::unsignedNumber(const char *key, UnsignedRange range)
{
    require(key, find(key));
    return optionalUnsigned(key, range).value_or(range.minimum);
}

const json *JsonReader::optionalObject(const char *key)
{
    const auto *value = find(key);
    if (value != nullptr && !value->is_object()) {
        report(key, "must be an object");
        return nullptr;
    }
    return value;
}

const json *JsonReader::optionalArray(const char *key)
{
    const auto *value = find(key);
    if (value != nullptr && !value->is_array()) {
        report(key, "must be an array");
        return nullptr;
    }
    return value;
}

const json *JsonReader::object(const char *key)
{
    require(key, find(key));
    return optionalObject(key);
}

const json *JsonReader::array(const char *key)
{
    require(key, find(key));
    return optionalArray(key);
}

std::vector<std::string> JsonReader::optionalStrings(const char *key)
{
    std::vector<std::string> strings;
    const auto *value = optionalArray(key);
    if (value == nullptr) {
        return strings;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const auto &element = (*value)[i];
        if (!element.is_string()) {
            m_problems.push_back({.path = pathOf(key) + "[" + std::to_string(i) + "]", .text = "must be a string"});
            continue;
        }
        strings.push_back(element.get<std::string>());
    }
    return strings;
}

void JsonReader::report(const std::string &key, std::string text)
{
    m_problems.push_back({.path = pathOf(key), .text = std::move(text)});
}

std::string JsonReader::pathOf(const std::string &key) const
{
    return isIdentifier(key) ? m_path + "." + key : m_path + "[" + quoted(key) + "]";
}

void JsonReader::finish()
{
    if (m_value == nullptr) {
        return;
    }
    for (const auto &[key, value] : m_value->items()) {
        if (!m_knownKeys.contains(key)) {
            report(key, "is not a known key");
        }
    }
}

const json *JsonReader::find(const char *key)
{
    m_knownKeys.insert(key);
    if (m_value == nullptr) {
        return nullptr;
    }
    const auto it = m_value->find(key);
    return it != m_value->end() ? &*it : nullptr;
}

const json *JsonReader::require(const char *key, const json *found)
{
    if (found == nullptr && m_value != nullptr) {
        report(key, "is missing");
    }
    return found;
}

} // namespace Hornbeam
