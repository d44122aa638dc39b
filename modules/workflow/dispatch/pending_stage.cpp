#include "workflow/dispatch/pending_stage.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

bool has_isolated(pending_stage const& pending)
{
    return std::any_of(pending.suspected.begin(),
                       pending.suspected.end(),
                       [](auto const& each)
                       { return each.second == crash_suspicion::isolated; });
}

} // namespace turmericswitch::workflow
