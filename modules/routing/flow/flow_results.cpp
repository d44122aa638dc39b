#include "routing/flow/flow_results.hpp"

#include <utility>

namespace turmericswitch::routing
{

namespace
{

// Replaces codes that don't say that the request did not run.
core::result_code code_for_not_run(core::result_code code)
{
    bool const misleading = code == core::result_code::backend_failed ||
                            code == core::result_code::peer_unreachable ||
                            code == core::result_code::outcome_unknown ||
                            code == core::result_code::ok;
    return misleading ? core::result_code::not_run : code;
}

void fill_subject(core::request_id const& id, core::decision_record& record)
{
    record.part = "gateway";
    record.subject = "request " + std::to_string(id.gateway.value()) + "." +
                     std::to_string(id.sequence.value());
}

} // namespace

bool is_stale_route(core::result_code code) noexcept
{
    return code == core::result_code::draining ||
           code == core::result_code::zone_out;
}

core::byte_count request_size(core::request_content const& content) noexcept
{
    return core::byte_count(
        static_cast<std::int64_t>(content.body.size() + content.target.size()));
}

finish_request result_without_answer(bool may_have_run,
                                     bool idempotent,
                                     core::result_code code)
{
    finish_request result;
    if (!may_have_run)
    {
        result.code = code_for_not_run(code);
        return result;
    }
    bool const failed = idempotent && code == core::result_code::backend_failed;
    result.outcome = core::attempt_outcome::unknown;
    result.code = failed ? core::result_code::backend_failed
                         : core::result_code::outcome_unknown;
    return result;
}

void fill_send_record(core::request_id const& id,
                      core::backend_id const& backend,
                      core::decision_record& record)
{
    fill_subject(id, record);
    record.action = "send";
    record.target = backend.value();
}

void fill_result_record(core::request_id const& id, finish_request& result)
{
    fill_subject(id, result.record);
    result.record.action =
        result.outcome == core::attempt_outcome::ran ? "answer" : "refuse";
    result.record.code = result.code;
}

} // namespace turmericswitch::routing
