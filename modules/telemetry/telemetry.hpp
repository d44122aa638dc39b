#ifndef TURMERICSWITCH_TELEMETRY_TELEMETRY_HPP
#define TURMERICSWITCH_TELEMETRY_TELEMETRY_HPP

/// @file
/// Module telemetry: the log, metrics in Prometheus text form, decision
/// records for explain, and the status pages of a daemon.
///
/// Dependencies: core, Boost.Log and Boost.Accumulators (in the
/// implementation only).

#include "telemetry/decisions/decision_log.hpp"
#include "telemetry/log/logger.hpp"
#include "telemetry/log/logging.hpp"
#include "telemetry/metrics/metrics_registry.hpp"
#include "telemetry/status/status_pages.hpp"

#endif
