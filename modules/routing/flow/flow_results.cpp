#include "routing/flow/flow_results.hpp"

#include <utility>

namespace turmericswitch::routing
{

namespace
{

// Only codes whose meaning says that the request did not run.
core::result_code code_for_not_run(core::result_code code)
{
    bool const misleading = code == core::result_code::backend_failed ||
                            code == core::result_code::peer_unreachable ||
                            code == core::result_code::outcome_unknown ||
                            code == core::result_code::ok;
    return misleading ? core::result_code::not_run : code;
}

void describe(core::request_id const& id, core::decision_record& record)
{
    record.part = "gateway";
    record.subject = "request " + std::to_string(id.gateway.value()) + "." +
                     std::to_string(id.sequence.value());
}

} // namespace

bool is_route_change(core::result_code code) noexcept
{
    return code == core::result_code::draining ||
           code == core::result_code::zone_out;
}

core::byte_count size_of(core::request_content const& content) noexcept
{
    return core::byte_count(
        static_cast<std::int64_t>(content.body.size() + content.target.size()));
}

finish_request
result_without_answer(bool maybe_ran, bool idempotent, core::result_code code)
{
    finish_request result;
    if (!maybe_ran)
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

void describe_send(core::request_id const& id,
                   core::backend_id const& backend,
                   core::decision_record& record)
{
    describe(id, record);
    record.action = "send";
    record.target = backend.value();
}

void describe_result(core::request_id const& id, finish_request& result)
{
    describe(id, result.record);
    result.record.action =
        result.outcome == core::attempt_outcome::ran ? "answer" : "refuse";
    result.record.code = result.code;
}

} // namespace turmericswitch::routing
