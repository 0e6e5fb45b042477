#include "sections.hpp"

namespace gentianramp {

namespace {

constexpr std::uint32_t HighestLevel = 15;
constexpr double HighestReservedShare = 0.9;

} // namespace

const FieldTable<PriorityClass> &priorityClassFields()
{
    static const FieldTable<PriorityClass> table{
        field("name", &PriorityClass::name, Need::Required,
              RangeCheck<std::string>(nameCheck<std::string>)),
        field("level", &PriorityClass::level, Need::Required, between(0U, HighestLevel)),
        field("reserved_share", &PriorityClass::reservedShare, Need::Optional,
              between(0.0, HighestReservedShare)),
    };
    return table;
}

} // namespace gentianramp
