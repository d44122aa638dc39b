#include "workflow/dispatch/run_time_model.hpp"

#include "core/config/queue_address.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace turmericswitch::workflow
{

namespace
{

/// Number of runs in an average: enough to smooth out single runs, and few
/// enough to follow a change within seconds at tens of ends a second.
constexpr double averaged_runs = 30;

core::duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

void run_time_model::add(average& to, double seconds)
{
    to.weight = std::min(to.weight + 1, averaged_runs);
    to.seconds += (seconds - to.seconds) / to.weight;
}

void run_time_model::record_run(core::queue_address const& queue,
                                std::string const& image,
                                core::duration ran)
{
    auto const seconds = std::chrono::duration<double>(ran).count();
    add(m_queues[queue], seconds);
    if (!image.empty())
    {
        add(m_images[image], seconds);
    }
}

core::duration
run_time_model::expected(core::queue_address const& queue,
                         core::stage_description const& stage) const
{
    auto const& image = stage.behaviour.image;
    if (auto const known = m_images.find(image);
        !image.empty() && known != m_images.end())
    {
        return from_seconds(known->second.seconds);
    }
    if (auto const known = m_queues.find(queue); known != m_queues.end())
    {
        return from_seconds(known->second.seconds);
    }
    return stage.estimate;
}

core::duration run_time_model::critical_path(
    core::workflow_record const& workflow,
    std::function<bool(std::uint32_t stage)> const& is_remaining) const
{
    auto const& stages = workflow.description.stages;
    std::vector<core::duration> finished(stages.size());
    core::duration longest{};
    for (std::uint32_t i = 0; i < stages.size(); ++i)
    {
        core::duration start{};
        for (auto const earlier : stages[i].after)
        {
            start = std::max(start, finished[earlier]);
        }
        finished[i] =
            start + (is_remaining(i)
                         ? expected(core::address_of(workflow.queue), stages[i])
                         : core::duration{});
        longest = std::max(longest, finished[i]);
    }
    return longest;
}

} // namespace turmericswitch::workflow
