#ifndef TURMERICSWITCH_ROUTING_FLOW_FLOW_RESULTS_HPP
#define TURMERICSWITCH_ROUTING_FLOW_FLOW_RESULTS_HPP

#include "routing/flow/flow_types.hpp"

namespace turmericswitch::routing
{

/// @return True for the code of a refusal that a newer route table would have
/// avoided: the sidecar drains or its availability zone is out of service.
bool is_stale_route(core::result_code code) noexcept;

/// @return Size of the body and target that an attempt sends, without header
/// fields.
core::byte_count request_size(core::request_content const& content) noexcept;

/// @param may_have_run True when an attempt ended without proof that it did
/// not run.
/// @param code Why the last attempt or selection failed.
/// @return The result for the caller. A code that contradicts the outcome is
/// replaced by `not_run` or `outcome_unknown`.
finish_request result_without_answer(bool may_have_run,
                                     bool idempotent,
                                     core::result_code code);

/// Fills in part, subject, action and target of the decision record of a sent
/// attempt.
void fill_send_record(core::request_id const& id,
                      core::backend_id const& backend,
                      core::decision_record& record);

/// Fills in part, subject, action and code of a result's decision record.
void fill_result_record(core::request_id const& id, finish_request& result);

} // namespace turmericswitch::routing

#endif
