#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace Hornbeam {

/**
 * Bounds the bytes that all connections together keep in memory for requests or responses that are not finished. It
 * answers a crowd of clients that each stay below the limits of one connection. The first bytes of each share are
 * free, so that ordinary requests are not refused because of large ones. Thread-safe; a Share is not.
 */
class BufferPool
{
public:
    /** Bytes of a share that the pool does not count; more than an ordinary head, with its header fields, takes. */
    static constexpr std::size_t freeBytes = std::size_t{4} * 1024;

    /** What one request or response keeps in memory. */
    class Share
    {
    public:
        explicit Share(BufferPool &pool)
            : m_pool(&pool)
        {
        }

        Share(Share &&other) noexcept
            : m_pool(other.m_pool)
            , m_counted(std::exchange(other.m_counted, 0))
        {
        }

        Share &operator=(Share &&) = delete;

        ~Share()
        {
            m_pool->m_used.fetch_sub(m_counted, std::memory_order_relaxed);
        }

        /** Changes the share to @p bytes. Returns false, without a change, if it grows and the pool has no room. */
        bool resize(std::size_t bytes)
        {
            const auto counted = bytes > freeBytes ? bytes - freeBytes : 0;
            if (counted > m_counted && !m_pool->take(counted - m_counted)) {
                return false;
            }
            if (counted < m_counted) {
                m_pool->m_used.fetch_sub(m_counted - counted, std::memory_order_relaxed);
            }
            m_counted = counted;
            return true;
        }

        /** Moves the bytes to a new share and leaves this one empty. */
        Share take()
        {
            return std::move(*this);
        }

    private:
        BufferPool *m_pool;
        std::size_t m_counted = 0;
    };

    explicit BufferPool(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /** Bytes that the shares take beyond the free ones. */
    std::size_t used() const
    {
        return m_used.load(std::memory_order_relaxed);
    }

private:
    bool take(std::size_t n)
    {
        if (m_used.fetch_add(n, std::memory_order_relaxed) + n <= m_maxBytes) {
            return true;
        }
        m_used.fetch_sub(n, std::memory_order_relaxed);
        return false;
    }

    const std::size_t m_maxBytes;
    std::atomic<std::size_t> m_used = 0;
};

} // namespace Hornbeam
