#include "fuzzinput.h"

#include <hornbeam/config/intent.h>

#include <nlohmann/json.hpp>

using namespace Hornbeam;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto intent = Intent::parse(fuzzInput(data, size));
    if (!intent) {
        fuzzRequire(!intent.error().empty());
        return 0;
    }
    const auto again = Intent::fromJson(intent->toJson(), "$");
    fuzzRequire(again.has_value() && *again == *intent);
    const auto effect = intent->applyTo({});
    fuzzRequire(!effect.refusals.empty() || Snapshot::make(1, effect.content).has_value());
    return 0;
}
