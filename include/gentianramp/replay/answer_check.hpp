#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianramp {

/// Checks the text of an answer of a fake engine: tokens `t<offset>-<request id>`, offsets from 1
/// without gap or repeat, all of the one request.
class AnswerCheck
{
public:
    explicit AnswerCheck(std::string requestId);

    /// Takes the next piece of text; pieces may end inside a token.
    void feed(std::string_view text);
    /// Ends the text; true when it was faultless and had exactly @p tokens tokens.
    bool finish(std::uint32_t tokens);

    bool faultless() const noexcept { return m_faultless; }
    std::uint32_t tokens() const noexcept { return m_tokens; }

private:
    void takeToken();

    std::string m_requestId;
    std::string m_partial;
    std::uint32_t m_tokens = 0;
    bool m_faultless = true;
};

} // namespace gentianramp
