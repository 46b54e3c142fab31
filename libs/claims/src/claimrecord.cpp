#include "claimrecord.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <limits>
#include <stdexcept>
#include <vector>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

/** Levels of a valid record: the record, its response, the list of headers, and a header. */
constexpr int maxDepth = 4;

constexpr int minStatus = 100;
constexpr int maxStatus = 999;

/** Accepts a document of limited depth. The decoder of the library recurses, so that a deeper one overflows the stack.
 */
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
    bool null() override
    {
        return true;
    }

    bool boolean(bool /*value*/) override
    {
        return true;
    }

    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }

    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }

    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return true;
    }

    bool string(string_t & /*value*/) override
    {
        return true;
    }

    bool binary(binary_t & /*value*/) override
    {
        return true;
    }

    bool key(string_t & /*value*/) override
    {
        return true;
    }

    bool start_object(std::size_t /*elements*/) override
    {
        return ++m_depth <= maxDepth;
    }

    bool start_array(std::size_t /*elements*/) override
    {
        return ++m_depth <= maxDepth;
    }

    bool end_object() override
    {
        --m_depth;
        return true;
    }

    bool end_array() override
    {
        --m_depth;
        return true;
    }

    bool parse_error(std::size_t /*position*/,
                     const std::string & /*lastToken*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    int m_depth = 0;
};

/** Reads a number in the given range. Throws for any other value. */
std::int64_t readInteger(const Json &json, std::int64_t minimum, std::int64_t maximum)
{
    const bool fits = json.is_number_integer()
        && !(json.is_number_unsigned()
             && json.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    const auto value = fits ? json.get<std::int64_t>() : maximum;
    if (!fits || value < minimum || value > maximum) {
        throw std::out_of_range("number out of range");
    }
    return value;
}

Json toBinary(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string fromBinary(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json toJson(const RecordedResponse &response)
{
    Json headers = Json::array();
    for (const auto &header : response.headers) {
        headers.push_back({toBinary(header.name), toBinary(header.value)});
    }
    return {{"status", response.status},
            {"headers", std::move(headers)},
            {"body", toBinary(response.body)},
            {"omitted", response.bodyOmitted}};
}

RecordedResponse readResponse(const Json &json)
{
    RecordedResponse response;
    response.status = static_cast<int>(readInteger(json.at("status"), minStatus, maxStatus));
    for (const auto &header : json.at("headers")) {
        response.headers.push_back({.name = fromBinary(header.at(0)), .value = fromBinary(header.at(1))});
    }
    response.body = fromBinary(json.at("body"));
    response.bodyOmitted = json.at("omitted").get<bool>();
    return response;
}

} // namespace

std::string ClaimRecord::encode() const
{
    Json json = {{"state", static_cast<int>(state)}, {"attempt", attempt}, {"deadline", deadlineMs}};
    if (state == ClaimState::Completed) {
        json["response"] = toJson(response);
    }
    const auto bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

std::optional<ClaimRecord> ClaimRecord::decode(std::string_view bytes)
{
    DepthCheck check;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor)) {
        return std::nullopt;
    }
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try {
        ClaimRecord record;
        record.state =
            static_cast<ClaimState>(readInteger(json.at("state"), 0, static_cast<int>(ClaimState::Released)));
        record.attempt = json.at("attempt").get<std::string>();
        record.deadlineMs = readInteger(json.at("deadline"), 0, std::numeric_limits<std::int64_t>::max());
        if (record.state == ClaimState::Completed) {
            record.response = readResponse(json.at("response"));
        }
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Hornbeam
