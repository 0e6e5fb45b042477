#include <gentianramp/http/whole_answer.hpp>

#include "http_test_support.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>

#include <criterion/criterion.h>

using namespace gentianramp;
namespace asio = boost::asio;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr Duration Step = std::chrono::milliseconds(10);
constexpr Duration StepRunTime
    = std::chrono::milliseconds(3); ///< A paused clock is looked at every 2 ms at least.

/// An answer whose body arrives in pieces of a kilobyte.
class FakeAnswer : public HttpExchange
{
public:
    FakeAnswer(std::size_t kilobytes, bool statesLength)
        : m_left(kilobytes)
    {
        if (statesLength)
            m_headers.add("Content-Length", std::to_string(kilobytes * Kilobyte));
    }

    asio::awaitable<std::error_code> open() override { co_return std::error_code(); }
    unsigned status() const override { return 200; }
    const HttpHeaders &headers() const override { return m_headers; }
    asio::awaitable<Result<std::string_view>> readPiece() override
    {
        if (m_left == 0)
            co_return std::string_view();
        --m_left;
        ++m_piecesRead;
        co_return std::string_view(m_piece);
    }
    asio::awaitable<Result<std::string>> readAll() override { co_return std::string(); }
    bool complete() const override { return m_left == 0; }
    void setSilenceTimeout(Duration) override { }
    void limitRest(Duration) override { }
    void cancel() override { }
    bool anyBytesWritten() const override { return true; }
    bool refusedByPeer() const override { return false; }

    std::size_t piecesRead() const { return m_piecesRead; }

private:
    std::string m_piece = std::string(Kilobyte, 'a');
    std::size_t m_left;
    std::size_t m_piecesRead = 0;
    HttpHeaders m_headers;
};

/// Reads answers at the same time.
struct Reading
{
    explicit Reading(std::size_t memoryBytes)
        : memory(std::make_shared<MemoryBudget>(memoryBytes))
    { }

    void begin(FakeAnswer &answer, std::size_t maxBytes = 1024 * Kilobyte)
    {
        const std::size_t place = results.size();
        results.emplace_back();
        asio::co_spawn(context, read(answer, maxBytes, place), asio::detached);
        run();
    }

    asio::awaitable<void> read(FakeAnswer &answer, std::size_t maxBytes, std::size_t place)
    {
        WholeAnswerOptions options{memory, maxBytes, [this] { return isOver; },
                                   [this] { ++waits; }};
        Result<WholeAnswer> result = co_await readWholeAnswer(answer, std::move(options));
        results[place].emplace(std::move(result));
    }

    void run()
    {
        context.restart();
        context.poll();
    }

    void advance(Duration time)
    {
        for (; time > Duration::zero(); time -= Step) {
            RuntimeClock::advance(Step);
            context.restart();
            context.run_for(StepRunTime);
        }
    }

    PausedClock clock;
    asio::io_context context;
    std::shared_ptr<MemoryBudget> memory;
    bool isOver = false;
    int waits = 0;
    std::deque<std::optional<Result<WholeAnswer>>> results;
};

} // namespace

Test(WholeAnswer, TakesRoomForWhatItHoldsUntilItIsReleased)
{
    Reading reading(1024 * Kilobyte);
    FakeAnswer small(16, true);
    FakeAnswer large(100, true);
    reading.begin(small);
    cr_assert_eq(reading.memory->heldBytes(), 0U);
    reading.begin(large);
    cr_assert_eq(reading.results.back()->value().body.size(), 100 * Kilobyte);
    cr_assert_eq(reading.memory->heldBytes(), 100 * Kilobyte);
    reading.results.clear();
    cr_assert_eq(reading.memory->heldBytes(), 0U);
}

Test(WholeAnswer, StaysAtTheServerWithoutRoom)
{
    Reading reading(100 * Kilobyte);
    FakeAnswer first(100, true);
    FakeAnswer second(100, true);
    reading.begin(first);
    reading.begin(second);
    reading.advance(std::chrono::milliseconds(100));
    cr_assert_eq(second.piecesRead(), 0U);
    cr_assert_eq(reading.waits, 1);
    reading.results.front().reset();
    reading.advance(std::chrono::milliseconds(100));
    cr_assert(reading.results.back().has_value());
    cr_assert_eq(reading.results.back()->value().body.size(), 100 * Kilobyte);
}

Test(WholeAnswer, EndsWithItsRequest)
{
    Reading reading(100 * Kilobyte);
    FakeAnswer first(100, true);
    FakeAnswer second(100, true);
    reading.begin(first);
    reading.begin(second);
    reading.isOver = true;
    reading.advance(std::chrono::milliseconds(100));
    cr_assert(reading.results.back().has_value());
    cr_assert(reading.results.back()->error() == Error::Cancelled);
}

Test(WholeAnswer, FailsWhenItIsTooLarge)
{
    for (const bool statesLength : {true, false}) {
        Reading reading(1024 * Kilobyte);
        FakeAnswer answer(200, statesLength);
        reading.begin(answer, 100 * Kilobyte);
        cr_assert(reading.results.back()->error() == Error::TooLarge);
        cr_assert_leq(reading.memory->heldBytes(), 0U);
    }
}
