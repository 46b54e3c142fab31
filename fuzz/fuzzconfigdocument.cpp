#include "fuzzinput.h"

#include <hornbeam/platform/configdocumentdecoder.h>

using namespace Hornbeam;

// A document that is accepted must survive the encoding between nodes, and each of its keys must select its account.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto snapshot = Platform::ConfigDocumentDecoder().decode(fuzzInput(data, size));
    if (!snapshot) {
        return 0;
    }
    const auto again = Snapshot::decode((*snapshot)->encode());
    fuzzRequire(again.has_value() && (*again)->content() == (*snapshot)->content());
    for (const auto &account : (*snapshot)->accounts()) {
        for (const auto &digest : account.keyDigests) {
            const auto *holder = (*again)->findAccount(digest);
            fuzzRequire(holder != nullptr && *holder == account);
        }
    }
    return 0;
}
