#ifndef TURMERICSWITCH_OVERLOAD_ORDER_CLASS_FAIRNESS_HPP
#define TURMERICSWITCH_OVERLOAD_ORDER_CLASS_FAIRNESS_HPP

#include "core/config/configuration.hpp"

#include <deque>
#include <map>

namespace turmericswitch::overload
{

/// Keeps the large jobs of each queue from always being those that are delayed.
///
/// It compares how many of the largest tenth of the recently ended jobs were in
/// time with how many of all were. While it is less than half as often, large
/// jobs are protected.
class class_fairness
{
public:
    /// @param work Total work of the job, in core-seconds.
    void
    record_end(core::queue_address const& queue, double work, bool in_time);

    /// @return True if a job of this size must not be delayed for smaller ones.
    bool is_protected(core::queue_address const& queue, double work) const;

private:
    struct ended_job
    {
        double work = 0;
        bool in_time = false;
    };

    struct queue_state
    {
        std::deque<ended_job> recent;
        /// Work of the smallest job in the largest tenth.
        double large_work = 0;
        bool are_large_neglected = false;
    };

    std::map<core::queue_address, queue_state> m_queues;
};

} // namespace turmericswitch::overload

#endif
