#include <hornbeam/store/etcdprotocol.h>

#include <hornbeam/store/base64.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <stdexcept>
#include <utility>

namespace Hornbeam::EtcdProtocol {

namespace {

using Json = nlohmann::json;

/** Codes of google.rpc.Code that the gateway puts into error bodies. */
enum GrpcCode {
    InvalidArgumentCode = 3,
    NotFoundCode = 5,
    ResourceExhaustedCode = 8,
    InternalCode = 13,
    UnavailableCode = 14,
};

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusInternal = 500;
constexpr int statusUnavailable = 503;

/** Parses @p text and decodes it with @p read. Returns InvalidArgument for malformed JSON and for unexpected types. */
template <typename T, typename Read>
Result<T> decode(std::string_view text, Read read)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return makeError(ErrorCode::InvalidArgument, "malformed message: not a JSON object");
    }
    try {
        return read(json);
    } catch (const std::exception &error) {
        return makeError(ErrorCode::InvalidArgument, std::string("malformed message: ") + error.what());
    }
}

std::int64_t integer(const Json &json, const char *name)
{
    const auto it = json.find(name);
    if (it == json.end()) {
        return 0;
    }
    return it->is_string() ? std::stoll(it->get_ref<const std::string &>()) : it->get<std::int64_t>();
}

bool boolean(const Json &json, const char *name)
{
    return json.value(name, false);
}

std::string bytes(const Json &json, const char *name)
{
    const auto it = json.find(name);
    if (it == json.end()) {
        return {};
    }
    auto decoded = decodeBase64(it->get_ref<const std::string &>());
    if (!decoded) {
        throw std::invalid_argument(std::string(name) + " is not base64");
    }
    return std::move(*decoded);
}

const Json &member(const Json &json, const char *name)
{
    static const Json empty = Json::object();
    const auto it = json.find(name);
    return it == json.end() ? empty : *it;
}

const Json &list(const Json &json, const char *name)
{
    static const Json empty = Json::array();
    const auto it = json.find(name);
    return it == json.end() ? empty : *it;
}

void setInteger(Json &json, const char *name, std::int64_t value)
{
    if (value != 0) {
        json[name] = std::to_string(value);
    }
}

void setBytes(Json &json, const char *name, const std::string &value)
{
    if (!value.empty()) {
        json[name] = encodeBase64(value);
    }
}

/** The end of the range of keys that start with @p prefix: the prefix with its last byte incremented. */
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0'); // In etcd, a range end of one zero byte selects all keys from the start on.
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

/** Writes the range of a prefix. etcd rejects an empty key, so the range of all keys starts at the key "\0". */
void setPrefix(Json &json, const std::string &prefix)
{
    setBytes(json, "key", prefix.empty() ? std::string(1, '\0') : prefix);
    setBytes(json, "range_end", prefixEnd(prefix));
}

std::string readPrefix(const Json &json)
{
    auto key = bytes(json, "key");
    if (key == std::string(1, '\0')) {
        key.clear();
    }
    if (bytes(json, "range_end") != prefixEnd(key)) {
        throw std::invalid_argument("only ranges of one key or one prefix are supported");
    }
    return key;
}

Json header(std::int64_t revision, std::optional<StoreGeneration> generation = {})
{
    Json json = Json::object();
    setInteger(json, "revision", revision);
    if (generation) {
        json["cluster_id"] = std::to_string(*generation);
    }
    return json;
}

std::int64_t headerRevision(const Json &json)
{
    return integer(member(json, "header"), "revision");
}

/** The cluster id, which is a new one when a cluster is restored from a snapshot under another cluster token. */
std::optional<StoreGeneration> headerGeneration(const Json &json)
{
    const auto &head = member(json, "header");
    const auto it = head.find("cluster_id");
    if (it == head.end()) {
        return std::nullopt;
    }
    return it->is_string() ? std::stoull(it->get_ref<const std::string &>()) : it->get<StoreGeneration>();
}

Json toJson(const KeyValue &entry)
{
    Json json = Json::object();
    setBytes(json, "key", entry.key);
    setBytes(json, "value", entry.value);
    setInteger(json, "create_revision", entry.createRevision);
    setInteger(json, "mod_revision", entry.modRevision);
    setInteger(json, "lease", entry.lease);
    return json;
}

KeyValue readKeyValue(const Json &json)
{
    return {.key = bytes(json, "key"),
            .value = bytes(json, "value"),
            .createRevision = integer(json, "create_revision"),
            .modRevision = integer(json, "mod_revision"),
            .lease = integer(json, "lease")};
}

