#pragma once

#include <deque>
#include <gentianramp/registry/backend_listing.hpp>
#include <optional>
#include <vector>

namespace gentianramp {

/// What leads from one listing to another.
struct ListingChange
{
    std::uint64_t baseDigest
        = 0; ///< Digest of the listing that it applies to; 0: to none, it is whole.
    std::uint64_t newDigest = 0;
    std::vector<ListedServer> changed; ///< New or different, in order of their ids.
    std::vector<BackendId> removed;
    bool operator==(const ListingChange &) const = default;
};

/// The newest listing and how it differs from those shortly before, so that entry processes get
/// what changed and not thousands of servers each time.
class ListingHistory
{
public:
    /// In the platform's order.
    const BackendListing &newest() const { return m_newest; }
    /// The same servers in order of their ids.
    const std::vector<ListedServer> &sorted() const { return m_sorted; }
    /// Of two servers under one id the first counts.
    void add(BackendListing listing);
    /// What leads from the listing with @p digest to the newest; whole when it is not remembered.
    ListingChange since(std::uint64_t digest) const;

private:
    /// A listing whose servers are in order of their ids.
    struct EarlierListing
    {
        std::uint64_t digest = 0;
        std::vector<ListedServer> servers;
    };

    BackendListing m_newest;
    std::vector<ListedServer> m_sorted;
    std::deque<EarlierListing> m_earlier; ///< Newest last.
};

/// The servers after @p change; @p servers are those of the listing `change.from`, in order.
std::vector<ListedServer> applyChange(std::vector<ListedServer> servers,
                                      const ListingChange &change);

} // namespace gentianramp
