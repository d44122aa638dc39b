#include "shared/control_link/config_watch.hpp"

#include "core/hooks/random_source.hpp"
#include "process/clock/boot_clock.hpp"
#include "telemetry/telemetry.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace turmericswitch::shared
{

namespace
{

/// Time beyond the longest wait after which a poll counts as lost. A connection
/// may be silent without a reset.
constexpr core::duration answer_timeout = std::chrono::seconds(1);
constexpr core::duration backoff_base = std::chrono::milliseconds(50);
constexpr core::duration backoff_cap = std::chrono::seconds(2);

} // namespace

struct config_watch::state : std::enable_shared_from_this<config_watch::state>
{
    state(transport::io_pool& pool,
          control_link& control,
          core::client_id name,
          update_hook hook,
          watch_options how)
        : io(pool),
          link(control),
          process_name(std::move(name)),
          on_update(std::move(hook)),
          options(std::move(how)),
          random(core::seeded_random(
              std::hash<std::string>{}(process_name.value())))
    {
    }

    void poll()
    {
        core::watch_request request;
        request.process = process_name;
        request.in_force = known.in_force;
        request.registry = known.registry;
        request.max_wait = options.max_wait;
        request.scope = options.scope;
        link.call("/watch",
                  wire::encode(request),
                  options.max_wait + answer_timeout,
                  [self = shared_from_this(), asked_at = process::boot_time()](
                      control_result const& result)
                  { self->handle_result(result, asked_at); });
    }

    void handle_result(control_result const& result, core::time_point asked_at)
    {
        std::unique_lock lock(mutex);
        if (is_stopped)
        {
            return;
        }
        auto const answer = result.outcome == transport::call_outcome::answered
                                ? wire::decode<core::watch_answer>(result.body)
                                : std::nullopt;
        bool const is_from_leader =
            answer && answer->code == core::result_code::ok;
        record_reachability(is_from_leader, result);
        if (is_from_leader)
        {
            known = on_update(*answer);
            ++answers;
            if (is_up_to_date(*answer))
            {
                failures = 0;
                if (options.on_confirmed)
                {
                    options.on_confirmed(asked_at);
                }
                lock.unlock();
                poll();
                return;
            }
        }
        else if (answer)
        {
            link.not_leader(result, answer->leader);
        }
        auto const wait =
            core::full_jitter(random,
                              backoff_base,
                              std::min(backoff_cap, options.max_wait),
                              failures++);
        is_waiting = true;
        auto const number = ++waits;
        lock.unlock();
        io.post_after(wait,
                      [self = shared_from_this(), number]
                      { self->end_wait(number); });
    }

    /// Polls, unless a new leader ended the wait with this number earlier.
    void end_wait(std::uint64_t number)
    {
        std::unique_lock lock(mutex);
        if (!is_stopped && number == waits && std::exchange(is_waiting, false))
        {
            lock.unlock();
            poll();
        }
    }

    /// The back-off was for the search of a leader, which has ended.
    void handle_new_leader()
    {
        {
            std::lock_guard const lock(mutex);
            failures = 0;
        }
        end_wait(waits);
    }

    /// Logs when the leader becomes unreachable or reachable again, not for
    /// each poll.
    void record_reachability(bool is_reached,
                             transport::call_result const& result)
    {
        if (is_reached == leader_reached)
        {
            return;
        }
        leader_reached = is_reached;
        log.write(
            {is_reached ? core::event_code::control_regained
                        : core::event_code::control_lost,
             {core::text_field("process", process_name.value()),
              core::number_field("config_revision", known.in_force.value()),
              core::text_field("why", is_reached ? "" : loss_reason(result))}});
    }

    static char const* loss_reason(transport::call_result const& result)
    {
        return result.outcome == transport::call_outcome::answered
                   ? "the instance that answered knows no leader"
                   : "no answer";
    }

    /// Control answers at once while the process is behind, so a process that
    /// could not apply an update must wait before the next poll.
    bool is_up_to_date(core::watch_answer const& answer) const
    {
        return known.in_force >= answer.current &&
               (options.scope || known.registry == answer.registry);
    }

    transport::io_pool& io;
    control_link& link;
    core::client_id process_name;
    update_hook on_update;
    watch_options options;
    core::random_source random;
    /// Held while `on_update` runs, so that the destructor waits for it.
    std::mutex mutex;
    std::atomic<bool> is_stopped = false;
    known_state known;
    unsigned failures = 0;
    /// True while the next poll waits.
    bool is_waiting = false;
    std::atomic<std::uint64_t> waits = 0;
    std::shared_ptr<control_link::leader_hook const> leader_hook;
    bool leader_reached = true;
    telemetry::logger const log{"control_link"};
    std::atomic<std::uint64_t> answers = 0;
};

config_watch::config_watch(transport::io_pool& io,
                           control_link& link,
                           core::client_id process,
                           update_hook on_update,
                           watch_options options)
    : m_state(std::make_shared<state>(io,
                                      link,
                                      std::move(process),
                                      std::move(on_update),
                                      std::move(options)))
{
}

config_watch::~config_watch()
{
    std::lock_guard const lock(m_state->mutex);
    m_state->is_stopped = true;
}

void config_watch::start()
{
    m_state->leader_hook = m_state->link.on_leader(
        [weak = std::weak_ptr(m_state)](leader_announcement const&)
        {
            if (auto const self = weak.lock())
            {
                self->handle_new_leader();
            }
        });
    m_state->poll();
}

std::uint64_t config_watch::answers() const noexcept
{
    return m_state->answers;
}

} // namespace turmericswitch::shared
