#include "gateway/jobs/job_client.hpp"

#include "process/clock/boot_clock.hpp"
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

/// Time for which an earlier release of control, which refuses submissions with
/// `time_left`, gets them without.
constexpr core::duration earlier_release_time = std::chrono::seconds(60);

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

/// @return True if an answer with this code is about the job. Any other one
/// says only that the attempt that it answers had no effect.
bool is_about_the_job(result_code code)
{
    return code == result_code::ok || code == result_code::job_unknown ||
           code == result_code::job_invalid;
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
    overload::commit_time_estimate commit_time;
    /// By `process::boot_time`, as are the times of `commit_time`.
    core::time_point send_time_left_after;

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
    /// @return The body of an attempt that is sent now.
    std::function<std::string()> body;
    core::duration timeout{};
    /// @return Nothing if the answer can't be decoded.
    std::function<std::optional<job_result>(std::string const&)> read;
    /// True if a call whose answer was lost may have changed control's state.
    bool changes_state = false;
    /// For a submission: latest time of control's answer, by
    /// `process::boot_time`.
    std::optional<core::time_point> answer_by;
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
    std::optional<overload::expired_submission> expired;
    auto retry_deadline = search_deadline;
    for (;;)
    {
        auto const time_left =
            std::min(attempt_timeout,
                     std::max(retry_deadline, search_deadline) -
                         process::event_loop::now());
        auto const sent_at = process::boot_time();
        auto const result =
            call_and_wait(m_control, plan.path, plan.body(), time_left);
        if (result.outcome == transport::call_outcome::answered)
        {
            auto answer = plan.read(result.body);
            if (answer && !is_misdirected(answer->code) &&
                answer->code != result_code::outcome_unknown)
            {
                set_no_leader_until({});
                return finish(plan, std::move(*answer), sent_at, may_have_run);
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
            note_earlier_release(plan, result.code);
        }
        retry_deadline = plan.changes_state && may_have_run ? outcome_deadline
                                                            : search_deadline;
        expired = expiry_of(plan, process::boot_time() + retry_delay);
        if (expired ||
            process::event_loop::now() + retry_delay >= retry_deadline)
        {
            break;
        }
        m_signal->wait(seen);
        // The process may have been suspended meanwhile.
        expired = expiry_of(plan, process::boot_time());
        if (expired)
        {
            break;
        }
    }
    set_no_leader_until(process::event_loop::now() + known_outage_period);
    job_result last;
    last.code = result_code::not_leader;
    last.text = "no answer from a control leader";
    if (plan.changes_state && may_have_run)
    {
        last.code = result_code::outcome_unknown;
    }
    else if (expired)
    {
        last.code = result_code::deadline_exceeded;
        last.text = "not run: no control leader in the caller's time";
        last.expired = expired;
    }
    return last;
}

job_result job_client::finish(call_plan const& plan,
                              job_result answer,
                              core::time_point sent_at,
                              bool may_have_run)
{
    if (plan.answer_by && answer.code == result_code::ok)
    {
        auto const now = process::boot_time();
        std::lock_guard const lock(m_signal->mutex);
        m_signal->commit_time.add(now, now - sent_at);
    }
    // An earlier attempt may still reach a leader and be committed.
    if (plan.changes_state && may_have_run && !is_about_the_job(answer.code))
    {
        answer.text = "an earlier attempt may have run; the last one: " +
                      std::string(core::to_string(answer.code));
        answer.code = result_code::outcome_unknown;
    }
    return answer;
}

void job_client::note_earlier_release(call_plan const& plan, result_code code)
{
    if (plan.answer_by && code == result_code::message_malformed)
    {
        std::lock_guard const lock(m_signal->mutex);
        m_signal->send_time_left_after =
            process::boot_time() + earlier_release_time;
    }
}

std::optional<overload::expired_submission>
job_client::expiry_of(call_plan const& plan, core::time_point at) const
{
    std::lock_guard const lock(m_signal->mutex);
    return overload::find_expired(
        at, plan.answer_by, m_signal->commit_time.at(at));
}

std::optional<core::duration>
job_client::time_left(std::optional<core::time_point> answer_by) const
{
    auto const now = process::boot_time();
    std::lock_guard const lock(m_signal->mutex);
    return answer_by && now >= m_signal->send_time_left_after
               ? std::optional(*answer_by - now)
               : std::nullopt;
}

void job_client::set_no_leader_until(core::time_point until)
{
    std::lock_guard const lock(m_signal->mutex);
    m_signal->no_leader_until = until;
}

job_result job_client::command(core::command_envelope envelope,
                               core::duration timeout,
                               std::optional<core::time_point> answer_by)
{
    return run({"/command",
                [this, envelope = std::move(envelope), answer_by]() mutable
                {
                    envelope.time_left = time_left(answer_by);
                    return wire::encode(envelope);
                },
                timeout,
                [](std::string const& bytes) -> std::optional<job_result>
                {
                    auto const reply = wire::decode<core::command_reply>(bytes);
                    if (!reply)
                    {
                        return std::nullopt;
                    }
                    job_result result;
                    result.code = reply->code;
                    result.text = reply->text;
                    result.answer.leader = reply->leader;
                    result.retry_after = reply->retry_after;
                    return result;
                },
                true,
                answer_by});
}

job_result job_client::submit(core::submit_workflow const& command_body,
                              core::duration timeout)
{
    auto const answer_by =
        process::boot_time() + std::max(timeout - answer_reserve, timeout / 2);
    core::command_envelope envelope;
    envelope.body = command_body;
    return command(std::move(envelope), timeout, answer_by);
}

job_result job_client::cancel(core::cancel_workflow const& command_body,
                              core::duration timeout)
{
    core::command_envelope envelope;
    envelope.body = command_body;
    return command(std::move(envelope), timeout, std::nullopt);
}

job_result job_client::query(core::workflow_query const& query,
                             core::duration timeout)
{
    return run({"/workflow-query",
                [&query] { return wire::encode(query); },
                timeout,
                [](std::string const& bytes) -> std::optional<job_result>
                {
                    auto const answer =
                        wire::decode<core::workflow_answer>(bytes);
                    if (!answer)
                    {
                        return std::nullopt;
                    }
                    job_result result;
                    result.code = answer->code;
                    result.answer = *answer;
                    return result;
                },
                false,
                std::nullopt});
}

} // namespace turmericswitch::gateway
