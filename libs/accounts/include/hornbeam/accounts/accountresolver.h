#pragma once

#include <hornbeam/accounts/callaccount.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/config/snapshot.h>

#include <optional>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** How a request relates to the requests that run at the target of the same host. */
enum class CallParent {
    None, ///< The request is not a nested call.
    Running, ///< A running request makes it.
    Ended, ///< A request makes it whose attempt has ended on this node, but which may still run at the target.
    Unknown, ///< It has the form of a nested call, but this process does not know the request that makes it.
};

/** What decides about the account of a caller's request. */
struct AccountRequest
{
    const Snapshot &snapshot;
    const Route &route; ///< From the snapshot.
    std::vector<std::string_view> keys{}; ///< The value of each header that carries a key.
    CallParent parent = CallParent::None;
    std::optional<CallAccount> parentAccount{}; ///< For CallParent::Running; nothing if that request has no account.
};

enum class AccountVerdict {
    Accepted,
    NoKey,
    RepeatedKey,
    EmptyKey,
    UnknownKey, ///< No account of the configuration holds the key.
    UnknownParent, ///< A nested call whose parent, and thereby whose account, is not known.
};

struct AccountDecision
{
    AccountVerdict verdict = AccountVerdict::Accepted;
    std::optional<CallAccount> account{}; ///< Nothing if the request needs none.

    friend bool operator==(const AccountDecision &, const AccountDecision &) = default;
};

/**
 * Decides which client account a caller's request has. Load: every request of a caller, with any content of the header
 * that carries the key; the decision hashes that header once and searches an index.
 *
 * Without accounts in the configuration, and on a route that is Route::anonymous, a request needs no key and has no
 * account. Otherwise its key decides. A nested call carries no key and has the account of the request that makes it; a
 * request with a key is decided by the key alone, so that nobody gets an account by the form of a request id.
 */
class AccountResolver
{
public:
    /** @p started: the start of the process. */
    explicit AccountResolver(TimePoint started);

    AccountDecision resolve(const AccountRequest &request, TimePoint now) const;

private:
    const TimePoint m_started;
};

} // namespace Hornbeam
