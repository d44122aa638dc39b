#ifndef TURMERICSWITCH_ADMISSION_CONTROLLER_ADMISSION_CONTROLLER_HPP
#define TURMERICSWITCH_ADMISSION_CONTROLLER_ADMISSION_CONTROLLER_HPP

#include "admission/history/attempt_history.hpp"
#include "core/messages/request_path.hpp"

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace turmericswitch::admission
{

/// Hard limits of one sidecar.
struct admission_limits
{
    std::uint32_t slots = 8;
    /// Every running attempt holds one connection to the backend server.
    std::uint32_t connections = 60;
    std::uint32_t queue = 8;
};

/// Sizes of the memory of ended attempts.
struct history_limits
{
    /// About 10 MB at this size; at 500 attempts/s it covers two minutes,
    /// far longer than a request lives.
    std::size_t ends = 65'536;
    /// A sidecar that outlives this many gateway incarnations refuses new
    /// gateways until it is restarted.
    std::size_t gateways = 16'384;
};

/// Send the request to the backend server.
struct start
{
    core::attempt_request request;
};

/// Answer every open `/attempt` stream of this attempt.
struct answer
{
    core::attempt_answer content;
};

/// As `answer`, for an attempt that this sidecar did not run.
struct refuse
{
    core::attempt_answer content;
};

/// The attempt waits for a slot; keep its stream open.
struct queue
{
    core::attempt_id id;
};

/// Answer the `/cancel` stream.
struct answer_cancel
{
    core::cancel_answer content;
};

using admission_action =
    std::variant<start, answer, refuse, queue, answer_cancel>;
using admission_actions = std::vector<admission_action>;

/// Counts for metrics; they only rise.
struct admission_counters
{
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t forgotten = 0;
};

/// Decides what the sidecar does with each attempt. Use one per life of the
/// sidecar, from one thread at a time.
///
/// A copy of an attempt that is waiting or running gives no action: the
/// program attaches the copy's stream to the attempt and answers both.
class admission_controller
{
public:
    /// @param self Must differ from every earlier life of this sidecar.
    admission_controller(core::incarnation self,
                         admission_limits const& limits,
                         history_limits const& memory = {});

    admission_actions attempt(core::time_point now,
                              core::attempt_request request);

    /// Cancels an attempt that has not started; a late copy is refused.
    admission_actions cancel(core::time_point now,
                             core::cancel_request const& request);

    /// The backend server gave a whole answer.
    admission_actions backend_answered(core::time_point now,
                                       core::attempt_id const& id,
                                       core::answer_content content);

    /// The call to the backend server failed.
    ///
    /// @param sent False only when no byte of the request was sent, for
    /// example because connecting failed. It proves that nothing ran.
    admission_actions
    backend_failed(core::time_point now, core::attempt_id const& id, bool sent);

    /// Starts or ends draining. Waiting attempts are refused when it starts,
    /// running ones finish.
    admission_actions drain(core::time_point now, bool draining);

    /// Takes the sidecar's availability zone out or back in.
    ///
    /// @param in_force Configuration revision that says so. An older one
    /// than already in force is ignored.
    admission_actions configure(core::time_point now,
                                core::revision in_force,
                                admission_limits const& limits,
                                bool zone_out);

    /// Drops waiting attempts whose deadline has passed.
    admission_actions timer(core::time_point now);

    /// @return When `timer` must be called next, if at all.
    std::optional<core::time_point> next_timer() const;

    std::size_t running() const noexcept;
    std::size_t waiting() const noexcept;
    core::revision in_force() const noexcept;
    bool draining() const noexcept;
    admission_counters const& counters() const noexcept;

private:
    struct waiting_attempt
    {
        core::attempt_request request;
        core::time_point deadline;
    };

    bool has_free_slot() const noexcept;
    bool is_pending(core::attempt_id const& id) const;
    bool repeat_end(core::attempt_id const& id, admission_actions& out);
    core::result_code reason_to_refuse(core::attempt_request const& request);
    core::duration expected_wait() const;
    void admit(core::time_point now,
               core::attempt_request request,
               admission_actions& out);
    void start_now(core::time_point now,
                   core::attempt_request request,
                   admission_actions& out);
    void start_waiting(core::time_point now, admission_actions& out);
    void shed_expired(core::time_point now, admission_actions& out);
    void refuse_waiting(core::result_code code, admission_actions& out);
    void refuse_attempt(core::attempt_id const& id,
                        core::result_code code,
                        admission_actions& out);
    core::attempt_answer make_answer(core::attempt_id const& id,
                                     core::attempt_outcome outcome,
                                     core::result_code code) const;
    core::cancel_outcome cancel_outcome_of(core::attempt_id const& id,
                                           admission_actions& out);
    bool cancel_waiting(core::attempt_id const& id, admission_actions& out);

    core::incarnation m_self;
    admission_limits m_limits;
    attempt_history m_memory;
    core::revision m_in_force;
    bool m_draining = false;
    bool m_zone_out = false;
    /// Smoothed time in a slot; zero until the first answer.
    core::duration m_service_time{};
    std::map<core::attempt_id, core::time_point> m_running;
    std::deque<waiting_attempt> m_waiting;
    admission_counters m_counters;
};

} // namespace turmericswitch::admission

#endif
