#include <hornbeam/claims/requestidentity.h>

#include <initializer_list>
#include <string>

namespace Hornbeam {

namespace {

Digest digestOf(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return Digest::of(text);
}

} // namespace

Digest RequestIdentity::ofKey(std::string_view caller, std::string_view route, std::string_view key)
{
    return digestOf({"key", caller, route, key});
}

Digest RequestIdentity::ofContent(std::string_view caller,
                                  std::string_view method,
                                  std::string_view path,
                                  std::string_view body)
{
    return digestOf({"content", caller, method, path, body});
}

} // namespace Hornbeam
