#ifndef TURMERICSWITCH_TESTS_SUPPORT_PROPERTY_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_PROPERTY_HPP

#include <cstdint>
#include <functional>
#include <string>

namespace turmericswitch::testing
{

/// How long and from which seed a property runs.
struct property_options
{
    std::uint64_t seed = 1;
    int max_success = 100;
    int max_size = 100;
};

/// Runs a RapidCheck property inside a CppUnit test with a fixed seed.
///
/// The environment variables TURMERICSWITCH_FUZZ_SEED and
/// TURMERICSWITCH_FUZZ_CASES replace the seed and the number of cases, which
/// is how scripts/fuzz runs the same property for longer.
///
/// @param name Shown in the failure message.
/// @param options The seed and sizes of the fixed run.
/// @param body Throws, or fails an RC_ASSERT, when the property is broken.
/// @throws CppUnit::Exception With the shrunk counterexample.
void check_property(std::string const& name,
                    property_options const& options,
                    std::function<void()> const& body);

} // namespace turmericswitch::testing

#endif
