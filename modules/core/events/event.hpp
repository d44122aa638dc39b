#ifndef TURMERICSWITCH_CORE_EVENTS_EVENT_HPP
#define TURMERICSWITCH_CORE_EVENTS_EVENT_HPP

#include "core/events/event_code.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericswitch::core
{

/// A named value of an event. Names are literals; a time or size ends with
/// its unit, for example `age_ms`.
struct event_field
{
    std::string_view name;
    std::variant<std::string, std::int64_t> value;

    bool operator==(event_field const&) const = default;
};

/// One decision, or one change of what a process believes.
struct event
{
    event_code code;
    std::vector<event_field> fields;

    bool operator==(event const&) const = default;
};

using event_hook = std::function<void(event const&)>;

/// @return A field with a text.
event_field text_field(std::string_view name, std::string_view value);

/// @return A field with a number.
template <typename Number>
event_field number_field(std::string_view name, Number value)
{
    return {name, static_cast<std::int64_t>(value)};
}

/// @return A field with a time in whole milliseconds; the name ends in `_ms`.
event_field time_field(std::string_view name, duration value);

/// @return The members of a JSON object, without braces: number, name and
///         fields.
std::string to_json_members(event const& what);

/// @return "E402 run_placed task=... waited_ms=12", for logs in plain text.
std::string to_string(event const& what);

/// Appends a JSON string with its quotes.
void append_json_string(std::string& out, std::string_view text);

} // namespace turmericswitch::core

#endif
