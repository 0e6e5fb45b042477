#include <gentianramp/config/settings_error.hpp>

namespace gentianramp {

std::string toString(const SettingsError &error)
{
    std::string text = error.file.string();
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    if (!text.empty())
        text += ": ";
    if (!error.key.empty())
        text += error.key + ": ";
    return text + error.problem;
}

std::string toString(const SettingsErrors &errors)
{
    std::string text;
    for (const SettingsError &error : errors)
        text += (text.empty() ? "" : "\n") + toString(error);
    return text;
}

} // namespace gentianramp
