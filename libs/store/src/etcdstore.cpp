#include <hornbeam/store/etcdprotocol.h>
#include <hornbeam/store/etcdstore.h>
#include <hornbeam/store/storeprotocol.h>

namespace Hornbeam {

namespace {

constexpr int statusOk = 200;

/**
 * Implements StoreProtocol, through which HttpStore calls a store, with the paths and the functions of the namespace
 * EtcdProtocol, which encode and decode single messages.
 */
class EtcdStoreProtocol : public StoreProtocol
{
public:
    WatchStyle watchStyle() const override
    {
        return WatchStyle::Stream;
    }

    std::chrono::milliseconds longPollWait() const override
    {
        return std::chrono::milliseconds(0); // Unused with WatchStyle::Stream.
    }

    std::string generationHeader() const override
    {
        return {};
    }

    StoreCall rangeCall(const RangeRequest &request) const override
    {
        return {.path = EtcdProtocol::rangePath, .body = EtcdProtocol::encodeRangeRequest(request)};
    }

    Result<StoreCall> commitCall(const Transaction &transaction) const override
    {
        return StoreCall{.path = EtcdProtocol::transactionPath, .body = EtcdProtocol::encodeTransaction(transaction)};
    }

    StoreCall grantLeaseCall(std::chrono::milliseconds timeToLive) const override
    {
        // KeyValueStore::grantLease() takes whole seconds, so the conversion loses nothing.
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeToLive);
        return {.path = EtcdProtocol::leaseGrantPath, .body = EtcdProtocol::encodeLeaseGrantRequest(seconds)};
    }

    StoreCall keepLeaseAliveCall(LeaseId lease) const override
    {
        return {.path = EtcdProtocol::leaseKeepAlivePath, .body = EtcdProtocol::encodeLeaseRequest(lease)};
    }

    StoreCall revokeLeaseCall(LeaseId lease) const override
    {
        return {.path = EtcdProtocol::leaseRevokePath, .body = EtcdProtocol::encodeLeaseRequest(lease)};
    }

    StoreCall watchCall(const WatchRequest &request) const override
    {
        return {.path = EtcdProtocol::watchPath, .body = EtcdProtocol::encodeWatchRequest(request)};
    }

    Result<RangeResult> decodeRange(const RangeRequest & /*request*/, const StoreReply &reply) const override
    {
        return reply.status == statusOk ? EtcdProtocol::decodeRangeResult(reply.body) : failure<RangeResult>(reply);
    }

    Result<TransactionResult> decodeCommit(const Transaction & /*transaction*/, const StoreReply &reply) const override
    {
        return reply.status == statusOk ? EtcdProtocol::decodeTransactionResult(reply.body)
                                        : failure<TransactionResult>(reply, true);
    }

    Result<LeaseGrant> decodeLeaseGrant(const StoreReply &reply) const override
    {
        return reply.status == statusOk ? EtcdProtocol::decodeLeaseGrant(reply.body) : failure<LeaseGrant>(reply, true);
    }

    Result<LeaseGrant> decodeKeepAlive(LeaseId /*lease*/, const StoreReply &reply) const override
    {
        return reply.status == statusOk ? EtcdProtocol::decodeKeepAlive(reply.body) : failure<LeaseGrant>(reply, true);
    }

    Result<bool> decodeRevoke(const StoreReply &reply) const override
    {
        return reply.status == statusOk ? Result<bool>(true) : failure<bool>(reply, true);
    }

    Result<WatchMessage> decodeWatch(const StoreReply &reply) const override
    {
        // HttpStore decodes the lines of a stream only when its status is 200; for others it calls decodeError().
        return EtcdProtocol::decodeWatchMessage(reply.body);
    }

    Error decodeError(const StoreReply &reply) const override
    {
        return EtcdProtocol::decodeError(reply.status, reply.body, false);
    }

private:
    template <typename T>
    static Result<T> failure(const StoreReply &reply, bool write = false)
    {
        return tl::unexpected(EtcdProtocol::decodeError(reply.status, reply.body, write));
    }
};

} // namespace

Result<std::unique_ptr<HttpStore>> EtcdStore::make(EtcdStoreOptions options,
                                                   Executor &executor,
                                                   MetricsRegistry &metrics)
{
    return HttpStore::make(std::move(options), std::make_unique<EtcdStoreProtocol>(), executor, metrics);
}

} // namespace Hornbeam
