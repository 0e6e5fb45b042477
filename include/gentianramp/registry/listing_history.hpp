#pragma once

#include <deque>
#include <gentianramp/registry/backend_listing.hpp>
#include <optional>
#include <vector>

namespace gentianramp {

/// Difference between two listings.
struct ListingChange
{
    /// Digest of the listing that the change applies to; 0: it holds the full listing.
    std::uint64_t baseDigest = 0;
    std::uint64_t newDigest = 0;
    std::vector<ListedServer> changed; ///< New or different servers, ordered by id.
    std::vector<BackendId> removed;
    bool operator==(const ListingChange &) const = default;
};

/// The newest listing and its differences from the previous ones, so that entry processes are sent
/// changes instead of thousands of servers each time.
class ListingHistory
{
public:
    /// The newest listing, in the platform's order.
    const BackendListing &newest() const { return m_newest; }
    /// The servers of the newest listing, ordered by id, without duplicate ids.
    const std::vector<ListedServer> &sorted() const { return m_sorted; }
    /// If several servers have the same id, all but the first are ignored.
    void add(BackendListing listing);
    /// The change from the listing with @p digest to the newest one; the full listing if the former
    /// is not stored.
    ListingChange since(std::uint64_t digest) const;

private:
    /// A previous listing; its servers are ordered by id.
    struct EarlierListing
    {
        std::uint64_t digest = 0;
        std::vector<ListedServer> servers;
    };

    BackendListing m_newest;
    std::vector<ListedServer> m_sorted;
    std::deque<EarlierListing> m_earlier; ///< Newest last.
};

/// Applies @p change to @p servers, the servers of the listing `change.baseDigest` ordered by id.
std::vector<ListedServer> applyChange(std::vector<ListedServer> servers,
                                      const ListingChange &change);

} // namespace gentianramp
