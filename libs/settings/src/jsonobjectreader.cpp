#include "jsonobjectreader.h"

#include <algorithm>

namespace Hornbeam {

namespace {

constexpr std::size_t maxNameLength = 128;
const nlohmann::json emptyObject = nlohmann::json::object();

// Names become parts of store keys and metric labels, so their characters are restricted.
bool isName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

JsonObjectReader::JsonObjectReader(const nlohmann::json &value,
                                   std::string path,
                                   std::vector<SettingsProblem> &problems)
    : m_value(value.is_object() ? value : emptyObject)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!value.is_object()) {
        m_problems.push_back({.jsonPath = m_path, .text = "must be an object"});
    }
}

JsonObjectReader::~JsonObjectReader()
{
    for (const auto &[key, value] : m_value.items()) {
        if (!m_known.contains(key)) {
            m_problems.push_back({.jsonPath = pathOf(key), .text = "is not a known setting"});
        }
    }
}

JsonObjectReader JsonObjectReader::object(const char *key)
{
    const auto *value = require(key);
    return {value != nullptr ? *value : emptyObject, pathOf(key), m_problems};
}

JsonObjectReader JsonObjectReader::optionalObject(const char *key)
{
    const auto *value = find(key);
    return {value != nullptr ? *value : emptyObject, pathOf(key), m_problems};
}

std::string JsonObjectReader::requiredName(const char *key)
{
    const auto *value = require(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !isName(value->get_ref<const std::string &>())) {
        report(key, "must be a string of 1 to 128 characters of a-z, 0-9 and '-'");
        return {};
    }
    return value->get<std::string>();
}

Endpoint JsonObjectReader::requiredEndpoint(const char *key)
{
    const auto *value = require(key);
    return value != nullptr ? parseEndpoint(*value, pathOf(key)) : Endpoint();
}

std::optional<Endpoint> JsonObjectReader::optionalEndpoint(const char *key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    return parseEndpoint(*value, pathOf(key));
}

std::vector<Endpoint> JsonObjectReader::endpoints(const char *key, std::size_t minimumCount)
{
    const auto *value = minimumCount > 0 ? require(key) : find(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_array() || value->size() < minimumCount) {
        report(key, "must be an array of at least " + std::to_string(minimumCount) + " endpoints");
        return {};
    }
    std::vector<Endpoint> result;
    for (std::size_t i = 0; i < value->size(); ++i) {
        result.push_back(parseEndpoint((*value)[i], pathOf(key) + "[" + std::to_string(i) + "]"));
    }
    return result;
}

std::int64_t JsonObjectReader::integer(const char *key, std::int64_t defaultValue, IntegerRange range)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_number_integer()) {
        report(key, "must be an integer");
        return defaultValue;
    }
    // A number above the signed range would wrap to a negative one.
    const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    const auto n = tooLarge ? INT64_MAX : value->get<std::int64_t>();
    if (n < range.minimum || n > range.maximum) {
        report(key, "must be between " + std::to_string(range.minimum) + " and " + std::to_string(range.maximum));
        return defaultValue;
    }
    return n;
}

std::optional<std::string> JsonObjectReader::optionalString(const char *key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        report(key, "must be a string");
        return std::nullopt;
    }
    return value->get<std::string>();
}

void JsonObjectReader::report(const char *key, std::string text)
{
    m_problems.push_back({.jsonPath = pathOf(key), .text = std::move(text)});
}

const nlohmann::json *JsonObjectReader::find(const char *key)
{
    m_known.insert(key);
    const auto it = m_value.find(key);
    return it != m_value.end() ? &*it : nullptr;
}

const nlohmann::json *JsonObjectReader::require(const char *key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        report(key, "is required");
    }
    return value;
}

std::string JsonObjectReader::pathOf(const std::string &key) const
{
    return m_path + "." + key;
}

Endpoint JsonObjectReader::parseEndpoint(const nlohmann::json &value, const std::string &path)
{
    if (!value.is_string()) {
        m_problems.push_back({.jsonPath = path, .text = "must be a string \"IP:PORT\""});
        return {};
    }
    const auto endpoint = Endpoint::parse(value.get<std::string>());
    if (!endpoint) {
        m_problems.push_back({.jsonPath = path, .text = endpoint.error().message()});
        return {};
    }
    return *endpoint;
}

} // namespace Hornbeam
