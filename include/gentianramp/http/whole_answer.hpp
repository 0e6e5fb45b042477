#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <gentianramp/http/client.hpp>
#include <gentianramp/http/memory_budget.hpp>
#include <memory>
#include <string>

namespace gentianramp {

/// Options of readWholeAnswer().
struct WholeAnswerOptions
{
    std::shared_ptr<MemoryBudget> memory;
    std::size_t maxBytes = 8UL * 1024 * 1024;
    /// Whether the request has ended, so that its answer is not waited for any longer.
    std::function<bool()> isOver;
    /// Called once when the answer finds no room and waits for it; may be empty.
    std::function<void()> waitsHook;
};

/// Body of an answer, and the room that it holds.
struct WholeAnswer
{
    std::string body;
    std::shared_ptr<MemoryLease> lease; ///< Empty for a small answer.
};

/// Reads the body of an answer.
///
/// An answer of over 16 KiB takes room of the memory budget; all of it before any of its body is
/// read if its head states a length. Without room it stays at the backend server until there is
/// some. Fails with Error::TooLarge, with Error::Cancelled if there was no room before the request
/// was over, and like HttpExchange::readPiece().
boost::asio::awaitable<Result<WholeAnswer>> readWholeAnswer(HttpExchange &exchange,
                                                            WholeAnswerOptions options);

} // namespace gentianramp
