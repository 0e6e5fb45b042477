#include <gentianramp/registry/listing_reader.hpp>

#include <algorithm>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Share of the platform's rate limit that is used; the rest is for processes that just started.
constexpr double CallRateShare = 0.7;
constexpr double BurstSeconds = 0.5;
constexpr unsigned MaxPages
    = 200; ///< Twice the pages of the largest intended fleet at 16 servers each.
constexpr unsigned MaxRefusals = 4; ///< Refused calls for one page after which readAll() fails.
constexpr Duration RefusalRetryInterval = std::chrono::milliseconds(400);

} // namespace

ListingReader::ListingReader(ListingSource source, double callsPerSecond)
    : m_source(std::move(source))
    , m_callsPerSecond(CallRateShare * callsPerSecond)
    , m_bucket(m_callsPerSecond, std::max(BurstSeconds * m_callsPerSecond, 1.0))
{ }

asio::awaitable<Result<std::vector<ListedServer>>> ListingReader::readAll()
{
    using Answer = Result<std::vector<ListedServer>>;
    std::vector<ListedServer> servers;
    std::string page;
    for (unsigned count = 1; count <= MaxPages; ++count) {
        m_lastPageCount = std::max(m_lastPageCount, count); // Also counts when a later page fails.
        Result<ListingPage> read = co_await readPage(page);
        if (!read)
            co_return Answer(read.error(), read.message());
        ListingPage content = std::move(read).value();
        servers.insert(servers.end(), content.servers.begin(), content.servers.end());
        page = content.nextPage;
        if (page.empty()) {
            m_lastPageCount = count;
            co_return Answer(std::move(servers));
        }
    }
    co_return Answer(Error::TooLarge, "the platform's list has more than 200 pages");
}

asio::awaitable<Result<ListingPage>> ListingReader::readPage(std::string page)
{
    for (unsigned refusals = 0;;) {
        while (!m_bucket.take(1, RuntimeClock::now()))
            co_await sleepFor(m_bucket.timeUntilAvailable(RuntimeClock::now()));
        Result<ListingPage> read = co_await m_source(page);
        const bool refused = !read && read.error() == make_error_code(Error::Overloaded);
        if (!refused || ++refusals >= MaxRefusals)
            co_return read;
        co_await sleepFor(RefusalRetryInterval);
    }
}

Duration ListingReader::minInterval(std::size_t readers) const
{
    const double seconds
        = static_cast<double>(m_lastPageCount) * static_cast<double>(readers) / m_callsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace gentianramp
