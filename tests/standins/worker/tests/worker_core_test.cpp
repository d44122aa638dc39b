#include "standins/worker/worker_core.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::standins
{

using namespace std::chrono_literals;

class worker_core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_core_test);
    CPPUNIT_TEST(late_start_order_is_refused);
    CPPUNIT_TEST(task_without_renewal_stops_at_its_lease_end);
    CPPUNIT_TEST(evicted_task_reports_its_progress);
    CPPUNIT_TEST(stopped_attempt_never_starts);
    CPPUNIT_TEST_SUITE_END();

    static core::heartbeat_answer start_answer(core::duration sent_at)
    {
        core::heartbeat_answer answer;
        answer.sent_at = sent_at;
        core::start_order order;
        order.job = core::job_id(1);
        order.attempt = core::attempt_number(1);
        order.payload = "run_ms=5000 name=a";
        order.permit = 2s;
        order.lease = 3s;
        answer.starts = {order};
        return answer;
    }

    // Guards against a stand-in that would hide a broken permit in control.
    void late_start_order_is_refused()
    {
        worker_core worker({}, false);
        worker.answered(3s, start_answer(1s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, worker.counts().starts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, worker.counts().permit_refusals);
    }

    // Guards against a stand-in that runs on when control has given up.
    void task_without_renewal_stops_at_its_lease_end()
    {
        worker_core worker({}, false);
        worker.answered(1s, start_answer(1s));
        worker.tick(4s);
        auto const next = worker.heartbeat(4s);
        CPPUNIT_ASSERT(next.held.empty());
        CPPUNIT_ASSERT(next.reports.back().event == core::task_event::stopped);
    }

    // Guards against lost progress that looks like a fault of control.
    void evicted_task_reports_its_progress()
    {
        worker_core worker({}, false);
        worker.answered(1s, start_answer(1s));
        core::heartbeat_answer evict;
        evict.orders = {{core::job_id(1),
                         core::attempt_number(1),
                         core::task_action::evict}};
        worker.answered(2s, evict);
        auto const next = worker.heartbeat(2s);
        CPPUNIT_ASSERT(next.reports.back().checkpoint ==
                       core::checkpoint_id("1000000"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, worker.counts().evictions);
    }

    // Guards against a start order that overtakes the stop of its attempt.
    void stopped_attempt_never_starts()
    {
        worker_core worker({}, false);
        core::heartbeat_answer stop;
        stop.orders = {{core::job_id(1),
                        core::attempt_number(1),
                        core::task_action::stop}};
        worker.answered(1s, stop);
        worker.answered(1s, start_answer(1s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, worker.counts().starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_core_test);

} // namespace turmericswitch::standins
