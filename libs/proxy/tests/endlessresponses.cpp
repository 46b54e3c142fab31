#include "endlessresponses.h"

#include <string_view>

namespace Hornbeam {

std::string EndlessResponse::headWith(const std::string &fields) const
{
    constexpr std::string_view statusLineEnd = "OK\r\n";
    auto text = head;
    const auto end = text.find(statusLineEnd);
    return end == std::string::npos ? text : text.insert(end + statusLineEnd.size(), fields);
}

std::string EndlessResponse::pieces(std::size_t bytes) const
{
    std::string text = piece;
    while (text.size() < bytes) {
        text += piece;
    }
    return text;
}

const std::vector<EndlessResponse> &endlessResponses()
{
    static const std::vector<EndlessResponse> all = {
        {"no bytes of HTTP", "", "garbage "},
        {"empty lines", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", "Okay "},
        {"header", "HTTP/1.1 200 OK\r\nX-Long: ", "value "},
        {"headers", "HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
        {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000"},
        {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "name=value;"},
        {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Name: value\r\n"},
        {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
        {"body without length", "HTTP/1.1 200 OK\r\n\r\n", "body"},
        {"body with length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "body"},
    };
    return all;
}

} // namespace Hornbeam
