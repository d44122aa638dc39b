#ifndef TURMERICSWITCH_ADMISSION_ADMISSION_HPP
#define TURMERICSWITCH_ADMISSION_ADMISSION_HPP

/// @file
/// Module admission: admission control in the sidecar of a backend server.
///
/// Decides which attempts start, wait or are refused, and ensures that no
/// attempt runs twice in one incarnation of the sidecar.
///
/// Dependencies: core.

#include "admission/controller/admission_controller.hpp"
#include "admission/history/attempt_history.hpp"

#endif
