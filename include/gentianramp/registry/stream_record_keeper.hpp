#pragma once

#include <gentianramp/peers/stream_records.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Records of streams that entry processes leave at a registry process, which survives a loss of
/// all entry processes. Performs no I/O.
class StreamRecordKeeper
{
public:
    /// Handles an encoded PeerMessage; returns the answer to a question, also encoded. The answer
    /// says nothing of versions: a registry process sees no stream begin.
    std::optional<std::string> onMessage(std::string_view payload, TimePoint now);
    std::size_t size() const { return m_records.size(); }

private:
    StreamRecords m_records;
};

} // namespace gentianramp
