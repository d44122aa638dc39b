#ifndef TURMERICSWITCH_WIRE_JSON_WORKER_JSON_HPP
#define TURMERICSWITCH_WIRE_JSON_WORKER_JSON_HPP

#include "core/messages/jobs.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::wire
{

/// Encodes a message of the worker protocol, `POST /v1/workers/heartbeat`.
///
/// Durations are in milliseconds, in members whose names end in `_ms`. CPU is
/// in millicores, memory in bytes.
///
/// @return The JSON text.
std::string heartbeat_request_to_json(core::heartbeat_request const& request);
std::string heartbeat_answer_to_json(core::heartbeat_answer const& answer);

/// Parses a message of the worker protocol.
///
/// @return The message, or nothing; last_reason() then has `request_malformed`
/// and names the missing or invalid member.
std::optional<core::heartbeat_request>
heartbeat_request_from_json(std::string_view text);
std::optional<core::heartbeat_answer>
heartbeat_answer_from_json(std::string_view text);

} // namespace turmericswitch::wire

#endif
