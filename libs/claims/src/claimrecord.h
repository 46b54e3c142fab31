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
    Unknown, ///< The request was sent and its result is unknown.
    Released, ///< The attempt sent nothing; another attempt may take over the claim.
};

/** Value of the key of a claim in the store. */
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string attempt;
    std::int64_t deadlineMs = 0; ///< Deadline by the wall clock of the claiming node, in ms since 1970.
    RecordedResponse response; ///< Set if completed.

    /** Encodes the record as CBOR. */
    std::string encode() const;

    /** Decodes a record; nothing if @p bytes are not a valid one. */
    static std::optional<ClaimRecord> decode(std::string_view bytes);

    friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

} // namespace Hornbeam
