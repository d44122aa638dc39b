#ifndef TURMERICSWITCH_CORE_TYPES_STRONG_ID_HPP
#define TURMERICSWITCH_CORE_TYPES_STRONG_ID_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace turmericswitch::core
{

/// An identity that can't be mixed up with another kind of identity.
///
/// Use it for every id that crosses a function boundary. `Tag` is an empty
/// struct that names the kind, `Rep` is the type of the stored value.
template <typename Tag, typename Rep>
class strong_id
{
public:
    using rep = Rep;

    strong_id() = default;

    explicit strong_id(Rep value) : m_value(std::move(value)) {}

    /// @return The stored value.
    Rep const& value() const noexcept
    {
        return m_value;
    }

    auto operator<=>(strong_id const&) const = default;

private:
    Rep m_value{};
};

template <typename Tag, typename Rep>
std::ostream& operator<<(std::ostream& out, strong_id<Tag, Rep> const& id)
{
    return out << id.value();
}

} // namespace turmericswitch::core

template <typename Tag, typename Rep>
struct std::hash<turmericswitch::core::strong_id<Tag, Rep>>
{
    std::size_t operator()(
        turmericswitch::core::strong_id<Tag, Rep> const& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
