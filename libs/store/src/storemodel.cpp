#include <hornbeam/store/storemodel.h>

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

bool matches(const RangeRequest &request, const std::string &key)
{
    return request.prefix ? key.starts_with(request.key) : key == request.key;
}

} // namespace

StoreModel::StoreModel(StoreModelOptions options)
    : m_options(options)
{
}

void StoreModel::restore(const StoreModel &copy)
{
    const auto next = m_generation + 1;
    *this = copy;
    m_generation = next;
}

RangeResult StoreModel::range(const RangeRequest &request, std::int64_t staleness) const
{
    const std::int64_t readRevision = std::max(m_revision - staleness, m_firstHistoryRevision - 1);
    // The oldest change after the read revision holds the value that a key had at that revision.
    std::map<std::string, std::optional<KeyValue>> earlierEntries;
    for (auto it = m_history.rbegin(); it != m_history.rend() && it->entry.modRevision > readRevision; ++it) {
        if (matches(request, it->entry.key)) {
            earlierEntries[it->entry.key] = it->previous;
        }
    }
    std::map<std::string, KeyValue> found;
    for (auto it = m_entries.lower_bound(request.key); it != m_entries.end() && matches(request, it->first); ++it) {
        if (!earlierEntries.contains(it->first)) {
            found.emplace(it->first, it->second);
        }
    }
    for (auto &[key, previous] : earlierEntries) {
        if (previous) {
            found.emplace(key, std::move(*previous));
        }
    }
    RangeResult result{.entries = {}, .revision = std::min(readRevision, m_revision), .generation = m_generation};
    for (auto &[key, entry] : found) {
        if (request.limit > 0 && result.entries.size() >= static_cast<std::size_t>(request.limit)) {
            break;
        }
        if (request.keysOnly) {
            entry.value.clear();
        }
        result.entries.push_back(std::move(entry));
    }
    return result;
}

Result<TransactionResult> StoreModel::commit(const Transaction &transaction)
{
    if (const auto keys = validate(transaction); !keys) {
        return tl::make_unexpected(keys.error());
    }
    std::vector<bool> choices;
    chooseBranches(transaction, choices);
    std::size_t nextChoice = 0;
    if (!leasesExist(transaction, choices, nextChoice)) {
        return makeError(ErrorCode::NotFound, "requested lease not found");
    }
    nextChoice = 0;
    auto result = run(transaction, choices, nextChoice);
    finishWrite();
    setRevision(result);
    result.generation = m_generation;
    return result;
}

LeaseGrant StoreModel::grantLease(std::chrono::seconds timeToLive, TimePoint now)
{
    const auto granted = std::max(timeToLive, std::chrono::seconds(1));
    const LeaseId id = m_nextLease++;
    m_leases.emplace(id, Lease{.timeToLive = granted, .expiry = now + granted, .keys = {}});
    return {.id = id, .timeToLive = granted, .generation = m_generation};
}

Result<LeaseGrant> StoreModel::keepLeaseAlive(LeaseId lease, TimePoint now)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        return makeError(ErrorCode::NotFound, "requested lease not found");
    }
    it->second.expiry = now + it->second.timeToLive;
    return LeaseGrant{.id = lease, .timeToLive = it->second.timeToLive, .generation = m_generation};
}

Result<bool> StoreModel::revokeLease(LeaseId lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        return makeError(ErrorCode::NotFound, "requested lease not found");
    }
    const auto keys = it->second.keys;
    for (const auto &key : keys) {
        remove(key);
    }
    m_leases.erase(lease);
    finishWrite();
    return true;
}

void StoreModel::expireLeases(TimePoint now)
{
    std::vector<LeaseId> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        revokeLease(id);
    }
}

std::optional<TimePoint> StoreModel::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, lease] : m_leases) {
        if (!next || lease.expiry < *next) {
            next = lease.expiry;
        }
    }
    return next;
}

Result<std::vector<KeyValue>> StoreModel::changesSince(const std::string &prefix, std::int64_t startRevision) const
{
    if (startRevision < m_firstHistoryRevision) {
        return makeError(ErrorCode::Conflict, "the start revision has been compacted");
    }
    if (startRevision > m_revision + 1) {
        return makeError(ErrorCode::Conflict, "the store has not reached the start revision");
    }
    const auto first = std::lower_bound(
        m_history.begin(), m_history.end(), startRevision, [](const Change &change, std::int64_t revision) {
            return change.entry.modRevision < revision;
        });
    std::vector<KeyValue> changes;
    for (auto it = first; it != m_history.end(); ++it) {
        if (it->entry.key.starts_with(prefix)) {
            changes.push_back(it->entry);
        }
    }
    return changes;
}

// Returns the keys that either branch writes.
Result<std::set<std::string>> StoreModel::validate(const Transaction &transaction) const
{
    const auto count = std::max({transaction.compares.size(), transaction.success.size(), transaction.failure.size()});
    if (count > m_options.maxOperations) {
        return makeError(ErrorCode::InvalidArgument, "too many operations in txn request");
    }
    auto keys = validateBranch(transaction.success);
    if (!keys) {
        return keys;
    }
    const auto failureKeys = validateBranch(transaction.failure);
    if (!failureKeys) {
        return failureKeys;
    }
    keys->insert(failureKeys->begin(), failureKeys->end());
    return keys;
}