std::vector<KeyValue> readKeyValues(const Json &json, const char *name)
{
    std::vector<KeyValue> entries;
    for (const auto &it : list(json, name)) {
        entries.push_back(readKeyValue(it));
    }
    return entries;
}

Json toJson(const std::vector<KeyValue> &entries)
{
    Json json = Json::array();
    for (const auto &entry : entries) {
        json.push_back(toJson(entry));
    }
    return json;
}

Json toJson(const Compare &compare)
{
    const bool created = compare.field == Compare::Field::CreateRevision;
    Json json = {{"result", "EQUAL"}, {"target", created ? "CREATE" : "MOD"}};
    setBytes(json, "key", compare.key);
    // Written even when it is 0, because etcd requires the field that the target names.
    json[created ? "create_revision" : "mod_revision"] = std::to_string(compare.revision);
    return json;
}

Compare readCompare(const Json &json)
{
    const auto target = json.at("target").get<std::string>();
    if (json.value("result", "EQUAL") != "EQUAL" || (target != "CREATE" && target != "MOD")) {
        throw std::invalid_argument("only comparisons for equality of create or mod revisions are supported");
    }
    const bool created = target == "CREATE";
    return {.key = bytes(json, "key"),
            .field = created ? Compare::Field::CreateRevision : Compare::Field::ModRevision,
            .revision = integer(json, created ? "create_revision" : "mod_revision")};
}

Json toJson(const Transaction &transaction);

Json toJson(const Operation &operation)
{
    Json body = Json::object();
    switch (operation.kind) {
    case Operation::Kind::Put:
        setBytes(body, "key", operation.key);
        setBytes(body, "value", operation.value);
        setInteger(body, "lease", operation.lease);
        return {{"request_put", std::move(body)}};
    case Operation::Kind::Get:
        setBytes(body, "key", operation.key);
        return {{"request_range", std::move(body)}};
    case Operation::Kind::Delete:
        setBytes(body, "key", operation.key);
        return {{"request_delete_range", std::move(body)}};
    case Operation::Kind::Nested:
        break;
    }
    return {{"request_txn", toJson(operation.nested.front())}};
}

Json toJson(const std::vector<Operation> &operations)
{
    Json json = Json::array();
    for (const auto &operation : operations) {
        json.push_back(toJson(operation));
    }
    return json;
}

Json toJson(const Transaction &transaction)
{
    Json compares = Json::array();
    for (const auto &compare : transaction.compares) {
        compares.push_back(toJson(compare));
    }
    Json json = Json::object();
    const auto setList = [&json](const char *name, Json items) {
        if (!items.empty()) {
            json[name] = std::move(items);
        }
    };
    setList("compare", std::move(compares));
    setList("success", toJson(transaction.success));
    setList("failure", toJson(transaction.failure));
    return json;
}

Transaction readTransaction(const Json &json);

Operation readOperation(const Json &json)
{
    const auto singleKey = [](const Json &body) {
        if (body.contains("range_end")) {
            throw std::invalid_argument("only operations on one key are supported in a transaction");
        }
        return bytes(body, "key");
    };
    if (const auto it = json.find("request_put"); it != json.end()) {
        return Operation::put(bytes(*it, "key"), bytes(*it, "value"), integer(*it, "lease"));
    }
    if (const auto it = json.find("request_range"); it != json.end()) {
        return Operation::get(singleKey(*it));
    }
    if (const auto it = json.find("request_delete_range"); it != json.end()) {
        return Operation::remove(singleKey(*it));
    }
    return Operation::transaction(readTransaction(json.at("request_txn")));
}

Transaction readTransaction(const Json &json)
{
    Transaction transaction;
    for (const auto &it : list(json, "compare")) {
        transaction.compares.push_back(readCompare(it));
    }
    for (const auto &it : list(json, "success")) {
        transaction.success.push_back(readOperation(it));
    }
    for (const auto &it : list(json, "failure")) {
        transaction.failure.push_back(readOperation(it));
    }
    return transaction;
}

Json toJson(const Transaction &transaction, const TransactionResult &result);

Json toJson(const Operation &operation, const OperationResult &result, std::int64_t revision)
{
    Json body = {{"header", header(revision)}};
    switch (operation.kind) {
    case Operation::Kind::Put:
        return {{"response_put", std::move(body)}};
    case Operation::Kind::Get:
        if (!result.entries.empty()) {
            body["kvs"] = toJson(result.entries);
            setInteger(body, "count", static_cast<std::int64_t>(result.entries.size()));
        }
        return {{"response_range", std::move(body)}};
    case Operation::Kind::Delete:
        return {{"response_delete_range", std::move(body)}};
    case Operation::Kind::Nested:
        break;
    }
    return {{"response_txn", toJson(operation.nested.front(), result.nested.front())}};
}

