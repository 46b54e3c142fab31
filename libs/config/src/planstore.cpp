#include "planstore.h"

#include "compression.h"
#include "wire.h"

#include <config.pb.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace Hornbeam {

namespace {

// Below the store's limit of 1 MB per value, also after the base64 encoding of its JSON gateway.
constexpr std::size_t maxPartBytes = 512U << 10;

// A plan contains its intent, of at most 4 MB, and the changes with both the old and the new form of the resources.
constexpr std::size_t maxPlanBytes = 64U << 20;

constexpr std::uint32_t maxParts = maxPlanBytes / maxPartBytes;

// Every attempt writes the same value, so a write with unknown outcome can be repeated.
constexpr int maxWriteAttempts = 3;

std::string partKey(const std::string &id, std::uint32_t part)
{
    return part == 0 ? PlanStore::planKey(id) : PlanStore::planKey(id) + "/part/" + std::to_string(part);
}

/** Returns the encoded parts of a plan, in order. */
std::vector<std::string> partsOf(const Plan &plan)
{
    const auto packed = packBytes(plan.toJson());
    const auto count = std::max<std::size_t>(1, (packed.size() + maxPartBytes - 1) / maxPartBytes);
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < count; ++i) {
        Wire::PlanPart part;
        part.set_part_count(static_cast<std::uint32_t>(count));
        part.set_body(packed.substr(i * maxPartBytes, maxPartBytes));
        parts.push_back(part.SerializeAsString());
    }
    return parts;
}

/** Writes the parts of a plan under a new lease. Keeps itself alive until its callback has run. */
class WritePlanOperation : public std::enable_shared_from_this<WritePlanOperation>
{
public:
    WritePlanOperation(KeyValueStore &store,
                       std::string id,
                       std::vector<std::string> parts,
                       PlanStore::Callback<bool> callback)
        : m_store(store)
        , m_id(std::move(id))
        , m_parts(std::move(parts))
        , m_callback(std::move(callback))
    {
    }

    void start(std::chrono::seconds lifetime)
    {
        m_store.grantLease(lifetime, [self = shared_from_this()](const Result<LeaseGrant> &lease) {
            if (!lease) {
                // The lease may have been granted. Without a plan it has no effect, and it expires.
                self->fail(lease.error());
                return;
            }
            self->m_lease = lease->id;
            self->writeNext();
        });
    }

private:
    void writeNext()
    {
        if (m_parts.empty()) {
            m_callback(true);
            return;
        }
        // The first part makes the plan visible, so it is written last.
        const auto part = static_cast<std::uint32_t>(m_parts.size() - 1);
        Transaction transaction;
        transaction.success.push_back(Operation::put(partKey(m_id, part), m_parts.back(), m_lease));
        m_store.commit(std::move(transaction),
                       [self = shared_from_this()](const Result<TransactionResult> &result) { self->written(result); });
    }

    void written(const Result<TransactionResult> &result)
    {
        if (result) {
            m_parts.pop_back();
            m_attempts = 0;
            writeNext();
            return;
        }
        if (result.error().code() == ErrorCode::OutcomeUnknown && ++m_attempts < maxWriteAttempts) {
            writeNext();
            return;
        }
        fail(result.error());
    }

    void fail(const Error &error)
    {
        // The plan may have been written, but its id is never returned, so it cannot take effect.
        const bool unknown = error.code() == ErrorCode::OutcomeUnknown;
        m_callback(makeError(unknown ? ErrorCode::Unavailable : error.code(), error.message()));
    }

    KeyValueStore &m_store;
    std::string m_id;
    std::vector<std::string> m_parts;
    PlanStore::Callback<bool> m_callback;
    LeaseId m_lease = 0;
    int m_attempts = 0;
};

/** Reads the parts of a plan and decodes it. Keeps itself alive until its callback has run. */
class LoadPlanOperation : public std::enable_shared_from_this<LoadPlanOperation>
{
public:
    LoadPlanOperation(KeyValueStore &store, std::string firstKey, PlanStore::Callback<Plan> callback)
        : m_store(store)
        , m_firstKey(std::move(firstKey))
        , m_callback(std::move(callback))
    {
    }

    void received(const std::string &value)
    {
        Wire::PlanPart part;
        if (!parseWire(part, value) || part.part_count() == 0 || part.part_count() > maxParts) {
            m_callback(makeError(ErrorCode::Internal, "the plan in the store is malformed"));
            return;
        }
        m_packed += part.body();
        if (++m_received < part.part_count()) {
            readNext();
            return;
        }
        const auto json = unpackBytes(m_packed, maxPlanBytes);
        auto plan = json ? Plan::fromJson(*json) : tl::unexpected(json.error());
        if (!plan) {
            m_callback(makeError(ErrorCode::Internal, "the plan in the store is malformed: " + plan.error().message()));
            return;
        }
        m_callback(std::move(plan));
    }

private:
    void readNext()
    {
        RangeRequest request{.key = m_firstKey + "/part/" + std::to_string(m_received)};
        m_store.range(std::move(request), [self = shared_from_this()](const Result<RangeResult> &result) {
            if (!result) {
                self->m_callback(tl::unexpected(result.error()));
            } else if (result->entries.empty()) {
                self->m_callback(makeError(ErrorCode::NotFound, "the plan has expired"));
            } else {
                self->received(result->entries.front().value);
            }
        });
    }

    KeyValueStore &m_store;
    std::string m_firstKey;
    PlanStore::Callback<Plan> m_callback;
    std::string m_packed;
    std::uint32_t m_received = 0;
};

} // namespace

PlanStore::PlanStore(KeyValueStore &store)
    : m_store(store)
{
}

std::string PlanStore::planKey(const std::string &id)
{
    return "/hornbeamring/plans/" + id;
}

std::string PlanStore::confirmedKey(const std::string &id)
{
    return planKey(id) + "/confirmed";
}

Result<ConfigVersion> PlanStore::parseConfirmedVersion(const std::string &value)
{
    ConfigVersion version = 0;
    const auto *const last = value.data() + value.size();
    const auto [end, status] = std::from_chars(value.data(), last, version);
    if (status != std::errc() || end != last) {
        return makeError(ErrorCode::Internal, "the confirmed version of the plan in the store is malformed");
    }
    return version;
}

void PlanStore::write(const Plan &plan, std::chrono::seconds lifetime, Callback<bool> callback)
{
    std::make_shared<WritePlanOperation>(m_store, plan.id, partsOf(plan), std::move(callback))->start(lifetime);
}

void PlanStore::load(const KeyValue &firstPart, Callback<Plan> callback)
{
    std::make_shared<LoadPlanOperation>(m_store, firstPart.key, std::move(callback))->received(firstPart.value);
}

} // namespace Hornbeam
