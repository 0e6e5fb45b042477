#include "operator_fields.hpp"

namespace gentianramp {

namespace {

using namespace std::chrono_literals;

} // namespace

const FieldTable<OperatorFile> &operatorFields()
{
    using Settings = OperatorSettings;
    static const FieldTable<OperatorFile> table{
        inheritedField<OperatorFile>("name", &Settings::name, Need::Required,
                                     ValueCheck<std::string>(nameCheck<std::string>)),
        field("key_folder", &OperatorFile::keyFolder, Need::Required),
        inheritedField<OperatorFile>("secret_key_file", &Settings::secretKeyFile),
        field("peers_file", &OperatorFile::peersFile, Need::Required),
        inheritedField<OperatorFile>("answer_timeout", &Settings::answerTimeout, Need::Optional,
                                     between<Duration>(10ms, 1min)),
        inheritedField<OperatorFile>("command_timeout", &Settings::commandTimeout, Need::Optional,
                                     between<Duration>(10ms, 1h)),
    };
    return table;
}

} // namespace gentianramp
