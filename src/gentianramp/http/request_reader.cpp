#include "request_reader.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace gentianramp {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion10 = 10;
/// A head is held by the parser, the request and what is made of it for a backend server.
constexpr std::size_t CopiesOfHead = 3;
/// Of one header field in all copies, beside its text.
constexpr std::size_t CostOfField = 256;

ReadFailure failureOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return {UnreadReason::HeaderTooLarge, 431, "the header is too large"};
    if (error == http::error::body_limit)
        return {UnreadReason::BodyTooLarge, 413, "the body is too large"};
    return {UnreadReason::Malformed, 400, "malformed request: " + error.message()};
}

} // namespace

RequestReader::RequestReader(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
    : m_maxHeaderBytes(maxHeaderBytes)
{
    m_parser.header_limit(maxHeaderBytes);
    m_parser.body_limit(maxBodyBytes);
}

std::optional<ReadFailure> RequestReader::parse(beast::flat_buffer &buffer)
{
    while (buffer.size() > 0 && !m_parser.is_done()) {
        boost::system::error_code error;
        const std::size_t parsed = m_parser.put(buffer.data(), error);
        buffer.consume(parsed);
        if (!m_hasHead && m_parser.is_header_done())
            takeHead();
        if (error == http::error::need_more)
            break;
        if (error)
            return failureOf(error);
        if (parsed == 0)
            break;
    }
    if (m_parser.is_done() || buffer.size() <= m_maxHeaderBytes)
        return std::nullopt;
    if (!m_hasHead)
        return failureOf(http::error::header_limit);
    return ReadFailure{UnreadReason::TrailerTooLarge, 431,
                       "the head of a chunk or the trailer is too large"};
}

/// Before the body, so that trailer fields, which the parser adds to the others, are left out.
void RequestReader::takeHead()
{
    const auto &message = m_parser.get();
    m_hasHead = true;
    m_parser.eager(true);
    m_expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
    m_isHttp10 = message.version() == HttpVersion10;
    m_keepAlive = message.keep_alive();
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    m_headCost = CopiesOfHead * m_request.target.size();
    for (const auto &field : message) {
        m_request.headers.add(std::string(field.name_string()), std::string(field.value()));
        m_headCost
            += CostOfField + CopiesOfHead * (field.name_string().size() + field.value().size());
    }
}

HttpRequest RequestReader::take()
{
    m_request.body = std::move(m_parser.get().body());
    return std::move(m_request);
}

} // namespace gentianramp
