#pragma once

#include <string>
#include <tl/expected.hpp>

namespace Hornbeam {

/** Kinds of failure that users of the libraries distinguish. */
enum class ErrorCode {
    InvalidArgument, ///< The input is malformed or out of range.
    NotFound, ///< The named item does not exist.
    Conflict, ///< The state changed since it was read; re-read before trying again.
    Unavailable, ///< The peer or the store cannot be reached, or it refused the call; the call had no effect.
    Overloaded, ///< A limit was reached; the call had no effect.
    OutcomeUnknown, ///< The call may or may not have taken effect, for example after a timeout or a lost response.
    Cancelled, ///< The call was abandoned before it started.
    Internal, ///< An unexpected failure of the process itself.
};

/** Returns the name of @p code as printed in logs and JSON, for example "outcome-unknown". */
const char *errorCodeName(ErrorCode code);

/** A failure as a value: a code for programs and a message for people. */
class Error
{
public:
    Error(ErrorCode code, std::string message);

    ErrorCode code() const
    {
        return m_code;
    }

    const std::string &message() const
    {
        return m_message;
    }

    friend bool operator==(const Error &, const Error &) = default;

private:
    ErrorCode m_code;
    std::string m_message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** Shorthand for returning a failure from a function whose result is a Result. */
tl::unexpected<Error> makeError(ErrorCode code, std::string message);

} // namespace Hornbeam
