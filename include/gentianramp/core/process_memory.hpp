#pragma once

namespace gentianramp {

/// Makes the allocator return large blocks to the system as soon as they are freed. By default it
/// keeps more and more of them as it sees larger ones, so that a process that once held much never
/// shrinks. To be called before other threads start.
void returnFreedMemory();

} // namespace gentianramp
