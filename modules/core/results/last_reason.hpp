#ifndef TURMERICSWITCH_CORE_RESULTS_LAST_REASON_HPP
#define TURMERICSWITCH_CORE_RESULTS_LAST_REASON_HPP

#include "core/results/result_code.hpp"

#include <optional>
#include <string>

namespace turmericswitch::core
{

/// Why the last failing call of this thread failed.
struct reason
{
    result_code code = result_code::ok;
    std::string text;

    bool operator==(reason const&) const = default;
};

/// @return The reason stored by the last `fail` on this thread. It is only
/// meaningful right after a call that returned nothing or false.
reason const& last_reason() noexcept;

/// Stores the reason of a failure for this thread.
///
/// @return `std::nullopt`, so that a function can write
/// `return fail(code, text);`.
std::nullopt_t fail(result_code code, std::string text);

/// As `fail`, for functions that return bool.
///
/// @return Always false.
bool fail_bool(result_code code, std::string text);

} // namespace turmericswitch::core

#endif
