#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/store/keyvaluestore.h>

#include <chrono>
#include <string>
#include <string_view>

namespace Hornbeam {

/** One HTTP call to a store. */
struct StoreCall
{
    std::string method = "POST"; ///< GET, POST or DELETE.
    std::string path; ///< With the query, if there is one.
    std::string body;
};

/** An answer of a store whose transfer was complete. */
struct StoreReply
{
    int status = 0; ///< HTTP status.
    std::string_view body;
};

/** One message of a watch. */
struct WatchMessage
{
    std::int64_t revision = 0; ///< Revision of the store when it sent the message.
    bool created = false; ///< The watch has started.
    bool cancelled = false; ///< The store ended the watch.
    std::int64_t compactRevision = 0; ///< Set when the start revision is no longer available.
    std::string cancelReason;
    std::vector<KeyValue> changes; ///< As WatchListener::changed() receives them.
};

/**
 * Maps the operations of KeyValueStore to the HTTP messages of one kind of store. Stateless; used from any thread.
 * Decoders return InvalidArgument for text that is not such a message, and otherwise the error that the reply reports.
 */
class StoreProtocol
{
public:
    /** How a store delivers the changes of a watch. */
    enum class WatchStyle {
        Stream, ///< One response without end, one message a line.
        LongPoll, ///< One message a response; the next call continues after its revision.
    };

    virtual ~StoreProtocol() = default;

    virtual WatchStyle watchStyle() const = 0;

    /** Longest time that a store which polls long holds an answer back; without meaning for a stream. */
    virtual std::chrono::milliseconds watchWait() const = 0;

    virtual StoreCall rangeCall(const RangeRequest &request) const = 0;

    /** InvalidArgument when the store has no such transactions. */
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

    /** The error that a reply reports for a call that is not a write. */
    virtual Error decodeError(const StoreReply &reply) const = 0;
};

} // namespace Hornbeam