Json toJson(const Transaction &transaction, const TransactionResult &result)
{
    Json json = {{"header", header(result.revision, result.generation)}};
    if (result.succeeded) {
        json["succeeded"] = true;
    }
    const auto &operations = result.succeeded ? transaction.success : transaction.failure;
    Json responses = Json::array();
    for (std::size_t i = 0; i < result.results.size(); ++i) {
        responses.push_back(toJson(operations[i], result.results[i], result.revision));
    }
    if (!responses.empty()) {
        json["responses"] = std::move(responses);
    }
    return json;
}

TransactionResult readTransactionResult(const Json &json);

OperationResult readOperationResult(const Json &json)
{
    OperationResult result;
    if (const auto it = json.find("response_range"); it != json.end()) {
        result.entries = readKeyValues(*it, "kvs");
    } else if (const auto nested = json.find("response_txn"); nested != json.end()) {
        result.nested.push_back(readTransactionResult(*nested));
    }
    return result;
}

TransactionResult readTransactionResult(const Json &json)
{
    TransactionResult result{.succeeded = boolean(json, "succeeded"),
                             .revision = headerRevision(json),
                             .results = {},
                             .generation = headerGeneration(json)};
    for (const auto &it : list(json, "responses")) {
        result.results.push_back(readOperationResult(it));
    }
    return result;
}

Json leaseGrantJson(const LeaseGrant &grant, std::int64_t revision)
{
    Json json = {{"header", header(revision, grant.generation)}};
    setInteger(json, "ID", grant.id);
    setInteger(json, "TTL", grant.timeToLive.count());
    return json;
}

LeaseGrant readLeaseGrant(const Json &json)
{
    return {.id = integer(json, "ID"),
            .timeToLive = std::chrono::seconds(integer(json, "TTL")),
            .generation = headerGeneration(json)};
}

/** Returns the message inside a stream's envelope, which has "error" instead of "result" when the stream failed. */
const Json &streamResult(const Json &json)
{
    return json.at("result");
}

int grpcCode(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return InvalidArgumentCode;
    case ErrorCode::NotFound:
        return NotFoundCode;
    case ErrorCode::Overloaded:
        return ResourceExhaustedCode;
    case ErrorCode::Unavailable:
    case ErrorCode::OutcomeUnknown:
        return UnavailableCode;
    default:
        return InternalCode;
    }
}

} // namespace

std::string encodeRangeRequest(const RangeRequest &request)
{
    Json json = Json::object();
    if (request.prefix) {
        setPrefix(json, request.key);
    } else {
        setBytes(json, "key", request.key);
    }
    setInteger(json, "limit", request.limit);
    if (request.keysOnly) {
        json["keys_only"] = true;
    }
    return json.dump();
}

std::string encodeTransaction(const Transaction &transaction)
{
    return toJson(transaction).dump();
}

std::string encodeLeaseGrantRequest(std::chrono::seconds timeToLive)
{
    return Json{{"TTL", std::to_string(timeToLive.count())}}.dump();
}

std::string encodeLeaseRequest(LeaseId lease)
{
    return Json{{"ID", std::to_string(lease)}}.dump();
}

std::string encodeWatchRequest(const WatchRequest &request)
{
    Json create = {{"progress_notify", true}};
    setPrefix(create, request.prefix);
    setInteger(create, "start_revision", request.startRevision);
    return Json{{"create_request", std::move(create)}}.dump();
}

Result<RangeRequest> decodeRangeRequest(std::string_view text)
{
    return decode<RangeRequest>(text, [](const Json &json) {
        RangeRequest request{.key = {},
                             .prefix = json.contains("range_end"),
                             .limit = integer(json, "limit"),
                             .keysOnly = boolean(json, "keys_only")};
        request.key = request.prefix ? readPrefix(json) : bytes(json, "key");
        return request;
    });
}

Result<Transaction> decodeTransaction(std::string_view text)
{
    return decode<Transaction>(text, readTransaction);
}

Result<std::chrono::seconds> decodeLeaseGrantRequest(std::string_view text)
{
    return decode<std::chrono::seconds>(text,
                                        [](const Json &json) { return std::chrono::seconds(integer(json, "TTL")); });
}

Result<LeaseId> decodeLeaseRequest(std::string_view text)
{
    return decode<LeaseId>(text, [](const Json &json) { return integer(json, "ID"); });
}

Result<WatchRequest> decodeWatchRequest(std::string_view text)
{
    return decode<WatchRequest>(text, [](const Json &json) {
        const auto &create = json.at("create_request");
        return WatchRequest{.prefix = readPrefix(create), .startRevision = integer(create, "start_revision")};
    });
}

