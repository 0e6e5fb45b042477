#include <gentianramp/core/verdict.hpp>

namespace gentianramp {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "NotRun";
    case Verdict::MayHaveRun:
        return "MayHaveRun";
    case Verdict::Complete:
        return "Complete";
    }
    return "MayHaveRun";
}

std::optional<Verdict> parseVerdict(std::string_view text)
{
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Complete}) {
        if (toString(verdict) == text)
            return verdict;
    }
    return std::nullopt;
}

} // namespace gentianramp
