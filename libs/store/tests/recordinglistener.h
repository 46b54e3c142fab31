#pragma once

#include <hornbeam/store/keyvaluestore.h>

#include <optional>
#include <vector>

namespace Hornbeam {

/** Records the changes and the end of a watch. */
class RecordingListener : public WatchListener
{
public:
    void changed(const std::vector<KeyValue> &entries) override
    {
        changes.insert(changes.end(), entries.begin(), entries.end());
    }

    void ended(const Error &error) override
    {
        end = error;
    }

    std::vector<KeyValue> changes;
    std::optional<Error> end;
};

} // namespace Hornbeam
