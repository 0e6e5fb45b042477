#include <gentianramp/http/message.hpp>

#include <algorithm>

namespace gentianramp {

namespace {

char lowerCase(char character) noexcept
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

bool sameIgnoringCase(char left, char right) noexcept
{
    return lowerCase(left) == lowerCase(right);
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right) noexcept
{
    return std::ranges::equal(left, right, sameIgnoringCase);
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields,
                  [&](const HttpHeader &field) { return sameHeaderName(field.name, name); });
}

std::string_view HttpHeaders::find(std::string_view name) const noexcept
{
    for (const HttpHeader &field : m_fields) {
        if (sameHeaderName(field.name, name))
            return field.value;
    }
    return {};
}

bool HttpHeaders::contains(std::string_view name) const noexcept
{
    return std::ranges::any_of(
        m_fields, [&](const HttpHeader &field) { return sameHeaderName(field.name, name); });
}

std::string_view HttpRequest::path() const noexcept
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace gentianramp
