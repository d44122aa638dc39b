#include "core/hooks/random_source.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::core
{

class random_source_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(random_source_test);
    CPPUNIT_TEST(same_seed_gives_same_numbers);
    CPPUNIT_TEST(jitter_stays_below_its_cap);
    CPPUNIT_TEST_SUITE_END();

    // Guards against decisions that a seed can't replay.
    void same_seed_gives_same_numbers()
    {
        auto const first = seeded_random(7);
        auto const second = seeded_random(7);
        for (int i = 0; i < 100; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(first(), second());
        }
    }

    // Guards against overflow in late attempts and waits above the cap.
    void jitter_stays_below_its_cap()
    {
        auto const source = seeded_random(3);
        duration const base = std::chrono::milliseconds(10);
        duration const cap = std::chrono::milliseconds(500);
        duration longest{};
        for (unsigned attempt = 0; attempt < 100; ++attempt)
        {
            auto const wait = full_jitter(source, base, cap, attempt);
            CPPUNIT_ASSERT(wait >= duration::zero() && wait <= cap);
            longest = std::max(longest, wait);
        }
        CPPUNIT_ASSERT(longest > base);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_source_test);

} // namespace turmericswitch::core
