#pragma once

#include <cstdint>
#include <gentianramp/http/sse.hpp>

namespace gentianramp {

/// Kind of an event in an engine's stream, relative to the tokens delivered before.
enum class TokenEventKind {
    Next,      ///< The next token; deliver it.
    Repeat,    ///< Already delivered; drop it.
    Gap,       ///< Tokens before it are missing.
    Done,      ///< The answer is complete.
    Malformed, ///< It has no token offset.
};

/// Checks the token offsets of one answer across all attempts that produce it.
class TokenSequence
{
public:
    /// @p delivered is the number of tokens of the answer that were delivered before.
    explicit TokenSequence(std::uint32_t delivered = 0);

    /// Classifies @p event and, when it is the next token, counts it as delivered.
    TokenEventKind take(const SseEvent &event);
    /// Number of tokens of the answer that were delivered.
    std::uint32_t delivered() const noexcept { return m_delivered; }

private:
    std::uint32_t m_delivered;
};

/// Parses a token offset; 0 when @p text is not a valid offset.
std::uint32_t parseTokenOffset(std::string_view text) noexcept;

} // namespace gentianramp
