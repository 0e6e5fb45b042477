#include "request_reader.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <random>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 1024;
constexpr std::uint64_t MaxBodyBytes = 4096;
constexpr std::size_t PieceBytes = 512;
constexpr std::uint64_t Seed = 20261206;
/// A header of MaxHeaderBytes has no more fields than this.
constexpr std::size_t MaxFields = MaxHeaderBytes / 4;
constexpr std::size_t MaxHeldBytes = MaxBodyBytes + 3 * MaxHeaderBytes + 256 * MaxFields;

const std::string ChunkedHead = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What became of the bytes of one connection.
struct Outcome
{
    std::optional<ReadFailure> failure;
    std::optional<HttpRequest> request;
    std::size_t mostBuffered = 0; ///< In the buffer of the connection.
    std::size_t mostHeld = 0;     ///< By the reader.
    std::string rest;
};

Outcome feed(std::string_view bytes, std::size_t pieceBytes = PieceBytes)
{
    RequestReader reader(MaxHeaderBytes, MaxBodyBytes);
    boost::beast::flat_buffer buffer;
    Outcome outcome;
    while (!bytes.empty() && !outcome.failure && !reader.isDone()) {
        const std::string_view piece = bytes.substr(0, pieceBytes);
        bytes.remove_prefix(piece.size());
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(piece.size()),
                                               boost::asio::buffer(piece.data(), piece.size())));
        outcome.failure = reader.parse(buffer);
        outcome.mostBuffered = std::max(outcome.mostBuffered, buffer.size());
        outcome.mostHeld = std::max(outcome.mostHeld, reader.heldBytes());
    }
    if (!outcome.failure && reader.isDone())
        outcome.request = reader.take();
    outcome.rest.assign(static_cast<const char *>(buffer.data().data()), buffer.size());
    return outcome;
}

void assertRefused(const std::string &bytes, UnreadReason reason, unsigned status)
{
    const Outcome outcome = feed(bytes);
    cr_assert(outcome.failure.has_value(), "%.80s", bytes.c_str());
    cr_assert(outcome.failure->reason == reason);
    cr_assert_eq(outcome.failure->status, status);
    cr_assert_leq(outcome.mostBuffered, MaxHeaderBytes + PieceBytes);
}

} // namespace

// Trailers and the heads of chunks without end ended a process by its memory.
Test(RequestReader, BoundsWhatHasNoEnd)
{
    const std::string endless(64 * MaxHeaderBytes, '0');
    std::string trailers = ChunkedHead + "0\r\n";
    while (trailers.size() < endless.size())
        trailers += "X-Trailer: text\r\n";
    assertRefused(trailers, UnreadReason::TrailerTooLarge, 431);
    assertRefused(ChunkedHead + "0\r\nX-Trailer: " + endless, UnreadReason::TrailerTooLarge, 431);
    assertRefused(ChunkedHead + "1;name=" + endless, UnreadReason::TrailerTooLarge, 431);
    assertRefused(ChunkedHead + endless, UnreadReason::TrailerTooLarge, 431);
    assertRefused("GET /a HTTP/1.1\r\nX: " + endless, UnreadReason::HeaderTooLarge, 431);
}

Test(RequestReader, RefusesBodiesOverTheLimit)
{
    assertRefused("POST /a HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", UnreadReason::BodyTooLarge,
                  413);
    std::string chunks = ChunkedHead;
    for (int count = 0; count < 5; ++count)
        chunks += "400\r\n" + std::string(1024, 'x') + "\r\n";
    assertRefused(chunks, UnreadReason::BodyTooLarge, 413);
}

Test(RequestReader, ReadsAllThatTheLimitsAllow)
{
    std::string bytes = ChunkedHead;
    for (std::uint64_t count = 0; count < MaxBodyBytes; ++count)
        bytes += "1;n=v\r\nx\r\n";
    bytes += "0\r\nX-Trailer: " + std::string(900, 't') + "\r\n\r\n";
    for (const std::size_t pieceBytes : {std::size_t(1), PieceBytes, bytes.size()}) {
        const Outcome outcome = feed(bytes, pieceBytes);
        cr_assert(outcome.request.has_value());
        cr_assert_eq(outcome.request->body.size(), MaxBodyBytes);
    }
}

// An empty chunked body whose end came in two pieces ended a process by an assertion.
Test(RequestReader, ReadsAnEmptyChunkedBodyInAnyPieces)
{
    const std::string bytes = ChunkedHead + "0\r\n\r\n";
    for (std::size_t pieceBytes = 1; pieceBytes <= bytes.size(); ++pieceBytes)
        cr_assert(feed(bytes, pieceBytes).request.value().body.empty());
}

// A field that the caller did not send as a header field could rename the request.
Test(RequestReader, LeavesTrailerFieldsOut)
{
    for (const std::size_t pieceBytes : {std::size_t(1), std::size_t(4096)}) {
        const Outcome outcome
            = feed(ChunkedHead + "1\r\nx\r\n0\r\nRequest-Id: other\r\n\r\n", pieceBytes);
        cr_assert(outcome.request.has_value());
        cr_assert_not(outcome.request->headers.contains("Request-Id"));
        cr_assert_eq(outcome.request->headers.find("Host"), "h");
    }
}

Test(RequestReader, LeavesTheNextRequestInTheBuffer)
{
    const Outcome outcome
        = feed("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n");
    cr_assert_eq(outcome.request.value().body, "hi");
    cr_assert_eq(outcome.rest, "GET /b HTTP/1.1\r\n");
}

// Whatever a client sends, a reader holds no more than its limits allow, and requests do not depend
// on how the bytes are cut into pieces.
Test(RequestReader, HoldsNoMoreThanItsLimitsForRandomInput)
{
    const std::vector<std::string> parts{ChunkedHead,
                                         "POST /a HTTP/1.1\r\n",
                                         "Content-Length: 900\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "\r\n",
                                         "a:\r\n",
                                         "X: " + std::string(300, 'x'),
                                         "0\r\n",
                                         "1\r\nx\r\n",
                                         "1;e=" + std::string(200, 'e'),
                                         "400\r\n",
                                         std::string(1024, 'b'),
                                         "\r\n\r\n",
                                         std::string(400, '0'),
                                         "T: " + std::string(500, 't'),
                                         std::string(1, '\0')};
    std::mt19937_64 random(Seed);
    std::uniform_int_distribution<std::size_t> pick(0, parts.size() - 1);
    std::uniform_int_distribution<std::size_t> size(1, 700);
    for (int run = 0; run < 4000; ++run) {
        std::string bytes = run % 2 == 0 ? ChunkedHead : std::string();
        for (int count = 0; count < 40; ++count)
            bytes += parts[pick(random)];
        const std::size_t pieceBytes = size(random);
        const Outcome outcome = feed(bytes, pieceBytes);
        cr_assert_leq(outcome.mostBuffered, MaxHeaderBytes + pieceBytes);
        cr_assert_leq(outcome.mostHeld, MaxHeldBytes);
        const Outcome whole = feed(bytes, 1);
        cr_assert(!whole.request || !outcome.request || *outcome.request == *whole.request);
    }
}
