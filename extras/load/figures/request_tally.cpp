#include "load/figures/request_tally.hpp"

#include <cassert>

namespace turmericswitch::load
{

namespace
{

/// All sends of one request.
struct request_history
{
    request_kind kind = request_kind::read;
    std::uint64_t sends = 0;
    std::uint64_t refused = 0;
    std::uint64_t whole = 0;
};

std::uint64_t& counter_of(request_tally& tally, send_end end)
{
    switch (end)
    {
    case send_end::answered_whole:
        return tally.answered_whole;
    case send_end::answered_wrong:
        return tally.answered_wrong;
    case send_end::error_answer:
        return tally.error_answers;
    case send_end::not_run:
        return tally.not_run;
    case send_end::duplicate:
        return tally.duplicates_refused;
    case send_end::outcome_unknown:
        return tally.outcome_unknown;
    case send_end::not_sent:
    case send_end::lost:
        break;
    }
    return tally.connection_errors;
}

// These ends claim that this send ran nothing.
bool is_refusal(send_end end)
{
    return end == send_end::not_run || end == send_end::duplicate ||
           end == send_end::not_sent;
}

void check(request_history const& request,
           std::uint64_t count,
           request_tally& tally)
{
    bool const is_idempotent = request.kind == request_kind::read;
    // An idempotent request may be retried, so one send that was not refused
    // may run often.
    std::uint64_t const open = request.sends - request.refused;
    if (is_idempotent ? open == 0 && count > 0 : count > open)
    {
        tally.not_run_but_executed += request.refused > 0 ? 1 : 0;
    }
    if (!is_idempotent && count > 1)
    {
        ++tally.executed_twice;
    }
    if (request.whole > 0 && count == 0)
    {
        ++tally.answered_not_executed;
    }
}

} // namespace

std::string request_id(std::string const& tag, std::size_t request)
{
    return tag + "-" + std::to_string(request);
}

request_tally tally_requests(std::vector<planned_send> const& sends,
                             std::vector<send_result> const& results,
                             std::string const& tag,
                             execution_counts const& executed)
{
    assert(sends.size() == results.size());
    request_tally tally;
    std::map<std::size_t, request_history> requests;
    for (std::size_t i = 0; i < sends.size(); ++i)
    {
        auto& request = requests[sends[i].request];
        request.kind = sends[i].kind;
        ++request.sends;
        request.refused += is_refusal(results[i].end) ? 1 : 0;
        request.whole += results[i].end == send_end::answered_whole ? 1 : 0;
        ++tally.sent;
        ++counter_of(tally, results[i].end);
    }
    for (auto const& [number, request] : requests)
    {
        auto const found = executed.find(request_id(tag, number));
        check(request, found == executed.end() ? 0 : found->second, tally);
    }
    return tally;
}

} // namespace turmericswitch::load
