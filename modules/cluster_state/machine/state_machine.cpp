#include "cluster_state/machine/state_machine.hpp"

#include "cluster_state/machine/snapshot_codec.hpp"
#include "core/hooks/overloaded.hpp"
#include "core/results/last_reason.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::cluster_state
{

core::command_reply state_machine::apply(core::log_index index,
                                         core::command_envelope const& envelope)
{
    assert(index > m_applied);
    m_applied = index;
    m_now = std::max(m_now, envelope.cluster_time);
    bool const has_session = !envelope.client.value().empty();
    if (has_session)
    {
        if (auto known =
                m_sessions.find_reply(envelope.client, envelope.sequence))
        {
            ++m_job_manager.counters().resent_commands;
            return *known;
        }
    }
    auto reply = execute(envelope);
    reply.current = m_config.current();
    if (reply.code == core::result_code::revision_conflict)
    {
        ++m_job_manager.counters().revision_conflicts;
    }
    if (has_session)
    {
        m_sessions.store({envelope.client, envelope.sequence, m_now, reply});
    }
    return reply;
}

core::command_reply
state_machine::execute(core::command_envelope const& envelope)
{
    auto const wall = envelope.wall;
    auto const reply_with = [](core::result_code code)
    {
        core::command_reply reply;
        reply.code = code;
        return reply;
    };
    return std::visit(
        core::overloaded{
            [&](core::apply_rules const& each)
            { return m_config.apply(each, wall); },
            [&](core::set_zone const& each)
            { return m_config.apply(each, wall); },
            [&](core::set_drain const& each)
            { return m_config.apply(each, wall); },
            [&](core::submit_jobs const& each)
            { return m_job_manager.submit(each, m_now); },
            [&](core::cancel_jobs const& each)
            { return m_job_manager.cancel(each, m_now); },
            [&](core::register_worker const& each)
            { return m_job_manager.register_worker(each.worker); },
            [&](core::worker_reports const& each)
            { return m_job_manager.report(each, m_now); },
            [&](core::expire_leases const& each)
            { return m_job_manager.expire(each, m_now); },
            [&](core::retire_worker const& each)
            { return m_job_manager.retire(each.worker); },
            [&](core::placement_batch const& each)
            { return m_job_manager.place(each, m_config, m_now); },
            [&](core::claim_key const& each)
            { return reply_with(m_claims.claim(each, m_now)); },
            [&](core::finish_claim const& each)
            {
                m_claims.finish(each, m_now);
                return reply_with(core::result_code::ok);
            },
            [&](core::expire_records const&) { return remove_expired(); },
            [&](core::apply_document const& each)
            { return m_config.apply(each, wall); },
            [&](core::apply_document_delta const& each)
            { return m_config.apply(each, wall); },
            [&](core::evacuate_zone const& each)
            { return m_config.apply(each, wall); },
            [&](core::submit_workflow const& each) { return submit(each); },
            [&](core::cancel_workflow const& each)
            { return m_workflows.cancel(each, m_now); },
            [&](core::workflow_progress const& each)
            {
                m_workflows.progress(each, m_now);
                return reply_with(core::result_code::ok);
            }},
        envelope.body);
}

core::command_reply state_machine::submit(core::submit_workflow const& command)
{
    auto const* const queue =
        m_config.find_queue(command.queue, command.address);
    if (queue == nullptr && m_workflows.find(command.workflow) == nullptr)
    {
        core::command_reply reply;
        reply.code = core::result_code::queue_unknown;
        reply.text = "no queue " + command.queue.value();
        return reply;
    }
    return m_workflows.submit(
        command, queue == nullptr ? core::queue_rule{} : *queue, m_now);
}

core::command_reply state_machine::remove_expired()
{
    m_workflows.prune(m_now, max_expired_per_command);
    m_sessions.expire(m_now, max_expired_per_command);
    m_claims.expire(m_now, max_expired_per_command);
    m_job_manager.prune(m_now, max_expired_per_command);
    return {};
}

std::string state_machine::snapshot() const
{
    std::vector<core::state_snapshot> parts(1);
    auto& first = parts.front();
    first.applied = m_applied;
    first.now = m_now;
    first.last_job = m_job_manager.jobs().last_id();
    first.config = m_config.record();
    first.sessions = m_sessions.records();
    first.claims = m_claims.records();
    first.released_requests = m_claims.released_records();
    first.counters = m_job_manager.counters();
    first.workflows = m_workflows.records();
    first.longest_lease = m_workflows.longest_lease();
    first.unknown_cancels = m_workflows.cancel_records();
    for (auto const& [id, worker] : m_job_manager.workers().all())
    {
        first.workers.push_back(worker.record);
    }
    for (auto const& [id, job] : m_job_manager.jobs().all())
    {
        if (parts.back().jobs.size() == jobs_per_part)
        {
            parts.emplace_back();
        }
        parts.back().jobs.push_back(job);
    }
    return encode_parts(parts);
}

bool state_machine::restore(std::string_view bytes)
{
    auto parts = decode_parts(bytes);
    if (!parts)
    {
        return false;
    }
    state_machine restored;
    auto& first = parts->front();
    restored.m_applied = first.applied;
    restored.m_now = first.now;
    for (auto& session : first.sessions)
    {
        restored.m_sessions.store(std::move(session));
    }
    for (auto& claim : first.claims)
    {
        restored.m_claims.restore(std::move(claim));
    }
    for (auto const& released : first.released_requests)
    {
        restored.m_claims.restore(released);
    }
    restored.m_workflows.restore(
        std::move(first.workflows), first.longest_lease, first.unknown_cancels);
    bool is_consistent = restored.m_config.restore(std::move(first.config));
    auto jobs = std::move(first.jobs);
    restored.m_job_manager.restore(std::move(first));
    is_consistent =
        is_consistent && restored.m_job_manager.restore_jobs(std::move(jobs));
    for (std::size_t i = 1; i < parts->size(); ++i)
    {
        is_consistent = is_consistent && restored.m_job_manager.restore_jobs(
                                             std::move((*parts)[i].jobs));
    }
    if (!is_consistent)
    {
        return core::fail_bool(core::result_code::snapshot_damaged,
                               "the parts of the snapshot are inconsistent");
    }
    restored.m_job_manager.take_observer(m_job_manager);
    *this = std::move(restored);
    return true;
}

core::log_index state_machine::applied() const noexcept
{
    return m_applied;
}

core::time_point state_machine::now() const noexcept
{
    return m_now;
}

configuration_state const& state_machine::config() const noexcept
{
    return m_config;
}

job_table const& state_machine::jobs() const noexcept
{
    return m_job_manager.jobs();
}

worker_table const& state_machine::workers() const noexcept
{
    return m_job_manager.workers();
}

workflow::workflow_table const& state_machine::workflows() const noexcept
{
    return m_workflows;
}

core::state_counters const& state_machine::counters() const noexcept
{
    return m_job_manager.counters();
}

std::vector<core::held_task> state_machine::held_tasks() const
{
    std::vector<core::held_task> all;
    for (auto const& [id, worker] : m_job_manager.workers().all())
    {
        for (auto const job : worker.held)
        {
            all.push_back({job, m_job_manager.jobs().find(job)->attempt});
        }
    }
    return all;
}

void state_machine::observe_holds(hold_observer observer)
{
    m_job_manager.observe(std::move(observer));
}

} // namespace turmericswitch::cluster_state
