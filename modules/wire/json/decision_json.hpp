#ifndef TURMERICSWITCH_WIRE_JSON_DECISION_JSON_HPP
#define TURMERICSWITCH_WIRE_JSON_DECISION_JSON_HPP

#include "core/decisions/decision_record.hpp"

#include <string>
#include <vector>

namespace turmericswitch::wire
{

/// @return The JSON answer of an explain request: `{"decisions": [...]}`.
std::string
decisions_to_json(std::vector<core::decision_record> const& records);

} // namespace turmericswitch::wire

#endif
