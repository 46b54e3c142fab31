#include <hornbeam/accounts/accountresolver.h>

namespace Hornbeam {

namespace {

/**
 * Longest time for which a request that an earlier process of this node has sent is assumed to run at the target. Until
 * then its nested calls arrive at a process that does not know it. The default time limit of a route.
 */
constexpr std::chrono::milliseconds maxOrphanTime{10000};

/** Removes the optional whitespace around a header's value, which is not part of it. */
std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

AccountDecision refused(AccountVerdict verdict)
{
    return {.verdict = verdict};
}

AccountDecision resolveKey(const Snapshot &snapshot, std::string_view key)
{
    if (key.empty()) {
        return refused(AccountVerdict::EmptyKey);
    }
    const auto *account = snapshot.findAccount(Digest::of(key));
    if (account == nullptr) {
        return refused(AccountVerdict::UnknownKey);
    }
    return {.account = CallAccount{.name = account->name, .priority = account->priority}};
}

} // namespace

AccountResolver::AccountResolver(TimePoint started)
    : m_started(started)
{
}

AccountDecision AccountResolver::resolve(const AccountRequest &request, TimePoint now) const
{
    if (request.snapshot.accounts().empty() || request.route.anonymous) {
        return {};
    }
    if (request.keys.size() > 1) {
        return refused(AccountVerdict::RepeatedKey);
    }
    if (!request.keys.empty()) {
        return resolveKey(request.snapshot, trimmed(request.keys.front()));
    }
    switch (request.parent) {
    case CallParent::Running: {
        auto account = request.parentAccount;
        if (account) {
            account->inherited = true;
        }
        return {.account = std::move(account)};
    }
    case CallParent::Ended:
        return refused(AccountVerdict::UnknownParent);
    case CallParent::Unknown:
        return refused(now - m_started < maxOrphanTime ? AccountVerdict::UnknownParent : AccountVerdict::NoKey);
    case CallParent::None:
        break;
    }
    return refused(AccountVerdict::NoKey);
}

} // namespace Hornbeam
