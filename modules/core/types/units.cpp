#include "core/types/units.hpp"

#include <algorithm>

namespace turmericswitch::core
{

resources& resources::operator+=(resources const& other) noexcept
{
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(resources const& other) noexcept
{
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
}

resources operator+(resources a, resources const& b) noexcept
{
    return a += b;
}

resources operator-(resources a, resources const& b) noexcept
{
    return a -= b;
}

bool fits_in(resources const& need, resources const& available) noexcept
{
    return need.cpu <= available.cpu && need.memory <= available.memory &&
           need.accelerators <= available.accelerators;
}

resources component_max(resources const& a, resources const& b) noexcept
{
    return {std::max(a.cpu, b.cpu),
            std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

std::ostream& operator<<(std::ostream& out, resources const& amount)
{
    return out << amount.cpu << "m cpu, " << amount.memory << " bytes, "
               << amount.accelerators << " accelerators";
}

} // namespace turmericswitch::core
