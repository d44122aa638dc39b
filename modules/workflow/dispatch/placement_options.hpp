#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PLACEMENT_OPTIONS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PLACEMENT_OPTIONS_HPP

namespace turmericswitch::workflow
{

/// Optional features of placement.
struct placement_options
{
    /// Long-running tasks go to the fullest worker that fits, and capacity is
    /// kept for wide tasks.
    bool packing = false;
    /// The learned speed of the workers counts.
    bool speed = false;
    /// Runs are moved to make room for wide and long-running tasks.
    bool moves = false;
};

} // namespace turmericswitch::workflow

#endif
