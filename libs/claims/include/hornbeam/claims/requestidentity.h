#pragma once

#include <hornbeam/base/digest.h>

#include <string_view>

namespace Hornbeam {

/**
 * Identities of non-idempotent requests. Two requests with the same identity count as one request that was sent twice.
 * Each part is hashed together with its length, so that different lists of parts never have the same hash input.
 */
class RequestIdentity
{
public:
    /** Identity by the Idempotency-Key header. The same key of another caller or route is another identity. */
    static Digest ofKey(std::string_view caller, std::string_view route, std::string_view key);

    /** Identity by content, for clients that send no key. Equal requests that are both intended count as one. */
    static Digest ofContent(std::string_view caller,
                            std::string_view method,
                            std::string_view path,
                            std::string_view body);
};

} // namespace Hornbeam
