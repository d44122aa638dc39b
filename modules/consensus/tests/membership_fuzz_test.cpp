#include "support/membership_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <stdexcept>

namespace turmericswitch::consensus
{

namespace
{

using testing::membership_simulation;

constexpr std::uint64_t first_seed = 101;
constexpr std::uint64_t cases_in_ci = 200;

std::uint64_t environment_number(char const* name, std::uint64_t otherwise)
{
    char const* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Runs one case for each seed. TURMERICSWITCH_FUZZ_SEED and
/// TURMERICSWITCH_FUZZ_CASES replace the first seed and the number of cases.
void run_cases(std::size_t instances)
{
    auto const first =
        environment_number("TURMERICSWITCH_FUZZ_SEED", first_seed);
    auto const count =
        environment_number("TURMERICSWITCH_FUZZ_CASES", cases_in_ci);
    std::string failures;
    std::uint64_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        try
        {
            membership_simulation(instances, seed).run();
        }
        catch (std::runtime_error const& error)
        {
            ++failed;
            failures += "\nseed " + std::to_string(seed) + ": " + error.what();
        }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(failed) + " of " +
                               std::to_string(count) + " cases failed" +
                               failures,
                           failed == 0);
}

} // namespace

class membership_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_fuzz_test);
    CPPUNIT_TEST(three_instances_stay_redundant);
    CPPUNIT_TEST(five_instances_stay_redundant);
    CPPUNIT_TEST_SUITE_END();

    // Guard against a group that does not replace a lost disk: a lost identity
    // that stays a voter, or a newcomer that is never admitted or promoted,
    // so that the next loss stops the group. Also against lost entries when
    // faults interrupt the repair.
    void three_instances_stay_redundant()
    {
        run_cases(3);
    }

    void five_instances_stay_redundant()
    {
        run_cases(5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_fuzz_test);

} // namespace turmericswitch::consensus
