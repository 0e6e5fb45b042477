#include <gentianramp/registry/listing_history.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace gentianramp {

namespace {

/// Entry processes ask four times per second and a listing is read every 0.6 s or less often, so
/// that they are one or two listings behind. A listing of 3,000 servers takes 0.6 MB.
constexpr std::size_t MaxEarlierListings = 4;

bool byId(const ListedServer &left, const ListedServer &right)
{
    return left.id < right.id;
}

/// Ignores the remaining warm-up time, which changes all the time, except whether it is zero.
bool sameContent(ListedServer left, const ListedServer &right)
{
    if ((left.warmUpLeftMs > 0) != (right.warmUpLeftMs > 0))
        return false;
    left.warmUpLeftMs = right.warmUpLeftMs;
    return left == right;
}

} // namespace

void ListingHistory::add(BackendListing listing)
{
    std::vector<ListedServer> sorted = listing.servers;
    std::stable_sort(sorted.begin(), sorted.end(), byId);
    const auto sameId
        = [](const ListedServer &left, const ListedServer &right) { return left.id == right.id; };
    sorted.erase(std::unique(sorted.begin(), sorted.end(), sameId), sorted.end());
    EarlierListing before{m_newest.digest, std::exchange(m_sorted, std::move(sorted))};
    m_newest = std::move(listing);
    if (m_newest.digest == before.digest || before.digest == 0)
        return;
    std::erase_if(m_earlier, [this, &before](const EarlierListing &earlier) {
        return earlier.digest == m_newest.digest || earlier.digest == before.digest;
    });
    m_earlier.push_back(std::move(before));
    if (m_earlier.size() > MaxEarlierListings)
        m_earlier.pop_front();
}

ListingChange ListingHistory::since(std::uint64_t digest) const
{
    ListingChange change;
    change.newDigest = m_newest.digest;
    if (digest != 0 && digest == m_newest.digest) {
        change.baseDigest = digest;
        return change;
    }
    const auto base
        = std::find_if(m_earlier.begin(), m_earlier.end(), [digest](const EarlierListing &earlier) {
              return earlier.digest == digest;
          });
    if (base == m_earlier.end()) {
        change.changed = m_sorted;
        return change;
    }
    change.baseDigest = digest;
    auto old = base->servers.begin();
    for (const ListedServer &server : m_sorted) {
        for (; old != base->servers.end() && old->id < server.id; ++old)
            change.removed.push_back(old->id);
        const bool known = old != base->servers.end() && old->id == server.id;
        if (!known || !sameContent(*old, server))
            change.changed.push_back(server);
        if (known)
            ++old;
    }
    for (; old != base->servers.end(); ++old)
        change.removed.push_back(old->id);
    return change;
}

std::vector<ListedServer> applyChange(std::vector<ListedServer> servers,
                                      const ListingChange &change)
{
    if (change.baseDigest == 0)
        return change.changed;
    std::set<BackendId> replaced(change.removed.begin(), change.removed.end());
    for (const ListedServer &server : change.changed)
        replaced.insert(server.id);
    std::erase_if(servers,
                  [&replaced](const ListedServer &server) { return replaced.contains(server.id); });
    const auto middle = static_cast<std::ptrdiff_t>(servers.size());
    servers.insert(servers.end(), change.changed.begin(), change.changed.end());
    std::inplace_merge(servers.begin(), servers.begin() + middle, servers.end(), byId);
    return servers;
}

} // namespace gentianramp
