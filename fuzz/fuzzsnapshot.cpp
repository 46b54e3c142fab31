#include "fuzzinput.h"

#include <hornbeam/config/snapshot.h>

#include <string>

using namespace Hornbeam;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto input = fuzzInput(data, size);
    (void)Snapshot::decode(input);
    // With the format byte of uncompressed data in front, every input reaches the parser.
    const auto snapshot = Snapshot::decode(std::string(1, '\0').append(input));
    if (snapshot) {
        const auto again = Snapshot::decode((*snapshot)->encode());
        fuzzRequire(again.has_value() && (*again)->contentDigest() == (*snapshot)->contentDigest());
        (void)(*snapshot)->matchRoute("host", "GET", "/a/b/c");
    }
    return 0;
}