Result<std::set<std::string>> StoreModel::validateBranch(const std::vector<Operation> &operations) const
{
    std::set<std::string> keys;
    for (const auto &operation : operations) {
        std::set<std::string> written;
        if (operation.kind == Operation::Kind::Nested) {
            if (operation.nested.size() != 1) {
                return makeError(ErrorCode::InvalidArgument, "a nested operation needs one transaction");
            }
            auto nested = validate(operation.nested.front());
            if (!nested) {
                return nested;
            }
            written = std::move(*nested);
        } else if (operation.kind != Operation::Kind::Get) {
            written.insert(operation.key);
        }
        if (operation.value.size() > m_options.maxValueBytes) {
            return makeError(ErrorCode::InvalidArgument, "request is too large");
        }
        for (const auto &key : written) {
            if (!keys.insert(key).second) {
                return makeError(ErrorCode::InvalidArgument, "duplicate key given in txn request");
            }
        }
    }
    return keys;
}

bool StoreModel::holds(const Compare &compare) const
{
    const auto it = m_entries.find(compare.key);
    if (it == m_entries.end()) {
        return compare.revision == 0;
    }
    const bool created = compare.field == Compare::Field::CreateRevision;
    return compare.revision == (created ? it->second.createRevision : it->second.modRevision);
}

bool StoreModel::leaseExists(LeaseId lease) const
{
    return lease == 0 || m_leases.contains(lease);
}

// Appends the outcome of each transaction's comparisons in the order in which run() visits the transactions.
void StoreModel::chooseBranches(const Transaction &transaction, std::vector<bool> &choices) const
{
    const bool succeeded = std::all_of(transaction.compares.begin(),
                                       transaction.compares.end(),
                                       [this](const Compare &compare) { return holds(compare); });
    choices.push_back(succeeded);
    for (const auto &operation : succeeded ? transaction.success : transaction.failure) {
        for (const auto &nested : operation.nested) {
            chooseBranches(nested, choices);
        }
    }
}

bool StoreModel::leasesExist(const Transaction &transaction,
                             const std::vector<bool> &choices,
                             std::size_t &nextChoice) const
{
    for (const auto &operation : choices[nextChoice++] ? transaction.success : transaction.failure) {
        if (operation.kind == Operation::Kind::Put && !leaseExists(operation.lease)) {
            return false;
        }
        for (const auto &nested : operation.nested) {
            if (!leasesExist(nested, choices, nextChoice)) {
                return false;
            }
        }
    }
    return true;
}

TransactionResult StoreModel::run(const Transaction &transaction,
                                  const std::vector<bool> &choices,
                                  std::size_t &nextChoice)
{
    TransactionResult result{.succeeded = choices[nextChoice++], .revision = 0, .results = {}};
    for (const auto &operation : result.succeeded ? transaction.success : transaction.failure) {
        result.results.push_back(run(operation, choices, nextChoice));
    }
    return result;
}

OperationResult StoreModel::run(const Operation &operation, const std::vector<bool> &choices, std::size_t &nextChoice)
{
    OperationResult result;
    switch (operation.kind) {
    case Operation::Kind::Put:
        put(operation.key, operation.value, operation.lease);
        break;
    case Operation::Kind::Get:
        if (const auto it = m_entries.find(operation.key); it != m_entries.end()) {
            result.entries.push_back(it->second);
        }
        break;
    case Operation::Kind::Delete:
        remove(operation.key);
        break;
    case Operation::Kind::Nested:
        result.nested.push_back(run(operation.nested.front(), choices, nextChoice));
        break;
    }
    return result;
}

void StoreModel::put(const std::string &key, const std::string &value, LeaseId lease)
{
    const std::int64_t revision = m_revision + 1;
    std::optional<KeyValue> previous;
    if (const auto it = m_entries.find(key); it != m_entries.end()) {
        previous = it->second;
        detachFromLease(it->second);
    }
    KeyValue entry{.key = key,
                   .value = value,
                   .createRevision = previous ? previous->createRevision : revision,
                   .modRevision = revision,
                   .lease = lease};
    if (lease != 0) {
        m_leases.at(lease).keys.insert(key);
    }
    m_entries[key] = entry;
    record(std::move(entry), std::move(previous));
}

void StoreModel::remove(const std::string &key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        return;
    }
    KeyValue previous = std::move(it->second);
    m_entries.erase(it);
    detachFromLease(previous);
    record({.key = key, .value = {}, .createRevision = 0, .modRevision = m_revision + 1, .lease = 0},
           std::move(previous));
}

void StoreModel::detachFromLease(const KeyValue &entry)
{
    if (const auto lease = m_leases.find(entry.lease); lease != m_leases.end()) {
        lease->second.keys.erase(entry.key);
    }
}

void StoreModel::record(KeyValue entry, std::optional<KeyValue> previous)
{
    m_changed = true;
    m_history.push_back({.entry = std::move(entry), .previous = std::move(previous)});
}

void StoreModel::finishWrite()
{
    if (!m_changed) {
        return;
    }
    m_changed = false;
    ++m_revision;
    while (m_history.size() > m_options.maxHistory) {
        m_firstHistoryRevision = m_history.front().entry.modRevision + 1;
        m_history.pop_front();
    }
}

void StoreModel::setRevision(TransactionResult &result) const
{
    result.revision = m_revision;
    for (auto &operation : result.results) {
        for (auto &nested : operation.nested) {
            setRevision(nested);
        }
    }
}

} // namespace Hornbeam
