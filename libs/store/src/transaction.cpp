#include <hornbeam/store/transaction.h>

#include <utility>

namespace Hornbeam {

Operation Operation::put(std::string key, std::string value, LeaseId lease)
{
    return {.kind = Kind::Put, .key = std::move(key), .value = std::move(value), .lease = lease, .nested = {}};
}

Operation Operation::get(std::string key)
{
    return {.kind = Kind::Get, .key = std::move(key), .value = {}, .lease = 0, .nested = {}};
}

Operation Operation::remove(std::string key)
{
    return {.kind = Kind::Delete, .key = std::move(key), .value = {}, .lease = 0, .nested = {}};
}

Operation Operation::transaction(Transaction transaction)
{
    Operation operation{.kind = Kind::Nested, .key = {}, .value = {}, .lease = 0, .nested = {}};
    operation.nested.push_back(std::move(transaction));
    return operation;
}

} // namespace Hornbeam
