#include "support/property.hpp"
#include "telemetry/telemetry.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <thread>

namespace turmericswitch::telemetry
{

class decision_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decision_log_test);
    CPPUNIT_TEST(latest_records_are_found_in_order);
    CPPUNIT_TEST(records_of_all_threads_are_found);
    CPPUNIT_TEST_SUITE_END();

    static core::decision_record decision(int subject, std::size_t number)
    {
        core::decision_record record;
        record.part = "test";
        record.subject = std::to_string(subject);
        record.action = std::to_string(number);
        return record;
    }

    // The oracle keeps everything and looks at its tail.
    void latest_records_are_found_in_order()
    {
        testing::check_property(
            "latest_records",
            {.seed = 3},
            []
            {
                auto const capacity = *rc::gen::inRange<std::size_t>(1, 20);
                auto const subjects = *rc::gen::container<std::vector<int>>(
                    rc::gen::inRange(0, 4));
                decision_log log(capacity);
                std::vector<core::decision_record> all;
                for (int const subject : subjects)
                {
                    all.push_back(decision(subject, all.size()));
                    log.record(all.back());
                }
                std::size_t const dropped =
                    all.size() - std::min(capacity, all.size());
                all.erase(all.begin(),
                          all.begin() + static_cast<std::ptrdiff_t>(dropped));
                std::vector<core::decision_record> expected;
                for (auto const& one : all)
                {
                    if (one.subject == "2")
                    {
                        expected.push_back(one);
                    }
                }
                RC_ASSERT(log.find("2") == expected);
            });
    }

    // Guards against rings that find() leaves out.
    void records_of_all_threads_are_found()
    {
        decision_log log(100, 4);
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i)
        {
            threads.emplace_back(
                [&]
                {
                    for (std::size_t n = 0; n < 20; ++n)
                    {
                        log.record(decision(7, n));
                    }
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, log.find("7").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_log_test);

} // namespace turmericswitch::telemetry
