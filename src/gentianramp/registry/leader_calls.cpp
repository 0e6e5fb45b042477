#include <gentianramp/registry/leader_calls.hpp>

namespace gentianramp {

void LeaderCalls::add(std::uint64_t call, InstanceId leader, std::string payload)
{
    m_calls[call] = {std::move(leader), std::move(payload)};
}

void LeaderCalls::remove(std::uint64_t call)
{
    m_calls.erase(call);
}

std::vector<std::string> LeaderCalls::redirect(const InstanceId &leader)
{
    std::vector<std::string> payloads;
    for (auto &[number, call] : m_calls) {
        if (call.leader == leader)
            continue;
        call.leader = leader;
        payloads.push_back(call.payload);
    }
    return payloads;
}

} // namespace gentianramp
