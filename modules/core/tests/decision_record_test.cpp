#include "core/decisions/decision_record.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::core
{

class decision_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_record_test);
    CPPUNIT_TEST(line_has_code_reasons_and_runners_up);
    CPPUNIT_TEST_SUITE_END();

    // Guards against log lines that don't say why.
    void line_has_code_reasons_and_runners_up()
    {
        decision_record const record{
            "placement",
            "job 17",
            "refuse",
            "",
            result_code::job_never_fits,
            {"needs 9 accelerators"},
            {{"worker w1", "4 accelerators"}, {"worker w2", "none"}}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("job 17: refuse [502 job_never_fits] because needs 9 "
                        "accelerators; not worker w1 (4 accelerators), "
                        "worker w2 (none)"),
            to_string(record));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_record_test);

} // namespace turmericswitch::core
