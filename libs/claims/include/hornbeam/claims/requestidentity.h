#pragma once

#include <hornbeam/base/digest.h>

#include <string_view>

namespace Hornbeam {

/**
 * Identities of non-idempotent requests. Two requests with the same identity are one request that was sent twice.
 * The parts are hashed with their lengths, so that no two lists of parts share their bytes.
 */
class RequestIdentity
{
public:
    /** Identity by the Idempotency-Key header, which its caller chose for one route. */
    static Digest ofKey(std::string_view caller, std::string_view route, std::string_view key);

    /** Identity by content, for clients that send no key. Two intended equal requests are indistinguishable. */
    static Digest ofContent(std::string_view caller,
                            std::string_view method,
                            std::string_view path,
                            std::string_view body);
};

} // namespace Hornbeam
