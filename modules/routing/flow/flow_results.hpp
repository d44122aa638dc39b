#ifndef TURMERICSWITCH_ROUTING_FLOW_FLOW_RESULTS_HPP
#define TURMERICSWITCH_ROUTING_FLOW_FLOW_RESULTS_HPP

#include "routing/flow/flow_types.hpp"

namespace turmericswitch::routing
{

/// @return True for refusals that a newer route table would have avoided.
bool is_route_change(core::result_code code) noexcept;

/// @return Bytes that an attempt sends, without fields.
core::byte_count size_of(core::request_content const& content) noexcept;

/// @param maybe_ran True when an attempt ended without proof that it did
/// not run.
/// @param code Why the last attempt or choice failed.
/// @return The result for the caller, with a code whose meaning is true.
finish_request
result_without_answer(bool maybe_ran, bool idempotent, core::result_code code);

/// Fills in what a record of a sent attempt is about.
void describe_send(core::request_id const& id,
                   core::backend_id const& backend,
                   core::decision_record& record);

/// Fills in the record of a result.
void describe_result(core::request_id const& id, finish_request& result);

} // namespace turmericswitch::routing

#endif
