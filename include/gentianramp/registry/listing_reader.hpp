#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/core/error.hpp>
#include <gentianramp/registry/backend_listing.hpp>
#include <gentianramp/registry/token_bucket.hpp>
#include <string>
#include <vector>

namespace gentianramp {

/// Reads the page of the platform's list that @p page names; the first one when it is empty.
/// Error::Overloaded when the platform takes no more calls at the moment.
using ListingSource = std::function<boost::asio::awaitable<Result<ListingPage>>(std::string page)>;

/// Reads the platform's list page by page, no faster than the platform takes calls.
class ListingReader
{
public:
    ListingReader(ListingSource source, double callsPerSecond);

    boost::asio::awaitable<Result<std::vector<ListedServer>>> readAll();
    /// Least time between two readings of one process when @p readers processes read.
    Duration minInterval(std::size_t readers) const;

private:
    boost::asio::awaitable<Result<ListingPage>> readPage(std::string page);

    ListingSource m_source;
    double m_callsPerSecond;
    TokenBucket m_bucket;
    unsigned m_lastPageCount = 1; ///< Pages of the last reading.
};

} // namespace gentianramp
