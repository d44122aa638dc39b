#include "workflow/dispatch/oversized_stages.hpp"

#include "workflow/dispatch/worker_score.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

constexpr core::duration interval = std::chrono::seconds(1);

/// Longer than a new leader needs to know the workers that report.
constexpr core::duration min_wait = std::chrono::seconds(10);

constexpr std::int64_t bytes_per_mebibyte = std::int64_t{1} << 20;

/// The amounts of one worker or the largest of several.
struct fleet_summary
{
    std::size_t workers = 0;
    std::size_t labelled = 0;
    core::resources largest;
};

std::string exceeded(char const* what,
                     std::int64_t need,
                     std::int64_t largest,
                     char const* unit)
{
    return need <= largest
               ? std::string()
               : std::string(what) + " needed " + std::to_string(need) + unit +
                     ", largest worker has " + std::to_string(largest) + unit;
}

std::string explain(pending_stage const& pending,
                    core::resources const& need,
                    fleet_summary const& fleet)
{
    if (fleet.workers == 0)
    {
        return "no worker of service " + pending.service.value();
    }
    if (fleet.labelled == 0)
    {
        return "no worker of service " + pending.service.value() +
               " has label " + pending.description->constraints.required_label;
    }
    auto const& most = fleet.largest;
    for (auto const& reason :
         {exceeded("cpu", need.cpu.value(), most.cpu.value(), " m"),
          exceeded("memory",
                   need.memory.value() / bytes_per_mebibyte,
                   most.memory.value() / bytes_per_mebibyte,
                   " MiB"),
          exceeded("accelerators",
                   need.accelerators.value(),
                   most.accelerators.value(),
                   "")})
    {
        if (!reason.empty())
        {
            return reason;
        }
    }
    return "each worker is too small in one of cpu, memory and accelerators";
}

} // namespace

std::string why_no_worker_fits(pending_stage const& pending,
                               worker_fleet const& fleet)
{
    auto const& stage = *pending.description;
    // A best-effort task reserves no CPU, but needs half of its request spare.
    auto need = reserved_by(stage);
    need.cpu = std::max(need.cpu, min_spare_cpu(stage));
    fleet_summary summary;
    for (auto const& [id, view] : fleet.all())
    {
        auto const& profile = view.profile;
        if (profile.service != pending.service || view.left)
        {
            continue;
        }
        ++summary.workers;
        if (!has_label(profile.labels, stage.constraints.required_label))
        {
            continue;
        }
        if (core::fits_in(need, profile.capacity))
        {
            return {};
        }
        ++summary.labelled;
        summary.largest =
            core::component_max(summary.largest, profile.capacity);
    }
    return explain(pending, need, summary);
}

std::vector<oversized_stage>
oversized_stages::find_new(core::time_point now,
                           std::vector<pending_stage const*> const& waiting,
                           worker_fleet const& fleet,
                           waiting_hook const& waiting_since)
{
    if (now < m_next)
    {
        return {};
    }
    m_next = now + interval;
    std::vector<oversized_stage> found;
    std::set<stage_ref> known;
    for (auto const* const each : waiting)
    {
        if (now - waiting_since(each->stage) < min_wait)
        {
            continue;
        }
        auto reason = why_no_worker_fits(*each, fleet);
        if (reason.empty())
        {
            continue;
        }
        known.insert(each->stage);
        if (!m_found.contains(each->stage))
        {
            found.push_back({each->stage, each->service, std::move(reason)});
        }
    }
    m_found = std::move(known);
    return found;
}

std::size_t oversized_stages::count() const noexcept
{
    return m_found.size();
}

} // namespace turmericswitch::workflow
