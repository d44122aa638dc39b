#ifndef TURMERICSWITCH_WIRE_JSON_JSON_MEMBERS_HPP
#define TURMERICSWITCH_WIRE_JSON_JSON_MEMBERS_HPP

#include "core/messages/jobs.hpp"
#include "core/results/last_reason.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

// Parts that JSON codecs share; include them only from .cpp files, because this
// header brings in nlohmann-json.

namespace turmericswitch::wire
{

using json = nlohmann::json;

/// Thrown inside the codecs and turned into a last reason by `read_json`.
struct json_member_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// @return The member, converted to `T`.
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
        return found->template get<T>();
    }
    catch (json::exception const&)
    {
        throw json_member_error(std::string("member ") + name +
                                " has the wrong type");
    }
}

/// @return The member, or `fallback` when it is absent or null.
template <typename T>
T member_or(json const& object, char const* name, T fallback)
{
    auto const found = object.find(name);
    return found == object.end() || found->is_null() ? std::move(fallback)
                                                     : member<T>(object, name);
}

/// @return A strong id read from the member.
template <typename Id>
Id id_member(json const& object, char const* name)
{
    return Id(member<typename Id::rep>(object, name));
}

/// @return A count of milliseconds as duration.
/// @throws json_member_error When it is negative or above ten years.
core::duration duration_member(json const& object, char const* name);

json resources_to_json(core::resources const& amount);
core::resources resources_from_json(json const& object);

inline std::int64_t to_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Parses `text` and calls `read(json)`.
///
/// @return The value read, or nothing with `code` as last reason.
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