std::string encodeRangeResult(const RangeResult &result)
{
    Json json = {{"header", header(result.revision, result.generation)}};
    if (!result.entries.empty()) {
        json["kvs"] = toJson(result.entries);
        setInteger(json, "count", static_cast<std::int64_t>(result.entries.size()));
    }
    return json.dump();
}

std::string encodeTransactionResult(const Transaction &transaction, const TransactionResult &result)
{
    return toJson(transaction, result).dump();
}

std::string encodeLeaseGrant(const LeaseGrant &grant, std::int64_t revision)
{
    return leaseGrantJson(grant, revision).dump();
}

std::string encodeKeepAlive(const LeaseGrant &grant, std::int64_t revision)
{
    return Json{{"result", leaseGrantJson(grant, revision)}}.dump() + "\n";
}

std::string encodeLeaseRevoked(std::int64_t revision)
{
    return Json{{"header", header(revision)}}.dump();
}

std::string encodeWatchMessage(const WatchMessage &message)
{
    Json result = {{"header", header(message.revision, message.generation)}};
    if (message.created) {
        result["created"] = true;
    }
    if (message.cancelled) {
        result["canceled"] = true;
        setInteger(result, "compact_revision", message.compactRevision);
        result["cancel_reason"] = message.cancelReason;
    }
    for (const auto &change : message.changes) {
        Json event = {{"kv", toJson(change)}};
        if (change.createRevision == 0) {
            event["type"] = "DELETE";
        }
        result["events"].push_back(std::move(event));
    }
    return Json{{"result", std::move(result)}}.dump() + "\n";
}

Result<RangeResult> decodeRangeResult(std::string_view text)
{
    return decode<RangeResult>(text, [](const Json &json) {
        return RangeResult{.entries = readKeyValues(json, "kvs"),
                           .revision = headerRevision(json),
                           .generation = headerGeneration(json)};
    });
}

Result<TransactionResult> decodeTransactionResult(std::string_view text)
{
    return decode<TransactionResult>(text, readTransactionResult);
}

Result<LeaseGrant> decodeLeaseGrant(std::string_view text)
{
    return decode<LeaseGrant>(text, readLeaseGrant);
}

Result<LeaseGrant> decodeKeepAlive(std::string_view text)
{
    auto grant = decode<LeaseGrant>(text.substr(0, text.find('\n')),
                                    [](const Json &json) { return readLeaseGrant(streamResult(json)); });
    if (grant && grant->timeToLive <= std::chrono::seconds(0)) {
        return makeError(ErrorCode::NotFound, "the lease has expired");
    }
    return grant;
}

Result<WatchMessage> decodeWatchMessage(std::string_view text)
{
    return decode<WatchMessage>(text, [](const Json &json) {
        const auto &result = streamResult(json);
        WatchMessage message;
        message.revision = headerRevision(result);
        message.generation = headerGeneration(result);
        message.created = boolean(result, "created");
        message.cancelled = boolean(result, "canceled");
        message.compactRevision = integer(result, "compact_revision");
        message.cancelReason = result.value("cancel_reason", "");
        for (const auto &event : list(result, "events")) {
            message.changes.push_back(readKeyValue(event.at("kv")));
        }
        return message;
    });
}

std::string encodeError(const Error &error)
{
    return Json{{"code", grpcCode(error.code())}, {"message", error.message()}}.dump();
}

int httpStatus(const Error &error)
{
    switch (error.code()) {
    case ErrorCode::InvalidArgument:
        return statusBadRequest;
    case ErrorCode::NotFound:
        return statusNotFound;
    case ErrorCode::Overloaded:
        return statusTooManyRequests;
    case ErrorCode::Unavailable:
    case ErrorCode::OutcomeUnknown:
        return statusUnavailable;
    default:
        return statusInternal;
    }
}

Error decodeError(int status, std::string_view body, bool write)
{
    std::int64_t code = 0;
    std::string message = "HTTP status " + std::to_string(status);
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object()) {
        if (const auto it = json.find("code"); it != json.end() && it->is_number_integer()) {
            code = it->get<std::int64_t>();
        }
        if (const auto it = json.find("message"); it != json.end() && it->is_string()) {
            message += ": " + it->get<std::string>();
        }
    }
    if (status == statusTooManyRequests || code == ResourceExhaustedCode) {
        return {ErrorCode::Overloaded, std::move(message)};
    }
    if (status == statusNotFound) {
        return {ErrorCode::NotFound, std::move(message)};
    }
    if (status < statusInternal && status != statusOk) {
        return {ErrorCode::InvalidArgument, std::move(message)};
    }
    return {write ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, std::move(message)};
}

} // namespace Hornbeam::EtcdProtocol
