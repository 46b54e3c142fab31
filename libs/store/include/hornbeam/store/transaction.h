#pragma once

#include <hornbeam/store/storegeneration.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

using LeaseId = std::int64_t;

/** A key with its value and the store revisions at which it was created and last modified. */
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    LeaseId lease = 0;

    friend auto operator<=>(const KeyValue &, const KeyValue &) = default;
};

/** Compares a key's revision for equality. An absent key has both revisions 0. */
struct Compare
{
    enum class Field {
        CreateRevision,
        ModRevision,
    };

    std::string key;
    Field field = Field::ModRevision;
    std::int64_t revision = 0;

    friend auto operator<=>(const Compare &, const Compare &) = default;
};

struct Transaction;

/** One step of a transaction. */
struct Operation
{
    enum class Kind {
        Put,
        Get,
        Delete,
        Nested,
    };

    Kind kind = Kind::Get;
    std::string key;
    std::string value; ///< For Put.
    LeaseId lease = 0; ///< For Put; 0 attaches no lease.
    std::vector<Transaction> nested; ///< For Nested; exactly one element.

    static Operation put(std::string key, std::string value, LeaseId lease = 0);
    static Operation get(std::string key);
    static Operation remove(std::string key);
    static Operation transaction(Transaction transaction);
};

/** Runs @c success when all comparisons hold, otherwise @c failure; atomic. A key may be written at most once. */
struct Transaction
{
    std::vector<Compare> compares;
    std::vector<Operation> success;
    std::vector<Operation> failure;
};

struct TransactionResult;

/** Result of one operation, in the order of the operations that ran. */
struct OperationResult
{
    std::vector<KeyValue> entries; ///< For Get; empty when the key is absent.
    std::vector<TransactionResult> nested; ///< For Nested; exactly one element.
};

struct TransactionResult
{
    bool succeeded = false; ///< Whether all comparisons held.
    std::int64_t revision = 0; ///< Revision of the store after the transaction.
    std::vector<OperationResult> results;
    /** Generation of the store, to which the revision belongs, if known; not set in nested results. */
    std::optional<StoreGeneration> generation{};
};

} // namespace Hornbeam
