#pragma once

#include <string>

namespace gentianramp {

/// Names the calling thread for the system's tools and for the log; at most 15 characters.
void setThreadName(const std::string &name);

/// Name of the calling thread; the first thread has the name of the program.
std::string threadName();

} // namespace gentianramp
