#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::core
{

class units_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(units_test);
    CPPUNIT_TEST(one_component_too_large_does_not_fit);
    CPPUNIT_TEST(sum_and_difference_cancel);
    CPPUNIT_TEST(endpoint_text_brackets_ipv6);
    CPPUNIT_TEST_SUITE_END();

    static resources amount(int cpu, int memory, int accelerators)
    {
        return {millicores(cpu),
                byte_count(memory),
                accelerator_count(accelerators)};
    }

    // Guards against a fit that looks at processors and memory only.
    void one_component_too_large_does_not_fit()
    {
        auto const room = amount(10, 10, 1);
        CPPUNIT_ASSERT(fits_in(amount(10, 10, 1), room));
        CPPUNIT_ASSERT(!fits_in(amount(11, 1, 0), room));
        CPPUNIT_ASSERT(!fits_in(amount(1, 11, 0), room));
        CPPUNIT_ASSERT(!fits_in(amount(1, 1, 2), room));
    }

    // Guards against capacity that leaks when a task ends.
    void sum_and_difference_cancel()
    {
        auto const room = amount(7, 5, 3);
        auto const task = amount(2, 3, 1);
        CPPUNIT_ASSERT((room + task) - task == room);
        CPPUNIT_ASSERT(component_max(room, amount(9, 1, 4)) == amount(9, 5, 4));
    }

    // Guards against ambiguous address text in logs and settings.
    void endpoint_text_brackets_ipv6()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:80"),
                             to_string(endpoint{"127.0.0.1", 80}));
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"),
                             to_string(endpoint{"::1", 80}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(units_test);

} // namespace turmericswitch::core
