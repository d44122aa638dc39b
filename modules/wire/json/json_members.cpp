#include "wire/json/json_members.hpp"

namespace turmericswitch::wire
{

namespace
{

/// Ten years.
constexpr std::int64_t max_milliseconds = 10LL * 365 * 24 * 3600 * 1000;

std::int64_t amount_member(json const& object, char const* name)
{
    auto const amount = member_or<std::int64_t>(object, name, 0);
    if (amount < 0)
    {
        throw json_member_error(std::string("member ") + name + " is negative");
    }
    return amount;
}

} // namespace

core::duration duration_member(json const& object, char const* name)
{
    auto const count = member<std::int64_t>(object, name);
    if (count < 0 || count > max_milliseconds)
    {
        throw json_member_error(std::string("member ") + name +
                                " is out of range");
    }
    return std::chrono::milliseconds(count);
}

json resources_to_json(core::resources const& amount)
{
    return {{"cpu_millicores", amount.cpu.value()},
            {"memory_bytes", amount.memory.value()},
            {"accelerators", amount.accelerators.value()}};
}

core::resources resources_from_json(json const& object)
{
    return {core::millicores(amount_member(object, "cpu_millicores")),
            core::byte_count(amount_member(object, "memory_bytes")),
            core::accelerator_count(amount_member(object, "accelerators"))};
}

} // namespace turmericswitch::wire
