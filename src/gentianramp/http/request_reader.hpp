#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <gentianramp/http/message.hpp>
#include <gentianramp/http/server.hpp>
#include <optional>
#include <string>

namespace gentianramp {

/// Why a request could not be read, and the status that tells the caller so.
struct ReadFailure
{
    UnreadReason reason = UnreadReason::Malformed;
    unsigned status = 400;
    std::string message;
    bool operator==(const ReadFailure &) const = default;
};

/// Parses one request from the bytes of a connection; does no input or output.
///
/// What it holds is bounded by the limits: the lines of a chunked body, with their extensions, and
/// the trailer are each at most as long as the header may be. Trailer fields are dropped.
class RequestReader
{
public:
    RequestReader(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    /// Parses what is in the buffer and removes it; what is left belongs to the next request, or is
    /// a part of one that can't be parsed before more arrives.
    std::optional<ReadFailure> parse(boost::beast::flat_buffer &buffer);
    bool hasHead() const { return m_hasHead; }
    bool isDone() const { return m_parser.is_done(); }
    bool expectsContinue() const { return m_expectsContinue; }
    bool keepAlive() const { return m_keepAlive; }
    bool isHttp10() const { return m_isHttp10; }
    /// Memory that the request takes now and its handler's copies of the head will take.
    std::size_t heldBytes() const { return m_headCost + m_parser.get().body().size(); }
    /// The request, once it is whole.
    HttpRequest take();

private:
    void takeHead();

    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    std::uint32_t m_maxHeaderBytes;
    HttpRequest m_request;
    std::size_t m_headCost = 0;
    bool m_hasHead = false;
    bool m_expectsContinue = false;
    bool m_keepAlive = true;
    bool m_isHttp10 = false;
};

} // namespace gentianramp
