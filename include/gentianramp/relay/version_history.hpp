#pragma once

#include <functional>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/listed_versions.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianramp {

/// Which software versions of a service's servers may have begun a stream that goes on now, from
/// the listings that this instance received and from what a registry instance saw before. Performs
/// no I/O.
class VersionHistory
{
public:
    /// Instances begin no streams at a version before it has been listed for @p settleTime, in
    /// which all instances that are in touch learn of it.
    explicit VersionHistory(Duration settleTime);

    /// Sets the time between the first event of a stream and the end of its last attempt.
    void setStreamLifetime(Duration lifetime) { m_streamLifetime = lifetime; }
    void publish(const BackendListing &listing, TimePoint now);
    /// Adds versions that a registry instance saw listed, so that an instance that has restarted
    /// need not wait for the lifetime of a stream.
    void add(const VersionReport &report, TimePoint now);

    /// Versions that were listed within the lifetime of a stream.
    std::vector<std::string> recent(const std::string &service, TimePoint now) const;
    /// Without those that were listed first so lately that no instance has begun a stream there.
    std::vector<std::string> mayHaveBegun(const std::string &service, TimePoint now) const;
    /// Whether new streams may begin at the version.
    bool isSettled(const std::string &service, const std::string &version, TimePoint now) const;
    /// Whether the versions are known for as long as a stream may last.
    bool isComplete(TimePoint now) const;
    Duration settleTime() const { return m_settleTime; }

private:
    struct Version
    {
        TimePoint listedSince{}; ///< Reading of the first listing that has it.
        bool fromFirstListing = false;
        /// Reported by a registry instance: this instance cannot tell when others learned of it.
        bool isReported = false;
        std::optional<TimePoint> goneSince; ///< Empty while it is listed.
    };

    using Condition = std::function<bool(const Version &)>;

    /// Whether no stream of the version can go on.
    bool isOver(const Version &version, TimePoint now) const;
    std::vector<std::string> select(const std::string &service, const Condition &condition,
                                    TimePoint now) const;

    Duration m_settleTime;
    Duration m_streamLifetime = std::chrono::seconds(12);
    std::optional<TimePoint> m_since; ///< Since when all versions are known.
    std::map<std::string, std::map<std::string, Version>> m_services;
};

} // namespace gentianramp
