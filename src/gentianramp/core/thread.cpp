#include <gentianramp/core/thread.hpp>

#include <array>
#include <pthread.h>

namespace gentianramp {

void setThreadName(const std::string &name)
{
    pthread_setname_np(pthread_self(), name.c_str());
}

std::string threadName()
{
    std::array<char, 16> name{};
    pthread_getname_np(pthread_self(), name.data(), name.size());
    return name.data();
}

} // namespace gentianramp
