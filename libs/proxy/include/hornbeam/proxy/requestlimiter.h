#pragma once

#include <hornbeam/base/timerservice.h>

#include <chrono>
#include <string>

namespace Hornbeam {

/** Limits the request rate of client accounts. Called from traffic threads. */
class RequestLimiter
{
public:
    struct Decision
    {
        bool admitted = true;
        std::chrono::milliseconds retryAfter{0}; ///< When the account may send again, if it is not admitted.
    };

    virtual ~RequestLimiter() = default;

    /** Takes a token of @p account for one request. */
    virtual Decision admit(const std::string &account, TimePoint now) = 0;

    /** Returns the token of an admitted request that no target has received. Called at most once for a request. */
    virtual void giveBack(const std::string &account, TimePoint now) = 0;
};

} // namespace Hornbeam
