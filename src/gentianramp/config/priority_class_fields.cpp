#include "sections.hpp"

namespace gentianramp {

namespace {

constexpr std::uint32_t MaxPriorityLevel = 15;
constexpr double MaxReservedShare = 0.9;

} // namespace

const FieldTable<PriorityClass> &priorityClassFields()
{
    static const FieldTable<PriorityClass> table{
        field("name", &PriorityClass::name, Need::Required,
              ValueCheck<std::string>(nameCheck<std::string>)),
        field("level", &PriorityClass::level, Need::Required, between(0U, MaxPriorityLevel)),
        field("reserved_share", &PriorityClass::reservedShare, Need::Optional,
              between(0.0, MaxReservedShare)),
    };
    return table;
}

} // namespace gentianramp
