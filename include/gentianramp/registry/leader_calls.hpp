#pragma once

#include <cstdint>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// Calls to the leader that were not answered yet. Performs no I/O.
class LeaderCalls
{
public:
    /// Adds a call that is sent to @p leader as @p payload.
    void add(std::uint64_t call, InstanceId leader, std::string payload);
    void remove(std::uint64_t call);
    /// Assigns the calls that were sent to other instances to @p leader. Returns their payloads, to
    /// be sent again.
    std::vector<std::string> redirect(const InstanceId &leader);

private:
    struct Call
    {
        InstanceId leader;
        std::string payload;
    };

    std::map<std::uint64_t, Call> m_calls;
};

} // namespace gentianramp
