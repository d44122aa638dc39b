#include "sidecar/worker/worker_service.hpp"

#include "platform/api/worker_api.hpp"
#include "wire/codec/message_codec.hpp"

#include <future>
#include <optional>
#include <utility>

namespace turmericswitch::sidecar
{

namespace
{

/// Covers a Raft commit across regions, including its fsync.
constexpr core::duration report_timeout = std::chrono::milliseconds(1500);

/// Added to the time for which control holds a long poll.
constexpr core::duration poll_timeout_margin = std::chrono::milliseconds(1500);

/// Reasons of refused registrations that are logged. They come from other
/// writers, so their number has a bound.
constexpr std::size_t max_reasons = 64;

/// Decodes the leader's answer. An answer that is malformed or has another
/// code than `ok` makes the link look for the leader.
///
/// @return Nothing without an answer of the leader.
template <typename Answer>
std::optional<Answer> decode_leader_answer(shared::control_link& control,
                                           shared::control_result const& result)
{
    if (result.outcome != transport::call_outcome::answered)
    {
        return std::nullopt;
    }
    auto answer = wire::decode<Answer>(result.body);
    if (!answer || answer->code != core::result_code::ok)
    {
        control.not_leader(result, answer ? answer->leader : std::nullopt);
        return std::nullopt;
    }
    return answer;
}

} // namespace

worker_service::worker_service(transport::io_pool& io,
                               shared::control_link& control,
                               worker_settings const& settings,
                               core::incarnation incarnation,
                               telemetry::metrics_registry& metrics)
    : m_io(io),
      m_control(control),
      m_runtime(settings.runtime),
      m_unreadable_reports(metrics.counter(
          "turmericswitch_sidecar_unreadable_reports_total",
          "Workers' registrations that name no worker to use.")),
      m_skipped_rows(metrics.counter(
          "turmericswitch_sidecar_skipped_run_rows_total",
          "Rows of workers' lists of runs that could not be read, counted in "
          "each answer.")),
      m_agent({settings.instance, incarnation}, make_hooks(settings.runtime)),
      m_leader_hook(control.on_leader(
          [this](shared::leader_announcement const& announced)
          { m_agent.leader_changed(announced.report_after); }))
{
}

workflow::agent_hooks worker_service::make_hooks(core::endpoint const& runtime)
{
    workflow::agent_hooks hooks;
    hooks.runtime = make_runtime(runtime);
    hooks.leader = make_leader_calls();
    hooks.after = [this](core::duration delay, std::function<void()> task)
    { m_io.post_after(delay, std::move(task)); };
    hooks.on_event = [this](core::event const& event) { m_log.write(event); };
    return hooks;
}

workflow::worker_runtime
worker_service::make_runtime(core::endpoint const& runtime)
{
    auto calls = platform::make_worker_runtime(m_io, runtime);
    calls.sync = [this, sync = std::move(calls.sync)](
                     workflow::sync_call const& call, auto done)
    {
        sync(call,
             [this, done = std::move(done)](
                 std::optional<workflow::sync_result> answer)
             {
                 m_skipped_rows.add(answer ? answer->skipped.size() : 0);
                 done(std::move(answer));
             });
    };
    return calls;
}

workflow::leader_calls worker_service::make_leader_calls()
{
    workflow::leader_calls calls;
    calls.report =
        [this](core::runtime_report const& report,
               std::function<void(std::optional<core::runtime_grant>)> done)
    {
        m_control.call(
            "/worker-report",
            wire::encode(report),
            report_timeout,
            [this, done = std::move(done)](shared::control_result const& result)
            {
                auto grant = decode_leader_answer<core::runtime_grant>(
                    m_control, result);
                if (grant)
                {
                    m_control.set_instances(grant->control);
                }
                done(std::move(grant));
            });
    };
    calls.poll_orders =
        [this](core::orders_request const& request,
               std::function<void(std::optional<core::runtime_orders>)> done)
    {
        m_control.call("/worker-orders",
                       wire::encode(request),
                       request.max_wait + poll_timeout_margin,
                       [this, done = std::move(done)](
                           shared::control_result const& result) {
                           done(decode_leader_answer<core::runtime_orders>(
                               m_control, result));
                       });
    };
    return calls;
}

std::vector<web::route> worker_service::routes()
{
    platform::registration_hooks hooks;
    hooks.registered =
        [this](core::worker_profile profile, std::uint64_t sequence)
    {
        m_registered = true;
        m_io.post([this, profile = std::move(profile), sequence]
                  { m_agent.registered(profile, sequence); });
    };
    hooks.unregistered = [this](core::worker_id const& worker)
    { m_io.post([this, worker] { m_agent.unregistered(worker); }); };
    hooks.unreadable = [this](std::string const& why)
    {
        m_unreadable_reports.add();
        if (!is_new_reason(why))
        {
            return;
        }
        m_log.write({core::event_code::message_unreadable,
                     {core::text_field("message", "worker registration"),
                      core::text_field("why", why)}});
    };
    return platform::registration_routes(m_runtime, std::move(hooks));
}

bool worker_service::is_new_reason(std::string const& why)
{
    std::lock_guard const lock(m_reasons_mutex);
    return m_reasons.size() < max_reasons && m_reasons.insert(why).second;
}

void worker_service::stop()
{
    std::promise<void> stopped;
    m_io.post(
        [this, &stopped]
        {
            m_agent.stop();
            m_leader_hook.reset();
            stopped.set_value();
        });
    stopped.get_future().wait();
}

std::string worker_service::readiness() const
{
    return m_registered ? std::string() : "no worker has registered yet";
}

} // namespace turmericswitch::sidecar
