#ifndef TURMERICSWITCH_ADMISSION_ADMISSION_HPP
#define TURMERICSWITCH_ADMISSION_ADMISSION_HPP

/// @file
/// Module admission: the policy of the process beside a backend server.
///
/// It decides which attempts start, wait or are refused, and makes sure that
/// no attempt runs twice in one life of the sidecar.
///
/// Dependencies: core.

#include "admission/controller/admission_controller.hpp"
#include "admission/history/attempt_history.hpp"

#endif
