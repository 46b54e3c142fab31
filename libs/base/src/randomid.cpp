#include <hornbeam/base/randomid.h>

#include <random>

namespace Hornbeam {

std::string randomId()
{
    constexpr char digits[] = "0123456789abcdef";
    std::random_device device;
    std::string text;
    for (int word = 0; word < 4; ++word) {
        auto bits = device();
        for (int i = 0; i < 8; ++i) {
            text.push_back(digits[bits & 15]);
            bits >>= 4;
        }
    }
    return text;
}

} // namespace Hornbeam
