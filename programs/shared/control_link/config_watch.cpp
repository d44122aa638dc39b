#include "shared/control_link/config_watch.hpp"

#include "core/hooks/random_source.hpp"
#include "process/clock/boot_clock.hpp"
#include "shared/control_link/config_assembly.hpp"
#include "shared/peers/peer_client.hpp"
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
/// Time after which a call for a chunk counts as lost: four times what the
/// chunk takes on the slowest link, which other traffic shares, and an
/// allowance for round trip and scheduling.
constexpr core::duration chunk_timeout =
    core::duration(std::chrono::seconds(1)) * 4 * core::config_chunk_bytes /
        core::slowest_link_bytes_per_second +
    std::chrono::milliseconds(500);
/// Calls for chunks that may fail in a row before the leader is asked again.
/// Each of them goes to another control instance.
constexpr unsigned max_chunk_failures = 3;
/// Time for which an earlier release of control, which refuses requests for
/// transfers, is asked for whole configurations.
constexpr core::duration whole_answers_time = std::chrono::seconds(60);
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

    /// The caller must not hold `mutex`.
    void poll()
    {
        core::watch_request request;
        request.process = process_name;
        request.in_force = known.in_force;
        request.registry = known.registry;
        request.max_wait = options.max_wait;
        request.scope = options.scope;
        auto const now = process::boot_time();
        if (!options.scope && now >= transfers_after)
        {
            request.delta_base =
                is_base_valid ? known.in_force : core::revision{};
        }
        link.call("/watch",
                  wire::encode(request),
                  options.max_wait + answer_timeout,
                  [self = shared_from_this(),
                   asked_at = now](control_result const& result)
                  { self->handle_result(result, asked_at); });
    }

    void handle_result(control_result const& result, core::time_point asked_at)
    {
        std::unique_lock lock(mutex);
        if (is_stopped)
        {
            return;
        }
        auto answer = result.outcome == transport::call_outcome::answered
                          ? wire::decode<core::watch_answer>(result.body)
                          : std::nullopt;
        bool const is_from_leader =
            answer && answer->code == core::result_code::ok;
        record_reachability(is_from_leader, result);
        if (is_from_leader)
        {
            ++answers;
            handle_answer(lock, {std::move(*answer), asked_at});
            return;
        }
        if (answer)
        {
            link.not_leader(result, answer->leader);
        }
        else if (result.code == core::result_code::message_malformed)
        {
            transfers_after = process::boot_time() + whole_answers_time;
        }
        poll_later();
    }

    /// An answer of the leader and when it was asked for.
    struct confirmed_answer
    {
        core::watch_answer answer;
        core::time_point asked_at;
    };

    void handle_answer(std::unique_lock<std::mutex>& lock,
                       confirmed_answer confirmed)
    {
        auto& transfer = confirmed.answer.transfer;
        if (transfer && transfer->content.made > known.in_force)
        {
            chunks_of_transfer = 0;
            transfer_begun = process::boot_time();
            totals.bytes += transfer->bytes.size();
            assembly.begin(std::move(*transfer));
            pending = std::move(confirmed);
            continue_transfer(lock);
            return;
        }
        apply(lock, confirmed);
    }

    void apply(std::unique_lock<std::mutex>& lock,
               confirmed_answer const& confirmed)
    {
        auto const& [answer, asked_at] = confirmed;
        auto const previous = known.in_force;
        known = on_update(answer);
        if (answer.transfer && answer.config &&
            known.in_force == answer.current)
        {
            held = *answer.config;
            is_base_valid = true;
        }
        else if (known.in_force != previous)
        {
            // Came in a whole answer, which is not kept.
            is_base_valid = false;
        }
        if (!is_up_to_date(answer))
        {
            poll_later();
            return;
        }
        failures = 0;
        if (options.on_confirmed)
        {
            options.on_confirmed(asked_at);
        }
        lock.unlock();
        poll();
    }

    /// Asks for the next chunk, or applies the configuration if it is complete.
    void continue_transfer(std::unique_lock<std::mutex>& lock)
    {
        if (assembly.is_complete())
        {
            finish_transfer(lock);
            return;
        }
        core::chunk_request const request{
            process_name, assembly.content(), assembly.offset()};
        auto const source = chunk_source();
        lock.unlock();
        auto const done =
            [weak = weak_from_this()](transport::call_result const& result)
        {
            if (auto const self = weak.lock())
            {
                self->handle_chunk(result);
            }
        };
        if (source)
        {
            source->call(
                "/config-chunk", wire::encode(request), chunk_timeout, done);
            return;
        }
        link.call("/config-chunk", wire::encode(request), chunk_timeout, done);
    }

    /// @return A connection to the control instance that sends chunks to this
    /// process, or null if no instances are known. It is not that of `link`:
    /// job calls there are not delayed by chunks and do not end with a lost
    /// one.
    std::shared_ptr<transport::rpc_client> chunk_source()
    {
        auto const& instances = pending.answer.control;
        if (instances.empty())
        {
            return nullptr;
        }
        auto const& instance = instances[source_index % instances.size()];
        if (!chunk_client || chunk_client->peer() != instance)
        {
            chunk_client = make_peer_client(io, instance, random());
        }
        return chunk_client;
    }

    void handle_chunk(transport::call_result const& result)
    {
        std::unique_lock lock(mutex);
        if (is_stopped)
        {
            return;
        }
        auto const answer = result.outcome == transport::call_outcome::answered
                                ? wire::decode<core::chunk_answer>(result.body)
                                : std::nullopt;
        if (answer && answer->code == core::result_code::ok)
        {
            chunk_failures = 0;
            if (answer->bytes.empty())
            {
                continue_later(answer->retry_after);
                return;
            }
            ++totals.chunks;
            ++chunks_of_transfer;
            totals.bytes += answer->bytes.size();
            if (assembly.append(answer->bytes))
            {
                continue_transfer(lock);
                return;
            }
        }
        ++totals.failures;
        ++source_index;
        if (++chunk_failures < max_chunk_failures)
        {
            continue_later(core::full_jitter(
                random, backoff_base, backoff_cap, chunk_failures));
            return;
        }
        // The leader names the content again, and the transfer resumes.
        chunk_failures = 0;
        poll_later();
    }

    void finish_transfer(std::unique_lock<std::mutex>& lock)
    {
        // Transfers in chunks are rare, so the connection is not kept.
        chunk_client.reset();
        auto const content = assembly.content();
        auto next = assembly.finish(held);
        if (!next)
        {
            ++totals.failures;
            is_base_valid = false;
            log_transfer(core::event_code::configuration_unusable, content);
            poll_later();
            return;
        }
        ++(content.base == core::revision{} ? totals.wholes : totals.deltas);
        pending.answer.config = std::move(*next);
        log_transfer(core::event_code::configuration_received, content);
        auto const confirmed = std::exchange(pending, {});
        apply(lock, confirmed);
    }

    void log_transfer(core::event_code code,
                      core::config_content const& content)
    {
        log.write({code,
                   {core::text_field("process", process_name.value()),
                    core::number_field("config_revision", content.made.value()),
                    core::number_field("base", content.base.value()),
                    core::number_field("bytes", content.total_bytes),
                    core::number_field("chunks", chunks_of_transfer),
                    core::time_field("after_ms",
                                     process::boot_time() - transfer_begun)}});
    }

    void poll_later()
    {
        auto const wait =
            core::full_jitter(random,
                              backoff_base,
                              std::min(backoff_cap, options.max_wait),
                              failures++);
        is_waiting = true;
        auto const number = ++waits;
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

    void continue_later(core::duration wait)
    {
        io.post_after(wait,
                      [self = shared_from_this()]
                      {
                          std::unique_lock lock(self->mutex);
                          if (!self->is_stopped)
                          {
                              self->continue_transfer(lock);
                          }
                      });
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
    /// The last configuration that was transferred. It is the base of deltas
    /// while `is_base_valid`: `known.in_force` is its revision.
    core::configuration held;
    bool is_base_valid = false;
    config_assembly assembly;
    /// Applied when `assembly` is complete.
    confirmed_answer pending;
    /// Spreads the processes over the control instances.
    std::size_t source_index = std::hash<std::string>{}(process_name.value());
    std::shared_ptr<transport::rpc_client> chunk_client;
    unsigned chunk_failures = 0;
    std::uint64_t chunks_of_transfer = 0;
    core::time_point transfer_begun;
    core::time_point transfers_after;
    transfer_totals totals;
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

transfer_totals config_watch::transfers() const
{
    std::lock_guard const lock(m_state->mutex);
    return m_state->totals;
}

} // namespace turmericswitch::shared
