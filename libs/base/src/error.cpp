#include <hornbeam/base/error.h>

namespace Hornbeam {

const char *errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

Error::Error(ErrorCode code, std::string message)
    : m_code(code)
    , m_message(std::move(message))
{
}

tl::unexpected<Error> makeError(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error(code, std::move(message)));
}

} // namespace Hornbeam
