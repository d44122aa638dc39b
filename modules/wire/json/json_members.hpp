#ifndef TURMERICSWITCH_WIRE_JSON_JSON_MEMBERS_HPP
#define TURMERICSWITCH_WIRE_JSON_JSON_MEMBERS_HPP

#include "core/messages/jobs.hpp"
#include "core/results/last_reason.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

// Helpers of the JSON codecs. Include this header only from .cpp files, because
// it includes nlohmann-json.

namespace turmericswitch::wire
{

using json = nlohmann::json;

/// Thrown for a missing or invalid member; `read_json` catches it and stores
/// its text as last_reason().
struct json_member_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// @return True if the number can be converted to the integer type `T`. The
///         conversion of a number outside of its range is undefined or wraps.
template <typename T>
bool is_in_range(json const& number)
{
    if (number.is_number_float())
    {
        auto const value = number.get<double>();
        return value >= static_cast<double>(std::numeric_limits<T>::min()) &&
               value < static_cast<double>(std::numeric_limits<T>::max());
    }
    return number.is_number_unsigned()
               ? std::in_range<T>(number.get<std::uint64_t>())
               : std::in_range<T>(number.get<std::int64_t>());
}

/// @return The value, converted to `T`.
/// @throws json::exception When it has another type or is out of range.
template <typename T>
T value_of(json const& value)
{
    if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
    {
        if (value.is_number() && !is_in_range<T>(value))
        {
            throw json::out_of_range::create(
                401, "a number is out of range", &value);
        }
    }
    return value.template get<T>();
}

/// @return The member, converted to `T`.
/// @throws json_member_error When it is missing, has another type or is out of
///         range.
template <typename T>
T member(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end())
    {
        throw json_member_error(std::string("member ") + name + " is missing");
    }
    try
    {
        return value_of<T>(*found);
    }
    catch (json::exception const&)
    {
        throw json_member_error(std::string("member ") + name +
                                " has the wrong type");
    }
}

/// @return The member, or `fallback` when it is absent or null.
/// @throws json_member_error When it has another type.
template <typename T>
T member_or(json const& object, char const* name, T fallback)
{
    auto const found = object.find(name);
    return found == object.end() || found->is_null() ? std::move(fallback)
                                                     : member<T>(object, name);
}

/// @return The member as a strong id.
/// @throws json_member_error When it is missing or has another type.
template <typename Id>
Id id_member(json const& object, char const* name)
{
    return Id(member<typename Id::rep>(object, name));
}

/// @return The member, a number of milliseconds, as a duration.
/// @throws json_member_error When it is missing, not a number, negative or
/// above ten years.
core::duration duration_member(json const& object, char const* name);

/// CPU in millicores, memory in bytes.
json resources_to_json(core::resources const& amount);
/// @return The amounts; absent members are 0.
/// @throws json_member_error When an amount is negative or not a number.
core::resources resources_from_json(json const& object);

inline std::int64_t to_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Parses `text` and calls `read(json)`.
///
/// @return The result of `read`, or nothing; last_reason() then has `code` and
/// the cause.
template <typename Read>
auto read_json(std::string_view text, core::result_code code, Read read)
    -> std::optional<decltype(read(json{}))>
{
    auto const document = json::parse(text, nullptr, false);
    if (document.is_discarded() || !document.is_object())
    {
        return core::fail(code, "expected a JSON object");
    }
    try
    {
        return read(document);
    }
    catch (json_member_error const& error)
    {
        return core::fail(code, error.what());
    }
}

} // namespace turmericswitch::wire

#endif
