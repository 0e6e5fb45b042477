#include <gentianramp/http/whole_answer.hpp>

#include <algorithm>
#include <charconv>
#include <gentianramp/core/clock.hpp>
#include <utility>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// An answer that is no larger takes no room.
constexpr std::size_t SmallAnswerBytes = 16UL * 1024;
/// The room of larger ones without a stated length grows by multiples of this.
constexpr std::size_t RoomStepBytes = 64UL * 1024;
/// Time after which an answer without room looks for it again.
constexpr Duration RoomInterval = std::chrono::milliseconds(20);

/// Content-Length of the answer; 0 when it states none.
std::size_t statedLength(const HttpExchange &exchange)
{
    const std::string_view text = exchange.headers().find("Content-Length");
    std::size_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? length : 0;
}

/// Waits until the answer may hold @p bytes in all; false when the request is over before.
asio::awaitable<bool> waitForRoom(WholeAnswerOptions &options, WholeAnswer &answer,
                                  std::size_t bytes)
{
    if (bytes <= SmallAnswerBytes)
        co_return true;
    if (!answer.lease)
        answer.lease = options.memory->answerLease();
    const std::size_t taken = answer.lease->bytes();
    if (bytes <= taken)
        co_return true;
    const std::size_t more = std::max(bytes - taken, RoomStepBytes);
    while (!options.isOver()) {
        if (answer.lease->grow(more, RuntimeClock::now()))
            co_return true;
        if (const auto hook = std::exchange(options.waitsHook, nullptr))
            hook();
        co_await sleepFor(RoomInterval);
    }
    co_return false;
}

} // namespace

asio::awaitable<Result<WholeAnswer>> readWholeAnswer(HttpExchange &exchange,
                                                     WholeAnswerOptions options)
{
    WholeAnswer answer;
    const std::size_t expected
        = std::min(statedLength(exchange), options.maxBytes + SmallAnswerBytes);
    bool hasRoom = co_await waitForRoom(options, answer, expected);
    answer.body.reserve(hasRoom ? expected : 0);
    while (hasRoom) {
        const Result<std::string_view> piece = co_await exchange.readPiece();
        if (!piece)
            co_return Result<WholeAnswer>(piece.error(), piece.message());
        if (piece->empty())
            co_return Result<WholeAnswer>(std::move(answer));
        if (answer.body.size() + piece->size() > options.maxBytes)
            co_return Result<WholeAnswer>(Error::TooLarge, "the answer is too large");
        answer.body += *piece;
        hasRoom = co_await waitForRoom(options, answer, answer.body.size());
    }
    co_return Result<WholeAnswer>(Error::Cancelled, "no room for the answer in time");
}

} // namespace gentianramp
