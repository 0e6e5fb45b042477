#include <gentianramp/registry/listing_reader.hpp>

#include <algorithm>
#include <gentianramp/core/clock.hpp>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Of the calls that the platform takes: processes that just started call it too.
constexpr double CallRateShare = 0.7;
constexpr double BurstSeconds = 0.5;
constexpr unsigned MaxPages = 200;  ///< Twice what the target's servers fill at 16 on a page.
constexpr unsigned MaxRefusals = 4; ///< Of one page, before the reading is given up.
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
        m_lastPageCount
            = std::max(m_lastPageCount, count); // Also of a reading that fails half-way.
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
    co_return Answer(Error::TooLarge, "the list has too many pages");
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
