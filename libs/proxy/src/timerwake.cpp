#include "timerwake.h"

#include <asio/post.hpp>

namespace Hornbeam {

std::function<void()> makeTimerWake(const std::shared_ptr<asio::io_context> &context,
                                    const std::shared_ptr<asio::steady_timer> &timer)
{
    return [timer, weak = std::weak_ptr(context)] {
        if (const auto running = weak.lock()) {
            asio::post(*running, [timer] { timer->cancel(); });
        }
    };
}

} // namespace Hornbeam
