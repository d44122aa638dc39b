#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_RUN_TIME_MODEL_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_RUN_TIME_MODEL_HPP

#include "core/messages/workflow.hpp"

#include <functional>
#include <map>
#include <string>

namespace turmericswitch::workflow
{

/// Learns how long tasks run, because submitters' estimates are far off.
///
/// The run time is averaged by image, because tasks of one image behave alike,
/// and by queue for stages without a known image. The submitter's estimate is
/// used until there is an average.
class run_time_model
{
public:
    /// Adds the run time of a run that ended `done`.
    void record_run(core::queue_address const& queue,
                    std::string const& image,
                    core::duration ran);

    /// @return Expected run time of one task of the stage.
    core::duration expected(core::queue_address const& queue,
                            core::stage_description const& stage) const;

    /// @param is_remaining Returns true for stages that count; the others take
    ///        no time.
    /// @return Expected time of the workflow's critical path: the longest chain
    ///         of dependent stages.
    core::duration critical_path(
        core::workflow_record const& workflow,
        std::function<bool(std::uint32_t stage)> const& is_remaining) const;

private:
    struct average
    {
        double seconds = 0;
        /// Number of averaged runs, bounded for exponential decay.
        double weight = 0;
    };

    static void add(average& to, double seconds);

    std::map<std::string, average> m_images;
    std::map<core::queue_address, average> m_queues;
};

} // namespace turmericswitch::workflow

#endif
