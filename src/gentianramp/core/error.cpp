#include <gentianramp/core/error.hpp>

namespace gentianramp {

namespace {

class Category : public std::error_category
{
public:
    const char *name() const noexcept override { return "gentianramp"; }

    std::string message(int code) const override
    {
        switch (static_cast<Error>(code)) {
        case Error::InvalidArgument:
            return "invalid argument";
        case Error::Malformed:
            return "malformed input";
        case Error::TooLarge:
            return "size limit exceeded";
        case Error::TimedOut:
            return "timed out";
        case Error::ConnectionRefused:
            return "connection refused";
        case Error::ConnectionLost:
            return "connection lost";
        case Error::Unauthorised:
            return "not authorised";
        case Error::Overloaded:
            return "overloaded";
        case Error::Unavailable:
            return "unavailable";
        case Error::StaleAuthority:
            return "stale authority";
        case Error::StorageDamaged:
            return "storage damaged";
        case Error::StorageFailed:
            return "storage failed";
        case Error::Cancelled:
            return "cancelled";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &gentianrampCategory() noexcept
{
    static const Category category;
    return category;
}

std::error_code make_error_code(Error error) noexcept
{
    return {static_cast<int>(error), gentianrampCategory()};
}

} // namespace gentianramp
