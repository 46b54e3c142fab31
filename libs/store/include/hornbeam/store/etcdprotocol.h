#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/store/keyvaluestore.h>
#include <hornbeam/store/storeprotocol.h>
#include <hornbeam/store/transaction.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/**
 * Encoders and decoders for the messages of the etcd v3 JSON gateway: keys and values are base64, 64-bit integers are
 * strings, and fields with default values are omitted. Decoders return InvalidArgument for a malformed message.
 */
namespace Hornbeam::EtcdProtocol {

inline constexpr const char *rangePath = "/v3/kv/range";
inline constexpr const char *transactionPath = "/v3/kv/txn";
inline constexpr const char *leaseGrantPath = "/v3/lease/grant";
inline constexpr const char *leaseKeepAlivePath = "/v3/lease/keepalive";
inline constexpr const char *leaseRevokePath = "/v3/lease/revoke";
inline constexpr const char *watchPath = "/v3/watch";

std::string encodeRangeRequest(const RangeRequest &request);
std::string encodeTransaction(const Transaction &transaction);
std::string encodeLeaseGrantRequest(std::chrono::seconds timeToLive);
std::string encodeLeaseRequest(LeaseId lease);
std::string encodeWatchRequest(const WatchRequest &request);

Result<RangeRequest> decodeRangeRequest(std::string_view text);
Result<Transaction> decodeTransaction(std::string_view text);
Result<std::chrono::seconds> decodeLeaseGrantRequest(std::string_view text);
Result<LeaseId> decodeLeaseRequest(std::string_view text);
Result<WatchRequest> decodeWatchRequest(std::string_view text);

std::string encodeRangeResult(const RangeResult &result);

/** Encodes the result of @p transaction, whose operations determine the types of the responses. */
std::string encodeTransactionResult(const Transaction &transaction, const TransactionResult &result);
std::string encodeLeaseGrant(const LeaseGrant &grant, std::int64_t revision);

/** Encodes one message of the keep-alive stream; a time to live of 0 reports an expired lease. */
std::string encodeKeepAlive(const LeaseGrant &grant, std::int64_t revision);
std::string encodeLeaseRevoked(std::int64_t revision);
std::string encodeWatchMessage(const WatchMessage &message);

Result<RangeResult> decodeRangeResult(std::string_view text);
Result<TransactionResult> decodeTransactionResult(std::string_view text);
Result<LeaseGrant> decodeLeaseGrant(std::string_view text);

/** Decodes the first message of a keep-alive stream. NotFound for an expired lease. */
Result<LeaseGrant> decodeKeepAlive(std::string_view text);
Result<WatchMessage> decodeWatchMessage(std::string_view text);

/** Encodes the gateway's error body with the gRPC status code for @p error. */
std::string encodeError(const Error &error);

/** The HTTP status that the gateway sends for @p error. */
int httpStatus(const Error &error);

/**
 * Maps an HTTP status other than 200 and the gateway's error body to an error. For a write, a status of 500 or above
 * becomes OutcomeUnknown: etcd also reports its own timeouts in this way, and such a write may still take effect.
 */
Error decodeError(int status, std::string_view body, bool write);

} // namespace Hornbeam::EtcdProtocol
