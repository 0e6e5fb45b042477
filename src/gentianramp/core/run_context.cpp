#include <gentianramp/core/run_context.hpp>

#include <exception>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/thread.hpp>

namespace gentianramp {

void runContext(boost::asio::io_context &context, const std::function<void()> &failed)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            logError("task_failed", {{"thread", threadName()}, {"reason", error.what()}});
            failed();
        }
    }
}

} // namespace gentianramp
