#pragma once

#include <atomic>
#include <thread>
#include <vector>

namespace gentianramp {

/// Calls @p work for the numbers below @p count on some threads.
template <typename Work>
void runInParallel(std::size_t count, unsigned threads, const Work &work)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> running;
    running.reserve(threads);
    for (unsigned i = 0; i < threads; ++i)
        running.emplace_back([&] {
            for (std::size_t number = next++; number < count; number = next++)
                work(number);
        });
    for (std::thread &thread : running)
        thread.join();
}

} // namespace gentianramp
