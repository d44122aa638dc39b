#include "web/message/error_response.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace turmericswitch::web
{

using core::result_code;

namespace
{

struct status_row
{
    result_code code;
    std::uint16_t status;
};

constexpr std::array status_table = {
    status_row{result_code::ok, 200},
    status_row{result_code::rule_syntax, 400},
    status_row{result_code::rule_missing_requester, 400},
    status_row{result_code::rule_unknown_kind, 400},
    status_row{result_code::rule_bad_value, 400},
    status_row{result_code::rule_duplicate, 400},
    status_row{result_code::rule_conflict, 400},
    status_row{result_code::name_ambiguous, 400},
    status_row{result_code::name_unknown, 400},
    status_row{result_code::rule_not_utf8, 400},
    status_row{result_code::rule_too_large, 413},
    status_row{result_code::not_run, 503},
    status_row{result_code::outcome_unknown, 502},
    status_row{result_code::duplicate_request, 409},
    status_row{result_code::no_route, 404},
    status_row{result_code::no_capacity, 503},
    status_row{result_code::deadline_exceeded, 504},
    status_row{result_code::draining, 503},
    status_row{result_code::wrong_incarnation, 503},
    status_row{result_code::backend_failed, 502},
    status_row{result_code::request_malformed, 400},
    status_row{result_code::request_too_large, 413},
    status_row{result_code::retry_budget_empty, 503},
    status_row{result_code::region_budget_empty, 503},
    status_row{result_code::not_ready, 503},
    status_row{result_code::attempt_cancelled, 503},
    status_row{result_code::zone_out, 503},
    status_row{result_code::not_leader, 421},
    status_row{result_code::revision_conflict, 409},
    status_row{result_code::no_quorum, 503},
    status_row{result_code::session_expired, 410},
    status_row{result_code::membership_change_in_progress, 409},
    status_row{result_code::unknown_member, 404},
    status_row{result_code::stale_sequence, 409},
    status_row{result_code::timed_out, 504},
    status_row{result_code::job_unknown, 404},
    status_row{result_code::job_never_fits, 422},
    status_row{result_code::job_cancelled, 409},
    status_row{result_code::job_failed, 409},
    status_row{result_code::stale_attempt, 409},
    status_row{result_code::permit_expired, 409},
    status_row{result_code::worker_quarantined, 409},
    status_row{result_code::quota_exceeded, 429},
    status_row{result_code::worker_unknown, 404},
    status_row{result_code::job_invalid, 400},
    status_row{result_code::document_invalid, 400},
    status_row{result_code::document_conflict, 409},
    status_row{result_code::document_base_mismatch, 409},
    status_row{result_code::configuration_unavailable, 503},
    status_row{result_code::queue_unknown, 404},
    status_row{result_code::overloaded, 429},
    status_row{result_code::not_admitted, 503},
    status_row{result_code::disk_full, 507},
    status_row{result_code::version_unknown, 400},
    status_row{result_code::message_malformed, 400},
    status_row{result_code::message_too_large, 413},
    status_row{result_code::peer_unreachable, 503},
    status_row{result_code::unknown_path, 404},
};

} // namespace

std::uint16_t http_status(result_code code)
{
    auto const* const row = std::find_if(status_table.begin(),
                                         status_table.end(),
                                         [code](status_row const& candidate)
                                         { return candidate.code == code; });
    return row == status_table.end() ? std::uint16_t{500} : row->status;
}

http_response error_response(result_code code, std::string const& text)
{
    nlohmann::ordered_json body;
    body["code"] = static_cast<unsigned>(code);
    body["name"] = core::to_string(code);
    body["text"] = text;
    // The text may quote input of a caller that is not valid UTF-8.
    http_response response = json_response(
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    response.status = http_status(code);
    return response;
}

} // namespace turmericswitch::web
