#include "fuzzinput.h"

#include <hornbeam/admin/announcement.h>

#include <nlohmann/json.hpp>

using namespace Hornbeam;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto announcement = Announcement::parse(Endpoint("192.0.2.1", 80), fuzzInput(data, size));
    if (announcement) {
        fuzzRequire(announcement->target.slots >= 1 && announcement->target.slots <= 10000);
        (void)toJson(announcement->target).dump();
    } else {
        fuzzRequire(!announcement.error().empty());
    }
    return 0;
}
