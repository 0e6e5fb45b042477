#include "command_support.hpp"

#include <algorithm>

namespace gentianramp {

const std::vector<Command> &operatorCommands()
{
    static const std::vector<Command> commands{
        {"config check", "FOLDER", "check a base file and its overlays", runConfigCheck},
        {"config diff", "FOLDER", "changes from the accepted configuration (or --on REVISION)",
         runConfigDiff},
        {"config apply", "FOLDER", "propose a configuration", runConfigApply},
        {"config status", "", "what is in force, site by site", runConfigStatus},
        {"config history", "", "accepted changes, newest first", runConfigHistory},
        {"config rollback-as-new", "REVISION", "propose an earlier configuration again",
         runConfigRollback},
        {"status", "", "leader, voters and sites", runStatus},
        {"drain", "BACKEND", "take a backend server out of service", runDrain},
        {"undrain", "BACKEND", "take a backend server back into service", runUndrain},
        {"engines", "", "backend servers as their lease holders know them", runEngines},
        {"members", "", "processes of the system", runMembers},
        {"roles", "", "roles of the engines and who orders them", runRoles},
        {"explain", "REQUEST LOG...", "a request's way and the cause of its end, from log files",
         runExplain},
        {"keys make", "", "make key files in --dir for --peers-file, --name and --operator",
         runKeysMake},
        {"keys show", "FILE", "print the public key of a key file", runKeysShow},
        {"keys rotate", "", "make the next key pair of --name in --dir", runKeysRotate},
        {"keys finish", "", "drop the old keys of --name in --dir", runKeysFinish},
    };
    return commands;
}

const Command *findCommand(std::vector<std::string> &words)
{
    if (words.empty())
        return nullptr;
    const std::string pair = words.size() > 1 ? words[0] + " " + words[1] : words[0];
    for (const Command &command : operatorCommands()) {
        const bool twoWords = command.name == pair && words.size() > 1;
        if (!twoWords && command.name != words[0])
            continue;
        words.erase(words.begin(), words.begin() + (twoWords ? 2 : 1));
        return &command;
    }
    return nullptr;
}

} // namespace gentianramp
