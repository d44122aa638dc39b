#include "gateway/jobs/job_client.hpp"

#include "process/loop/event_loop.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace turmericswitch::gateway
{

namespace
{

using core::result_code;

/// Longest search for a leader. A change of leader takes about a second, but a
/// caller that is refused earlier can retry through another gateway.
constexpr core::duration leader_search_timeout = std::chrono::milliseconds(600);

/// Longest search after another call has just found no leader. It is short so
/// that the caller soon learns that it has to retry.
constexpr core::duration known_outage_timeout = std::chrono::milliseconds(100);
/// How long a failed search shortens the searches of other calls.
constexpr core::duration known_outage_period = std::chrono::milliseconds(400);

/// Longest time for retries of a command that may have been carried out. A
/// retry often reveals its outcome.
constexpr core::duration outcome_timeout = std::chrono::milliseconds(1300);
constexpr core::duration retry_delay = std::chrono::milliseconds(40);

/// A commit takes tens of milliseconds, and an attempt on a dead connection
/// must leave time for another one.
constexpr core::duration attempt_timeout = std::chrono::milliseconds(600);

/// Part of the caller's timeout that is reserved for returning the answer.
constexpr core::duration answer_reserve = std::chrono::milliseconds(100);

shared::control_result call_and_wait(shared::control_link& control,
                                     std::string const& path,
                                     std::string const& body,
                                     core::duration timeout)
{
    auto const promise =
        std::make_shared<std::promise<shared::control_result>>();
    auto future = promise->get_future();
    control.call(path,
                 body,
                 timeout,
                 [promise](shared::control_result result)
                 { promise->set_value(std::move(result)); });
    return future.get();
}

bool is_misdirected(result_code code)
{
    return code == result_code::not_leader || code == result_code::no_quorum;
}

} // namespace

struct job_client::leader_signal
{
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t announcements = 0;
    /// Calls before this time search for a leader only briefly, because an
    /// earlier call found none.
    core::time_point no_leader_until;

    void announce()
    {
        std::lock_guard const lock(mutex);
        ++announcements;
        no_leader_until = {};
        changed.notify_all();
    }

    /// Waits for `retry_delay`, or until a leader announced itself since
    /// `announcements` had the value `seen`.
    void wait(std::uint64_t& seen)
    {
        std::unique_lock lock(mutex);
        changed.wait_for(
            lock, retry_delay, [&] { return announcements != seen; });
        seen = announcements;
    }
};

struct job_client::call_plan
{
    std::string path;
    std::string body;
    core::duration timeout{};
    /// @return Nothing if the answer can't be decoded.
    std::function<std::optional<job_result>(std::string const&)> read;
    /// True if a call whose answer was lost may have changed control's state.
    bool changes_state = false;
};

job_client::job_client(shared::control_link& control)
    : m_control(control),
      m_signal(std::make_shared<leader_signal>()),
      m_leader_hook(control.on_leader(
          [signal = m_signal](shared::leader_announcement const&)
          { signal->announce(); }))
{
}

job_result job_client::run(call_plan const& plan)
{
    auto const started_at = process::event_loop::now();
    auto const deadline =
        started_at + std::max(plan.timeout - answer_reserve, answer_reserve);
    auto [seen, no_leader_until] = [this]
    {
        std::lock_guard const lock(m_signal->mutex);
        return std::pair(m_signal->announcements, m_signal->no_leader_until);
    }();
    auto const search_timeout = started_at < no_leader_until
                                    ? known_outage_timeout
                                    : leader_search_timeout;
    auto const search_deadline =
        std::min(deadline, started_at + search_timeout);
    auto const outcome_deadline =
        std::min(deadline, started_at + outcome_timeout);
    bool may_have_run = false;
    auto retry_deadline = search_deadline;
    for (;;)
    {
        auto const time_left =
            std::min(attempt_timeout,
                     std::max(retry_deadline, search_deadline) -
                         process::event_loop::now());
        auto const result =
            call_and_wait(m_control, plan.path, plan.body, time_left);
        if (result.outcome == transport::call_outcome::answered)
        {
            auto answer = plan.read(result.body);
            if (answer && !is_misdirected(answer->code) &&
                answer->code != result_code::outcome_unknown)
            {
                set_no_leader_until({});
                return *answer;
            }
            may_have_run = may_have_run || !answer ||
                           answer->code == result_code::outcome_unknown;
            m_control.not_leader(result,
                                 answer ? answer->answer.leader : std::nullopt);
        }
        else
        {
            may_have_run =
                may_have_run || result.outcome == transport::call_outcome::lost;
        }
        retry_deadline = plan.changes_state && may_have_run ? outcome_deadline
                                                            : search_deadline;
        if (process::event_loop::now() + retry_delay >= retry_deadline)
        {
            break;
        }
        m_signal->wait(seen);
    }
    set_no_leader_until(process::event_loop::now() + known_outage_period);
    job_result last;
    last.code = plan.changes_state && may_have_run
                    ? result_code::outcome_unknown
                    : result_code::not_leader;
    last.text = "no answer from a control leader";
    return last;
}

void job_client::set_no_leader_until(core::time_point until)
{
    std::lock_guard const lock(m_signal->mutex);
    m_signal->no_leader_until = until;
}

job_result job_client::command(core::command_body body, core::duration timeout)
{
    core::command_envelope envelope;
    envelope.body = std::move(body);
    return run({"/command",
                wire::encode(envelope),
                timeout,
                [](std::string const& bytes) -> std::optional<job_result>
                {
                    auto const reply = wire::decode<core::command_reply>(bytes);
                    if (!reply)
                    {
                        return std::nullopt;
                    }
                    job_result result{reply->code, reply->text, {}, {}};
                    result.answer.leader = reply->leader;
                    result.retry_after = reply->retry_after;
                    return result;
                },
                true});
}

job_result job_client::submit(core::submit_workflow const& command_body,
                              core::duration timeout)
{
    return command(command_body, timeout);
}

job_result job_client::cancel(core::cancel_workflow const& command_body,
                              core::duration timeout)
{
    return command(command_body, timeout);
}

job_result job_client::query(core::workflow_query const& query,
                             core::duration timeout)
{
    return run({"/workflow-query",
                wire::encode(query),
                timeout,
                [](std::string const& bytes) -> std::optional<job_result>
                {
                    auto const answer =
                        wire::decode<core::workflow_answer>(bytes);
                    return answer ? std::optional(job_result{
                                        answer->code, {}, *answer, {}})
                                  : std::nullopt;
                },
                false});
}

} // namespace turmericswitch::gateway
