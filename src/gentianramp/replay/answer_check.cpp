#include <gentianramp/replay/answer_check.hpp>

namespace gentianramp {
namespace {

constexpr std::size_t LongestToken = 512;

bool isSpace(char character)
{
    return character == ' ' || character == '\n' || character == '\t' || character == '\r';
}

} // namespace

AnswerCheck::AnswerCheck(std::string requestId)
    : m_requestId(std::move(requestId))
{ }

void AnswerCheck::takeToken()
{
    if (m_partial.empty())
        return;
    ++m_tokens;
    std::string expected = "t";
    expected.append(std::to_string(m_tokens)).append("-").append(m_requestId);
    m_faultless = m_faultless && m_partial == expected;
    m_partial.clear();
}

void AnswerCheck::feed(std::string_view text)
{
    for (const char character : text) {
        if (isSpace(character))
            takeToken();
        else if (m_partial.size() < LongestToken)
            m_partial.push_back(character);
        else
            m_faultless = false;
    }
}

bool AnswerCheck::finish(std::uint32_t tokens)
{
    takeToken();
    return m_faultless && m_tokens == tokens;
}

} // namespace gentianramp
