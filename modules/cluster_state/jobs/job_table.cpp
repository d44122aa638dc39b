#include "cluster_state/jobs/job_table.hpp"

namespace turmericswitch::cluster_state
{

using core::job_state;

core::job_id job_table::add(core::job_description description,
                            core::time_point now)
{
    core::job_record record;
    record.job = core::job_id(++m_last_id);
    record.description = std::move(description);
    record.times.submitted = now;
    index(job_state::queued).insert(record.job);
    auto const id = record.job;
    m_jobs.emplace(id, std::move(record));
    return id;
}

core::job_record const* job_table::find(core::job_id job) const
{
    auto const at = m_jobs.find(job);
    return at == m_jobs.end() ? nullptr : &at->second;
}

core::job_record* job_table::find(core::job_id job)
{
    auto const at = m_jobs.find(job);
    return at == m_jobs.end() ? nullptr : &at->second;
}

void job_table::set_state(core::job_record& job,
                          job_state to,
                          core::time_point now)
{
    index(job.state).erase(job.job);
    job.state = to;
    index(to).insert(job.job);
    if (core::is_final(to))
    {
        job.times.ended = now;
        job.description.payload.clear();
    }
}

void job_table::make_prunable(core::job_record const& job)
{
    if (core::is_final(job.state) && !job.hold)
    {
        m_ended.insert({job.times.ended, job.job});
    }
}

void job_table::prune(core::time_point now, std::size_t limit)
{
    for (; limit > 0 && !m_ended.empty(); --limit)
    {
        auto const [ended, job] = *m_ended.begin();
        if (m_ended.size() <= max_ended_jobs &&
            ended + ended_job_lifetime > now)
        {
            return;
        }
        auto const at = m_jobs.find(job);
        index(at->second.state).erase(job);
        m_jobs.erase(at);
        m_ended.erase(m_ended.begin());
    }
}

std::set<core::job_id> const& job_table::in_state(job_state state) const
{
    return m_by_state[static_cast<std::size_t>(state)];
}

std::set<core::job_id>& job_table::index(job_state state)
{
    return m_by_state[static_cast<std::size_t>(state)];
}

std::map<core::job_id, core::job_record> const& job_table::all() const noexcept
{
    return m_jobs;
}

std::size_t job_table::live_count() const
{
    return m_jobs.size() - in_state(job_state::finished).size() -
           in_state(job_state::failed).size() -
           in_state(job_state::cancelled).size();
}

std::uint64_t job_table::last_id() const noexcept
{
    return m_last_id;
}

void job_table::restore(core::job_record record)
{
    index(record.state).insert(record.job);
    make_prunable(record);
    auto const id = record.job;
    m_jobs.emplace(id, std::move(record));
}

void job_table::restore_last_id(std::uint64_t last) noexcept
{
    m_last_id = last;
}

} // namespace turmericswitch::cluster_state
