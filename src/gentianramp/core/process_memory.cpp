#include <gentianramp/core/process_memory.hpp>
#include <malloc.h>

namespace gentianramp {

namespace {

constexpr int LargeBlockBytes = 128 * 1024;

} // namespace

void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
}

} // namespace gentianramp
