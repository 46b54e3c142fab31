#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/store/keyvaluestore.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** One HTTP request to a store. */
struct StoreCall
{
    std::string method = "POST"; ///< GET, POST or DELETE.
    std::string path; ///< Includes the query, if there is one.
    std::string body;
};

/** A complete HTTP response of a store. */
struct StoreReply
{
    int status = 0; ///< HTTP status.
    std::string_view body;
    std::string_view generation{}; ///< Value of the header StoreProtocol::generationHeader(); empty without it.
};

/** One message of a watch. */
struct WatchMessage
{
    std::int64_t revision = 0; ///< Revision of the store when it sent the message.
    bool created = false; ///< The watch has started.
    bool cancelled = false; ///< The store ended the watch.
    std::int64_t compactRevision = 0; ///< Not 0 when the store no longer has the start revision.
    std::string cancelReason;
    std::vector<KeyValue> changes; ///< In the form described at WatchListener::changed().
    std::optional<StoreGeneration> generation{}; ///< Generation of the store when it sent the message, if known.
};

/**
 * Maps the operations of KeyValueStore to the HTTP API of one kind of store. Stateless; may be used from any thread.
 * Decoders return InvalidArgument for a malformed message, and the error that the reply reports if it reports one.
 */
class StoreProtocol
{
public:
    /** How a store delivers the changes of a watch. */
    enum class WatchStyle {
        Stream, ///< One unbounded response with one message per line.
        LongPoll, ///< One message per response; the next call continues after its revision.
    };

    virtual ~StoreProtocol() = default;

    virtual WatchStyle watchStyle() const = 0;

    /** How long the store holds back the response to a long poll while nothing changes; unused with Stream. */
    virtual std::chrono::milliseconds longPollWait() const = 0;

    /** Name of the response header that carries the generation of the store; empty if there is none. */
    virtual std::string generationHeader() const = 0;

    virtual StoreCall rangeCall(const RangeRequest &request) const = 0;

    /** InvalidArgument when the store does not support such a transaction. */
    virtual Result<StoreCall> commitCall(const Transaction &transaction) const = 0;
    virtual StoreCall grantLeaseCall(std::chrono::milliseconds timeToLive) const = 0;
    virtual StoreCall keepLeaseAliveCall(LeaseId lease) const = 0;
    virtual StoreCall revokeLeaseCall(LeaseId lease) const = 0;
    virtual StoreCall watchCall(const WatchRequest &request) const = 0;

    virtual Result<RangeResult> decodeRange(const RangeRequest &request, const StoreReply &reply) const = 0;
    virtual Result<TransactionResult> decodeCommit(const Transaction &transaction, const StoreReply &reply) const = 0;
    virtual Result<LeaseGrant> decodeLeaseGrant(const StoreReply &reply) const = 0;

    /** NotFound for a lease that has expired. */
    virtual Result<LeaseGrant> decodeKeepAlive(LeaseId lease, const StoreReply &reply) const = 0;
    virtual Result<bool> decodeRevoke(const StoreReply &reply) const = 0;

    /** Decodes one line of a stream or one response of a long poll. */
    virtual Result<WatchMessage> decodeWatch(const StoreReply &reply) const = 0;

    /** The error that the reply to a read or a watch reports. */
    virtual Error decodeError(const StoreReply &reply) const = 0;
};

} // namespace Hornbeam
