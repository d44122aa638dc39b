#ifndef TURMERICSWITCH_CONTROL_API_REQUEST_BODY_HPP
#define TURMERICSWITCH_CONTROL_API_REQUEST_BODY_HPP

#include "core/messages/consensus.hpp"
#include "core/types/ids.hpp"

#include <optional>
#include <string>

namespace turmericswitch::control
{

/// JSON members that the body of an operator's write may have. Absent ones are
/// empty.
struct write_body
{
    std::string operation;
    std::string author;
    std::string requested_by;
    std::string text;
    std::optional<std::uint64_t> replaces;
    std::optional<bool> draining;
};

/// @param text A JSON object; an empty text counts as an empty object.
/// @return The body, or nothing with `request_malformed` as last reason.
std::optional<write_body> parse_write_body(std::string const& text);

enum class member_action : std::uint8_t
{
    add,
    remove,
};

/// A change of the control group's membership.
struct member_change
{
    member_action action = member_action::add;
    core::group_member member;
};

/// @return The change, or nothing with `request_malformed` as last reason.
std::optional<member_change> parse_member_change(std::string const& text);

} // namespace turmericswitch::control

#endif
