#include "edit_distance.hpp"

#include <algorithm>
#include <numeric>

namespace gentianramp {

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, replaced});
        }
    }
    return row.back();
}

std::string closestMatch(std::string_view text, const std::vector<std::string> &candidates)
{
    const auto isCloser = [text](const std::string &left, const std::string &right) {
        return editDistance(text, left) < editDistance(text, right);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(), isCloser);
    return best == candidates.end() ? std::string() : *best;
}

} // namespace gentianramp
