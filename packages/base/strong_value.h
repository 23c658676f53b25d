// Strong types: a value that carries its meaning in its type, so that an id or a unit cannot be
// passed where another one is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace sesamespar {

/// A value of type Rep that only compares with, and converts from, values of the same Tag.
template<typename Tag, typename Rep>
struct strong_value {
    using rep = Rep;

    Rep value{};

    strong_value() = default;
    explicit strong_value(Rep initial)
        : value(std::move(initial))
    {
    }

    auto operator<=>(const strong_value &) const = default;
};

/// Writes the plain value, for logs and test reports.
template<typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &stream, const strong_value<Tag, Rep> &strong)
{
    return stream << strong.value;
}

} // namespace sesamespar

/// Hashes the plain value.
template<typename Tag, typename Rep>
struct std::hash<sesamespar::strong_value<Tag, Rep>> {
    std::size_t operator()(const sesamespar::strong_value<Tag, Rep> &strong) const
    {
        return std::hash<Rep>()(strong.value);
    }
};
