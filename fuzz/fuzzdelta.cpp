#include "fuzzinput.h"

#include <hornbeam/config/delta.h>

#include <string>

using namespace Hornbeam;

namespace {

/** Returns the encoded digest fields of a delta. They save the fuzzer from having to guess two digests of 32 bytes. */
std::string digestFields(const Snapshot &base)
{
    const std::string baseHeader("\x1a\x20", 2);
    const std::string targetHeader("\x22\x20", 2);
    return baseHeader + base.contentDigest().bytes() + targetHeader + base.contentDigest().bytes();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto base = Snapshot::empty();
    static const auto prefix = std::string(1, '\0') + digestFields(*base);
    const auto input = fuzzInput(data, size);
    (void)Delta::decode(input);
    const auto delta = Delta::decode(prefix + std::string(input));
    if (delta) {
        const auto again = Delta::decode(delta->encode());
        fuzzRequire(again.has_value() && again->changeCount() == delta->changeCount());
        const auto target = delta->applyTo(*base);
        fuzzRequire(!target || (*target)->contentDigest() == delta->targetDigest());
    }
    return 0;
}
