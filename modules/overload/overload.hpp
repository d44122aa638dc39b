#ifndef TURMERICSWITCH_OVERLOAD_OVERLOAD_HPP
#define TURMERICSWITCH_OVERLOAD_OVERLOAD_HPP

// Decides what is delayed, slowed, evicted or refused when capacity is short:
// the work whose loss costs callers least. No I/O. Depends on core.
// docs/design/overload.md explains the policies.

#include "overload/account/job_account.hpp"
#include "overload/admit/admission_control.hpp"
#include "overload/admit/commit_deadline.hpp"
#include "overload/evict/victim_choice.hpp"
#include "overload/order/class_fairness.hpp"
#include "overload/order/job_ranking.hpp"
#include "overload/overload_options.hpp"
#include "overload/share/processor_share.hpp"

#endif
