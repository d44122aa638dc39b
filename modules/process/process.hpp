#ifndef TURMERICSWITCH_PROCESS_PROCESS_HPP
#define TURMERICSWITCH_PROCESS_PROCESS_HPP

/// @file
/// Module process: what every program needs at its start and end: command
/// line, stop signals, the file that names the bound ports, a clock that counts
/// suspensions, and the thread that owns decision modules.
///
/// Dependencies: core, docopt (in the implementation only).

#include "process/arguments/arguments.hpp"
#include "process/clock/boot_clock.hpp"
#include "process/loop/event_loop.hpp"
#include "process/ports/ports_file.hpp"
#include "process/random/random_seed.hpp"
#include "process/signals/shutdown_signal.hpp"

#endif
