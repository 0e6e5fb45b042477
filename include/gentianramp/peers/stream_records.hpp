#pragma once

#include <gentianramp/core/clock.hpp>
#include <map>
#include <optional>
#include <string>

namespace gentianramp {

/// What sent the first event of a stream.
struct StreamOrigin
{
    std::string service;
    /// Software version of the server; empty where it could not be told.
    std::string version;
    bool operator==(const StreamOrigin &) const = default;
};

/// Origins of streams by the caller's attempt that brought the first event. Performs no I/O.
class StreamRecords
{
public:
    /// Sets the time for which a record is kept.
    void setLifetime(Duration lifetime) { m_lifetime = lifetime; }
    Duration lifetime() const { return m_lifetime; }
    void note(const std::string &attempt, StreamOrigin origin, TimePoint now);
    std::optional<StreamOrigin> find(const std::string &attempt, TimePoint now) const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        StreamOrigin origin;
        TimePoint notedAt{};
    };

    void expire(TimePoint now);

    Duration m_lifetime = std::chrono::seconds(12);
    TimePoint m_expiredAt{};
    std::map<std::string, Record> m_records;
};

} // namespace gentianramp
