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

/// Limits of one sidecar.
struct admission_limits
{
    /// Maximum number of running attempts.
    std::uint32_t slots = 8;
    /// Maximum number of connections to the backend server; every running
    /// attempt uses one.
    std::uint32_t connections = 60;
    /// Maximum number of waiting attempts.
    std::uint32_t queue = 8;
};

/// Limits of the `attempt_history`.
struct history_limits
{
    /// Number of ended attempts kept. The default takes about 10 MB and covers
    /// two minutes at 500 attempts/s, far longer than any request takes.
    std::size_t attempts = 65'536;
    /// Number of gateway incarnations tracked. Once this many were seen, the
    /// sidecar refuses new ones until it is restarted.
    std::size_t gateways = 16'384;
};

/// Action: send the request to the backend server.
struct start
{
    core::attempt_request request;
};

/// Action: answer every open `/attempt` stream of this attempt.
struct answer
{
    core::attempt_answer content;
};

/// Action: answer the `/attempt` streams with a refusal; the request is not
/// sent to the backend server.
struct refuse
{
    core::attempt_answer content;
};

/// Action: keep the stream open; the attempt waits for a slot.
struct queue
{
    core::attempt_id id;
};

/// Action: answer the `/cancel` stream.
struct answer_cancel
{
    core::cancel_answer content;
};

using admission_action =
    std::variant<start, answer, refuse, queue, answer_cancel>;
using admission_actions = std::vector<admission_action>;

/// Monotonic counters, for metrics.
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

/// Decides what the sidecar does with each attempt.
///
/// One object serves one incarnation of the sidecar, from one thread at a time.
/// A duplicate of an attempt that is waiting or running leads to no action: the
/// caller attaches its stream to the attempt and answers both.
class admission_controller
{
public:
    /// @param self Incarnation of this sidecar; must differ from all earlier
    /// ones.
    admission_controller(core::incarnation self,
                         admission_limits const& limits,
                         history_limits const& history = {});

    admission_actions attempt(core::time_point now,
                              core::attempt_request request);

    /// Cancels an attempt that has not started, also one that has not arrived
    /// yet; duplicates that arrive later are refused.
    admission_actions cancel(core::time_point now,
                             core::cancel_request const& request);

    /// The backend server sent a complete answer.
    admission_actions backend_answered(core::time_point now,
                                       core::attempt_id const& id,
                                       core::answer_content content);

    /// The call to the backend server failed.
    ///
    /// @param sent False only if no byte of the request was sent, for example
    /// because connecting failed. This proves that the request did not run.
    admission_actions
    backend_failed(core::time_point now, core::attempt_id const& id, bool sent);

    /// Starts or ends draining. When it starts, waiting attempts are refused
    /// and running ones continue.
    admission_actions drain(core::time_point now, bool draining);

    /// Applies the limits and the state of the sidecar's availability zone.
    ///
    /// @param in_force Configuration revision of these values. The call is
    /// ignored if a newer revision is already in force.
    /// @param zone_out True if the zone is out of service; attempts are then
    /// refused.
    admission_actions configure(core::time_point now,
                                core::revision in_force,
                                admission_limits const& limits,
                                bool zone_out);

    /// Refuses waiting attempts whose deadline has passed.
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
    bool answer_from_history(core::attempt_id const& id,
                             admission_actions& out);
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
    attempt_history m_history;
    core::revision m_in_force;
    bool m_draining = false;
    bool m_zone_out = false;
    /// Moving average of the time in a slot; zero until the first answer.
    core::duration m_service_time{};
    std::map<core::attempt_id, core::time_point> m_running;
    std::deque<waiting_attempt> m_waiting;
    admission_counters m_counters;
};

} // namespace turmericswitch::admission

#endif
