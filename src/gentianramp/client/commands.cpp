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
        {"config status", "", "the revision in force at each site", runConfigStatus},
        {"config history", "", "accepted changes, newest first", runConfigHistory},
        {"config rollback-as-new", "REVISION", "propose an earlier configuration as a new revision",
         runConfigRollback},
        {"status", "", "leader, voters and sites", runStatus},
        {"drain", "BACKEND", "take a backend server out of service", runDrain},
        {"undrain", "BACKEND", "take a backend server back into service", runUndrain},
        {"engines", "", "state of the backend servers, from their lease holders", runEngines},
        {"members", "", "processes of the system and their state", runMembers},
        {"roles", "", "number of engines in each role, and the lease holders that assign roles",
         runRoles},
        {"explain", "REQUEST LOG...", "log lines of a request and the likely cause of its result",
         runExplain},
        {"keys make", "", "make key files in --dir for --peers-file, --name and --operator",
         runKeysMake},
        {"keys show", "FILE", "print the public key of a key file", runKeysShow},
        {"keys rotate", "", "make the next key pair of --name in --dir", runKeysRotate},
        {"keys finish", "", "remove the old public keys of --name in --dir", runKeysFinish},
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
