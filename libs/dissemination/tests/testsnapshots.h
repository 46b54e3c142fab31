#pragma once

#include <hornbeam/config/snapshot.h>

#include <string>

namespace Hornbeam {

/** Returns a valid snapshot with one service per version up to @p version and one that is named after @p variant. */
inline SnapshotPtr makeSnapshot(ConfigVersion version, const std::string &variant = "a")
{
    SnapshotContent content;
    for (ConfigVersion i = 1; i <= version; ++i) {
        content.services.push_back({.name = "service-" + std::to_string(i)});
    }
    content.services.push_back({.name = "variant-" + variant});
    return Snapshot::make(version, content).value();
}

} // namespace Hornbeam
