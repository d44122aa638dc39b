#ifndef TURMERICSWITCH_OVERLOAD_OVERLOAD_OPTIONS_HPP
#define TURMERICSWITCH_OVERLOAD_OVERLOAD_OPTIONS_HPP

#include <cstdint>

namespace turmericswitch::overload
{

/// What a job is worth to its caller.
struct value_terms
{
    /// Part of the value of a typical job that does not depend on its work, in
    /// percent. The rest grows with the work.
    std::uint32_t fixed_percent = 50;
    /// Value of a late job in percent of its value in time.
    std::uint32_t late_percent = 15;
};

/// Settings of the section `[overload]`.
struct overload_options
{
    /// Orders waiting jobs by what their delay costs.
    bool order = false;
    /// Shares the spare CPU of a worker by the rank of the jobs.
    bool pace = false;
    /// Evicts work that loses little for work that would lose much.
    bool preemption = false;
    /// Refuses jobs that can't end while their result is useful.
    bool admission = false;
    value_terms value;
};

} // namespace turmericswitch::overload

#endif
