#pragma once

#include <filesystem>
#include <string>

namespace gentianramp {

/// Temporary folder of a test, removed by the destructor.
class ScratchFolder
{
public:
    explicit ScratchFolder(const std::string &name);
    ~ScratchFolder();
    ScratchFolder(const ScratchFolder &) = delete;
    ScratchFolder &operator=(const ScratchFolder &) = delete;

    /// Writes @p text to the file @p name and returns its path.
    std::filesystem::path write(const std::string &name, const std::string &text) const;
    const std::filesystem::path &path() const noexcept { return m_path; }

private:
    std::filesystem::path m_path;
};

/// A base file with two sites and every section.
extern const std::string ValidBase;
/// An overlay of the site north with an engine and two backend servers of a plain service.
extern const std::string ValidOverlay;

/// @p text with the first @p from replaced by @p to; aborts when @p from is not in it.
std::string replaced(std::string text, const std::string &from, const std::string &to);

} // namespace gentianramp
