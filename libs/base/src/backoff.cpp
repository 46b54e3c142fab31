#include <hornbeam/base/backoff.h>

#include <algorithm>

namespace Hornbeam {

Backoff::Backoff(BackoffOptions options)
    : m_options(options)
    , m_bound(options.initial)
    , m_random(options.seed != 0 ? options.seed : std::random_device()())
{
}

Duration Backoff::next()
{
    std::uniform_int_distribution<Duration::rep> delay(0, m_bound.count());
    const Duration result(delay(m_random));
    m_bound = std::min(m_bound * 2, m_options.maximum);
    return result;
}

void Backoff::reset()
{
    m_bound = m_options.initial;
}

} // namespace Hornbeam
