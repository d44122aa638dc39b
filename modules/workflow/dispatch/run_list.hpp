#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_RUN_LIST_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_RUN_LIST_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/candidate_worker.hpp"

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <vector>

namespace turmericswitch::workflow
{

/// Runs of one stage in the order of their tasks. Runs of consecutive tasks
/// with the same attempt are kept as a range, so that the size in memory does
/// not follow the number of tasks.
class run_list
{
public:
    class iterator
    {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = core::task_run;
        using difference_type = std::ptrdiff_t;
        using pointer = void;
        using reference = core::task_run;

        iterator(run_list const& list, std::size_t range, std::uint32_t index);

        core::task_run operator*() const;
        iterator& operator++();
        bool operator==(iterator const& other) const;

    private:
        run_list const* m_list;
        std::size_t m_range;
        std::uint32_t m_index;
    };

    run_list() = default;
    explicit run_list(stage_ref stage);
    /// @param runs Of one stage, in the order of their tasks.
    run_list(std::initializer_list<core::task_run> runs);

    /// @param run Of a task after all others in the list.
    void push_back(core::task_run const& run);
    /// Adds a range after all others in the list.
    void push_back(core::task_range const& tasks, core::attempt_number attempt);
    void erase(core::task_run const& run);
    void clear();
    /// Gives all runs the same attempt.
    void set_attempt(core::attempt_number attempt);

    bool empty() const noexcept;
    /// @return Number of runs.
    std::size_t size() const noexcept;
    /// @return The first run; the list must not be empty.
    core::task_run front() const;
    iterator begin() const;
    iterator end() const;

    bool operator==(run_list const&) const = default;

private:
    struct run_range
    {
        core::task_range tasks;
        core::attempt_number attempt;

        bool operator==(run_range const&) const = default;
    };

    core::task_run run_at(std::size_t range, std::uint32_t index) const;

    stage_ref m_stage;
    std::vector<run_range> m_ranges;
    std::size_t m_size = 0;
};

} // namespace turmericswitch::workflow

#endif
