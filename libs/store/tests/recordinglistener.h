#pragma once

#include <hornbeam/store/keyvaluestore.h>

#include <optional>
#include <vector>

namespace Hornbeam {

/** Keeps what a watch reports. */
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
