#pragma once

#include <hornbeam/claims/recordedresponse.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

enum class ClaimState {
    Claimed, ///< The attempt may have sent the request.
    Completed, ///< The request has run; the response is recorded.
    Unknown, ///< The request was sent and its result is not known.
    Released, ///< The attempt sent nothing; another one may take the claim over.
};

/** The value of a claim's key in the store. */
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string attempt;
    std::int64_t deadlineMs = 0; ///< Wall clock of the claiming node, ms since 1970; tells InProgress from Unknown.
    RecordedResponse response; ///< For Completed.

    /** Encodes the record as CBOR. */
    std::string encode() const;

    /** Nothing when @p bytes are not a record. */
    static std::optional<ClaimRecord> decode(std::string_view bytes);

    friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

} // namespace Hornbeam
