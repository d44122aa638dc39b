#include "gateway/jobs/job_client.hpp"

#include "process/loop/event_loop.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace turmericswitch::gateway
{

namespace
{

using core::result_code;

/// Longest search for a leader. A change of leader takes about a second; a
/// caller that is refused earlier can come back through another gateway.
constexpr core::duration leader_search = std::chrono::milliseconds(600);

/// Longest search while another call has just found no leader: the caller
/// learns at once that it has to come back.
constexpr core::duration known_outage_search = std::chrono::milliseconds(100);
constexpr core::duration outage_memory = std::chrono::milliseconds(400);

/// Longest time for a call that may have been carried out: a retry of it often
/// turns the unknown outcome into a known one.
constexpr core::duration outcome_search = std::chrono::milliseconds(1300);
constexpr core::duration search_pause = std::chrono::milliseconds(40);

/// Time for one call: a commit takes tens of milliseconds, and a call on a
/// dead connection must leave time for another.
constexpr core::duration call_timeout = std::chrono::milliseconds(600);

/// Kept back from the caller's patience for the answer's way.
constexpr core::duration answer_reserve = std::chrono::milliseconds(100);

transport::call_result call_and_wait(shared::control_link& control,
                                     std::string const& path,
                                     std::string const& body,
                                     core::duration timeout)
{
    auto const promise =
        std::make_shared<std::promise<transport::call_result>>();
    auto future = promise->get_future();
    control.call(path,
                 body,
                 timeout,
                 [promise](transport::call_result result)
                 { promise->set_value(std::move(result)); });
    return future.get();
}

bool is_misdirected(result_code code)
{
    return code == result_code::not_leader || code == result_code::no_quorum;
}

} // namespace

struct job_client::call_plan
{
    std::string path;
    std::string body;
    core::duration patience{};
    /// Reads an answer; nothing if it can't be read.
    std::function<std::optional<job_result>(std::string const&)> read;
    /// True if a lost call may have changed something.
    bool changes = false;
};

job_client::job_client(shared::control_link& control) : m_control(control) {}

job_result job_client::run(call_plan const& plan)
{
    auto const begun = process::event_loop::now();
    auto const until =
        begun + std::max(plan.patience - answer_reserve, answer_reserve);
    auto const search = begun < core::time_point(core::duration(m_no_leader))
                            ? known_outage_search
                            : leader_search;
    auto const search_until = std::min(until, begun + search);
    auto const outcome_until = std::min(until, begun + outcome_search);
    bool may_have_run = false;
    auto limit = search_until;
    for (;;)
    {
        auto const timeout = std::min(call_timeout,
                                      std::max(limit, search_until) -
                                          process::event_loop::now());
        auto const result =
            call_and_wait(m_control, plan.path, plan.body, timeout);
        if (result.outcome == transport::call_outcome::answered)
        {
            auto answer = plan.read(result.body);
            if (answer && !is_misdirected(answer->code) &&
                answer->code != result_code::outcome_unknown)
            {
                m_no_leader = 0;
                return *answer;
            }
            may_have_run = may_have_run || !answer ||
                           answer->code == result_code::outcome_unknown;
            m_control.not_leader(answer ? answer->answer.leader : std::nullopt);
        }
        else
        {
            may_have_run =
                may_have_run || result.outcome == transport::call_outcome::lost;
        }
        limit = plan.changes && may_have_run ? outcome_until : search_until;
        if (process::event_loop::now() + search_pause >= limit)
        {
            break;
        }
        std::this_thread::sleep_for(search_pause);
    }
    m_no_leader =
        (process::event_loop::now() + outage_memory).time_since_epoch().count();
    job_result last;
    last.code = plan.changes && may_have_run ? result_code::outcome_unknown
                                             : result_code::not_leader;
    last.text = "no answer of a control leader";
    return last;
}

job_result job_client::command(core::command_body body, core::duration patience)
{
    core::command_envelope envelope;
    envelope.body = std::move(body);
    return run({"/command",
                wire::encode(envelope),
                patience,
                [](std::string const& bytes) -> std::optional<job_result>
                {
                    auto const reply = wire::decode<core::command_reply>(bytes);
                    if (!reply)
                    {
                        return std::nullopt;
                    }
                    job_result result{reply->code, reply->text, {}};
                    result.answer.leader = reply->leader;
                    return result;
                },
                true});
}

job_result job_client::submit(core::submit_workflow const& command_body,
                              core::duration patience)
{
    return command(command_body, patience);
}

job_result job_client::cancel(core::cancel_workflow const& command_body,
                              core::duration patience)
{
    return command(command_body, patience);
}

job_result job_client::query(core::workflow_query const& query,
                             core::duration patience)
{
    return run(
        {"/workflow-query",
         wire::encode(query),
         patience,
         [](std::string const& bytes) -> std::optional<job_result>
         {
             auto const answer = wire::decode<core::workflow_answer>(bytes);
             return answer
                        ? std::optional(job_result{answer->code, {}, *answer})
                        : std::nullopt;
         },
         false});
}

} // namespace turmericswitch::gateway
