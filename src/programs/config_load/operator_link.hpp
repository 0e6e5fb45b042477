#pragma once

#include <condition_variable>
#include <gentianramp/config/operator_settings.hpp>
#include <gentianramp/control/generated/operator.pb.h>
#include <gentianramp/wire/mesh.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

namespace gentianramp {

/// Blocking requests of many threads to the control processes over one mesh.
class OperatorLink
{
public:
    OperatorLink(const OperatorSettings &settings, CurveKeyPair keys);

    std::size_t controls() const { return m_controls.size(); }
    /// Sends to one control process; empty when no answer came in time.
    std::optional<proto::OperatorAnswer> call(std::size_t control, proto::OperatorRequest request,
                                              Duration timeout);

private:
    void onMessage(const ReceivedMessage &message);

    std::vector<InstanceId> m_controls;
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::map<std::string, std::optional<proto::OperatorAnswer>> m_waiting;
    std::uint64_t m_next = 0;
    std::string m_prefix;
    std::unique_ptr<Mesh> m_mesh;
};

} // namespace gentianramp
