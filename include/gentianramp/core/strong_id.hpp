#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace gentianramp {

/// Immutable identifier whose type keeps it apart from identifiers of other things.
template <typename Tag, typename Value>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(Value value)
        : m_value(std::move(value))
    { }

    const Value &value() const noexcept { return m_value; }
    auto operator<=>(const StrongId &) const = default;

private:
    Value m_value{};
};

template <typename Tag, typename Value>
std::ostream &operator<<(std::ostream &out, const StrongId<Tag, Value> &id)
{
    return out << id.value();
}

} // namespace gentianramp

template <typename Tag, typename Value>
struct std::hash<gentianramp::StrongId<Tag, Value>>
{
    std::size_t operator()(const gentianramp::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value());
    }
};
