#include "process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace gentianramp {

namespace {

constexpr int FieldsBeforeUserTime = 11; // after the name in parentheses

} // namespace

Duration processorTime(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < FieldsBeforeUserTime; ++field)
        fields >> skipped;
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    const double seconds
        = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::uint64_t residentBytes(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace gentianramp
