#include "cluster_state/jobs/worker_table.hpp"

#include <cassert>

namespace turmericswitch::cluster_state
{

worker_state const* worker_table::find(core::worker_id const& worker) const
{
    auto const at = m_workers.find(worker);
    return at == m_workers.end() ? nullptr : &at->second;
}

worker_state* worker_table::find(core::worker_id const& worker)
{
    auto const at = m_workers.find(worker);
    return at == m_workers.end() ? nullptr : &at->second;
}

void worker_table::upsert(core::worker_description const& description)
{
    auto& record = m_workers[description.worker].record;
    if (record.description.life != description.life)
    {
        record.acknowledged_reports = 0;
    }
    record.description = description;
    record.retired = false;
}

void worker_table::add_hold(core::job_record const& job)
{
    auto* const worker = find(job.hold->worker);
    assert(worker != nullptr);
    worker->committed += job.hold->reserved;
    worker->held.insert(job.job);
    ++worker->kind_counts[job.description.kind];
}

void worker_table::remove_hold(core::job_record const& job)
{
    auto const at = m_workers.find(job.hold->worker);
    assert(at != m_workers.end());
    auto& worker = at->second;
    worker.committed -= job.hold->reserved;
    worker.held.erase(job.job);
    if (--worker.kind_counts[job.description.kind] == 0)
    {
        worker.kind_counts.erase(job.description.kind);
    }
    if (worker.record.retired && worker.held.empty())
    {
        m_workers.erase(at);
    }
}

void worker_table::retire(core::worker_id const& worker)
{
    auto const at = m_workers.find(worker);
    if (at == m_workers.end())
    {
        return;
    }
    at->second.record.retired = true;
    if (at->second.held.empty())
    {
        m_workers.erase(at);
    }
}

std::map<core::worker_id, worker_state> const&
worker_table::all() const noexcept
{
    return m_workers;
}

void worker_table::restore(core::worker_record record)
{
    auto& slot = m_workers[record.description.worker];
    slot.record = std::move(record);
}

} // namespace turmericswitch::cluster_state
