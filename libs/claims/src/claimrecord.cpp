#include "claimrecord.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <vector>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

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
    response.status = json.at("status").get<int>();
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
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try {
        ClaimRecord record;
        const int state = json.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(ClaimState::Released)) {
            return std::nullopt;
        }
        record.state = static_cast<ClaimState>(state);
        record.attempt = json.at("attempt").get<std::string>();
        record.deadlineMs = json.at("deadline").get<std::int64_t>();
        if (record.state == ClaimState::Completed) {
            record.response = readResponse(json.at("response"));
        }
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Hornbeam
