#include "workflow/dispatch/pending_stage.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

crash_suspicion suspicion_of(pending_stage const& pending,
                             core::task_run const& run)
{
    auto const known = pending.suspected.find(run);
    return known == pending.suspected.end() ? crash_suspicion::none
                                            : known->second;
}

bool has_isolated(pending_stage const& pending)
{
    return std::any_of(pending.suspected.begin(),
                       pending.suspected.end(),
                       [](auto const& each)
                       { return each.second == crash_suspicion::isolated; });
}

} // namespace turmericswitch::workflow
