#ifndef TURMERICSWITCH_CORE_TYPES_UNITS_HPP
#define TURMERICSWITCH_CORE_TYPES_UNITS_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <ostream>

namespace turmericswitch::core
{

/// An amount with a unit. Amounts of different units don't mix.
template <typename Tag>
class quantity
{
public:
    using rep = std::int64_t;

    constexpr quantity() = default;

    constexpr explicit quantity(std::int64_t value) : m_value(value) {}

    /// @return The amount in the unit that the type names.
    constexpr std::int64_t value() const noexcept
    {
        return m_value;
    }

    constexpr quantity& operator+=(quantity other) noexcept
    {
        m_value += other.m_value;
        return *this;
    }

    constexpr quantity& operator-=(quantity other) noexcept
    {
        m_value -= other.m_value;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b) noexcept
    {
        return a += b;
    }

    friend constexpr quantity operator-(quantity a, quantity b) noexcept
    {
        return a -= b;
    }

    constexpr auto operator<=>(quantity const&) const = default;

private:
    std::int64_t m_value = 0;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, quantity<Tag> amount)
{
    return out << amount.value();
}

/// Processor time share; 1000 is one core.
using millicores = quantity<struct millicores_tag>;
using byte_count = quantity<struct byte_count_tag>;
using accelerator_count = quantity<struct accelerator_tag>;

/// What a task needs or a worker has.
struct resources
{
    millicores cpu;
    byte_count memory;
    accelerator_count accelerators;

    auto operator<=>(resources const&) const = default;

    resources& operator+=(resources const& other) noexcept;
    resources& operator-=(resources const& other) noexcept;
};

resources operator+(resources a, resources const& b) noexcept;
resources operator-(resources a, resources const& b) noexcept;

/// @return True if no component of `need` is above that of `available`.
bool fits_in(resources const& need, resources const& available) noexcept;

/// @return The larger of each component.
resources component_max(resources const& a, resources const& b) noexcept;

std::ostream& operator<<(std::ostream& out, resources const& amount);

/// Tag clock of decision modules; it is never read, only passed in.
struct logical_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<logical_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = logical_clock::duration;
/// Monotonic time in microseconds. The epoch belongs to the process or, in
/// replicated state, to the cluster.
using time_point = logical_clock::time_point;
/// Calendar time in microseconds since 1970, for deadlines and history only.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::microseconds>;

} // namespace turmericswitch::core

#endif
