#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace Hornbeam {

/**
 * Returns a function that ends the wait for @p timer, which belongs to @p context. The function may be called on any
 * thread, and has no effect once the context is gone.
 */
std::function<void()> makeTimerWake(const std::shared_ptr<asio::io_context> &context,
                                    const std::shared_ptr<asio::steady_timer> &timer);

} // namespace Hornbeam
