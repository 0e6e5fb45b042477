#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/token_bucket.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Reads the page of the platform's list with the token @p page; the first page if it is empty.
/// Returns Error::Overloaded if the platform rejects the call because of its rate limit.
using ListingSource = std::function<boost::asio::awaitable<Result<ListingPage>>(std::string page)>;

/// Reads the platform's list page by page, within the platform's rate limit.
class ListingReader
{
public:
    ListingReader(ListingSource source, double callsPerSecond);

    boost::asio::awaitable<Result<std::vector<ListedServer>>> readAll();
    /// Minimum time between two reads by one process if @p readers processes read the list.
    Duration minInterval(std::size_t readers) const;

private:
    boost::asio::awaitable<Result<ListingPage>> readPage(std::string page);

    ListingSource m_source;
    double m_callsPerSecond;
    TokenBucket m_bucket;
    unsigned m_lastPageCount = 1; ///< Pages of the list when it was last read.
};

} // namespace gentianramp
