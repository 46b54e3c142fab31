#include "announcer.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace Hornbeam {

namespace {

/** Timeout of one announcement. It can be short because the node is on the same host. */
constexpr long requestTimeoutMs = 1000;

size_t discard(char * /*data*/, size_t size, size_t count, void * /*context*/)
{
    return size * count;
}

std::uint64_t makeInstance()
{
    return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

Announcer::Announcer(const TargetOptions &options, std::string address)
    : m_options(options)
    , m_address(std::move(address))
    , m_instance(makeInstance())
{
    if (!m_options.admin.empty()) {
        m_thread = std::thread([this] { run(); });
    }
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Announcer::announceLeaving()
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    m_changed.notify_all();
}

void Announcer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool leaving = m_leaving;
        lock.unlock();
        const bool sent = send(leaving ? "leaving" : "serving");
        lock.lock();
        // A failed announcement is retried soon: the node may still be starting.
        const auto wait = sent ? m_options.timeToLive / 3 : std::chrono::milliseconds(100);
        m_changed.wait_for(lock, wait, [&] { return m_stopping || m_leaving != leaving; });
    }
}

bool Announcer::send(const std::string &state) const
{
    const nlohmann::json announcement = {
        {"service", m_options.service},
        {"slots", m_options.slots},
        {"labels", nlohmann::json(m_options.labels)},
        {"state", state},
        {"ttlMs", m_options.timeToLive.count()},
        {"instance", m_instance},
    };
    const auto body = announcement.dump();
    const auto url = "http://" + m_options.admin + "/v1/targets/" + m_address;
    CURL *curl = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, requestTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    const auto code = curl_easy_perform(curl);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return code == CURLE_OK && status >= 200 && status < 300;
}

} // namespace Hornbeam
