#include "currentbase.h"

#include <algorithm>

namespace Hornbeam {

namespace {

std::string versionText(ConfigVersion version)
{
    return "version " + std::to_string(version);
}

} // namespace

void resolveCurrentBase(ConfigRepository &repository,
                        const ConfigHead &head,
                        const AppliedConfiguration &configuration,
                        std::function<void(Result<CurrentBase>)> callback)
{
    const auto applied = configuration.applied();
    const auto highest = std::max(head.version, applied->version());
    const auto known = configuration.newestKnownVersion();
    if (known > highest) {
        callback(makeError(ErrorCode::Unavailable,
                           "a peer has " + versionText(known) + ", but the store and this node have only "
                               + versionText(highest) + "; try again or use another node"));
        return;
    }
    CurrentBase base{.snapshot = applied, .notices = {}, .nextVersion = highest + 1};
    if (applied->version() > head.version) {
        base.notices.push_back("the store has only " + versionText(head.version) + "; the base is "
                               + versionText(applied->version()) + ", which this node has applied");
        callback(std::move(base));
        return;
    }
    if (head.describes(*applied)) {
        callback(std::move(base));
        return;
    }
    if (applied->version() == head.version) {
        base.notices.push_back("the store and this node have different content for " + versionText(head.version)
                               + "; the base is the store's content");
    }
    repository.loadSnapshot(
        head, applied, [base = std::move(base), callback = std::move(callback)](Result<SnapshotPtr> snapshot) mutable {
            if (!snapshot) {
                const auto &error = snapshot.error();
                const bool malformed = error.code() == ErrorCode::InvalidArgument;
                callback(makeError(malformed ? ErrorCode::Internal : error.code(), error.message()));
                return;
            }
            base.snapshot = *std::move(snapshot);
            callback(std::move(base));
        });
}

} // namespace Hornbeam
