#include "load/figures/request_tally.hpp"

#include <cassert>

namespace turmericswitch::load
{

namespace
{

/// Counts over all sends of one request.
struct request_sends
{
    request_kind kind = request_kind::read;
    std::uint64_t sends = 0;
    std::uint64_t refused = 0;
    std::uint64_t answered_whole = 0;
};

std::uint64_t& counter_of(request_tally& tally, send_outcome outcome)
{
    switch (outcome)
    {
    case send_outcome::answered_whole:
        return tally.answered_whole;
    case send_outcome::answered_wrong:
        return tally.answered_wrong;
    case send_outcome::error_answer:
        return tally.error_answers;
    case send_outcome::not_run:
        return tally.not_run;
    case send_outcome::duplicate:
        return tally.duplicates_refused;
    case send_outcome::outcome_unknown:
        return tally.outcome_unknown;
    case send_outcome::not_sent:
    case send_outcome::lost:
        break;
    }
    return tally.connection_errors;
}

// True for outcomes that state that this send was not executed.
bool is_refusal(send_outcome outcome)
{
    return outcome == send_outcome::not_run ||
           outcome == send_outcome::duplicate ||
           outcome == send_outcome::not_sent;
}

void check_executions(request_sends const& request,
                      std::uint64_t executions,
                      request_tally& tally)
{
    bool const is_idempotent = request.kind == request_kind::read;
    // The gateway may retry an idempotent request, so a single send that was
    // not refused allows any number of executions.
    std::uint64_t const not_refused = request.sends - request.refused;
    if (is_idempotent ? not_refused == 0 && executions > 0
                      : executions > not_refused)
    {
        tally.not_run_but_executed += request.refused > 0 ? 1 : 0;
    }
    if (!is_idempotent && executions > 1)
    {
        ++tally.executed_twice;
    }
    if (request.answered_whole > 0 && executions == 0)
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
    std::map<std::size_t, request_sends> requests;
    for (std::size_t i = 0; i < sends.size(); ++i)
    {
        auto& request = requests[sends[i].request];
        request.kind = sends[i].kind;
        ++request.sends;
        request.refused += is_refusal(results[i].outcome) ? 1 : 0;
        request.answered_whole +=
            results[i].outcome == send_outcome::answered_whole ? 1 : 0;
        ++tally.sent;
        ++counter_of(tally, results[i].outcome);
    }
    for (auto const& [number, request] : requests)
    {
        auto const found = executed.find(request_id(tag, number));
        check_executions(
            request, found == executed.end() ? 0 : found->second, tally);
    }
    return tally;
}

} // namespace turmericswitch::load
