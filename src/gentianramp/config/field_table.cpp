#include "field_table.hpp"

#include "edit_distance.hpp"

#include <algorithm>

namespace gentianramp {

namespace {

constexpr std::size_t MaxShownLength = 48;
constexpr std::size_t MaxNameLength = 63;

} // namespace

void ReadContext::addError(const YAML::Node &node, std::string key, std::string problem) const
{
    errors->push_back({file, lineOf(node), std::move(key), std::move(problem)});
}

std::string describeNode(const YAML::Node &node)
{
    if (node.IsMap())
        return "a mapping";
    if (node.IsSequence())
        return "a list";
    if (!node.IsScalar())
        return "nothing";
    std::string text = node.Scalar().substr(0, MaxShownLength);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char each) { return each < ' '; }, ' ');
    return "'" + text + (node.Scalar().size() > MaxShownLength ? "...'" : "'");
}

std::string unknownKeyProblem(const std::string &key, const std::vector<std::string> &known)
{
    std::string all;
    for (const std::string &each : known)
        all += (all.empty() ? "" : ", ") + each;
    const std::string closest = closestMatch(key.substr(0, MaxNameLength), known);
    return "unknown key, the nearest known one is '" + closest + "'; expected one of " + all;
}

int lineOf(const YAML::Node &node)
{
    const YAML::Mark mark = node.Mark();
    return mark.is_null() ? 0 : mark.line + 1;
}

bool isName(std::string_view text, bool slash)
{
    const std::string_view extra = slash ? "._-/:" : "._-";
    const auto allowed = [extra](unsigned char each) {
        return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z')
            || (each >= '0' && each <= '9') || extra.find(static_cast<char>(each)) != extra.npos;
    };
    return !text.empty() && text.size() <= MaxNameLength
        && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace gentianramp
