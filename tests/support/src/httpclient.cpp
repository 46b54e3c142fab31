#include <hornbeam/testsupport/httpclient.h>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <string_view>

namespace Hornbeam {

namespace {

using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}

std::string lowerCase(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *response)
{
    static_cast<HttpResponse *>(response)->body.append(data, size * count);
    return size * count;
}

std::size_t addHeader(const char *data, std::size_t size, std::size_t count, void *response)
{
    const std::string_view line(data, size * count);
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        auto &headers = static_cast<HttpResponse *>(response)->headers;
        headers[lowerCase(std::string(line.substr(0, colon)))] = trimmed(line.substr(colon + 1));
    }
    return size * count;
}

HeaderList makeHeaderList(const std::vector<std::string> &headers)
{
    // An empty Expect header stops curl from waiting for "100 Continue" before it sends a large body.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const auto &header : headers) {
        list = curl_slist_append(list, header.c_str());
    }
    return {list, &curl_slist_free_all};
}

void setRequestOptions(CURL *curl, const HttpRequest &request)
{
    curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    }
    if (request.method == "HEAD") {
        curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
    }
    if (request.maxBytesPerSecond > 0) {
        curl_easy_setopt(curl, CURLOPT_MAX_RECV_SPEED_LARGE, static_cast<curl_off_t>(request.maxBytesPerSecond));
    }
    if (!request.sourceAddress.empty()) {
        curl_easy_setopt(curl, CURLOPT_INTERFACE, ("host!" + request.sourceAddress).c_str());
    }
}

} // namespace

std::string HttpResponse::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

Result<HttpResponse> sendHttp(const HttpRequest &request)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    const EasyHandle curl(curl_easy_init(), &curl_easy_cleanup);
    if (initialised != CURLE_OK || !curl) {
        return makeError(ErrorCode::Internal, "libcurl could not be initialised");
    }
    HttpResponse response;
    const auto headers = makeHeaderList(request.headers);
    setRequestOptions(curl.get(), request);
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, &addHeader);
    curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &response);
    const auto start = std::chrono::steady_clock::now();
    const auto code = curl_easy_perform(curl.get());
    response.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    if (code != CURLE_OK) {
        const bool notSent = code == CURLE_COULDNT_CONNECT || code == CURLE_INTERFACE_FAILED;
        return makeError(notSent ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown,
                         request.method + " " + request.url + ": " + curl_easy_strerror(code));
    }
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

} // namespace Hornbeam
