#include <hornbeam/config/confighead.h>

#include "wire.h"

#include <config.pb.h>

namespace Hornbeam {

ConfigHead ConfigHead::none()
{
    return {.version = 0,
            .planId = {},
            .contentDigest = Snapshot::empty()->contentDigest(),
            .pieceDigests = {},
            .modRevision = 0};
}

Result<ConfigHead> ConfigHead::decode(std::string_view bytes, std::int64_t modRevision)
{
    const auto digestSize = Digest().bytes().size();
    Wire::Head message;
    if (!parseWire(message, bytes) || message.version() == 0 || message.content_digest().size() != digestSize) {
        return makeError(ErrorCode::InvalidArgument, "the configuration head in the store is malformed");
    }
    ConfigHead head{.version = message.version(),
                    .planId = message.plan_id(),
                    .contentDigest = Digest::fromBytes(message.content_digest()),
                    .pieceDigests = {},
                    .modRevision = modRevision};
    for (const auto &digest : message.piece_digests()) {
        if (digest.size() != digestSize) {
            return makeError(ErrorCode::InvalidArgument, "a piece digest in the configuration head is malformed");
        }
        head.pieceDigests.push_back(Digest::fromBytes(digest));
    }
    return head;
}

std::string ConfigHead::encode() const
{
    Wire::Head message;
    message.set_version(version);
    message.set_plan_id(planId);
    message.set_content_digest(contentDigest.bytes());
    for (const auto &digest : pieceDigests) {
        message.add_piece_digests(digest.bytes());
    }
    return message.SerializeAsString();
}

} // namespace Hornbeam
