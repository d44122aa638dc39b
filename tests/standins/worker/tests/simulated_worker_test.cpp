#include "standins/worker/simulated_worker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::standins
{

using namespace std::chrono_literals;

class simulated_worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(simulated_worker_test);
    CPPUNIT_TEST(start_order_after_its_permit_is_refused);
    CPPUNIT_TEST(task_stops_when_its_lease_expires);
    CPPUNIT_TEST(evicted_task_reports_its_checkpoint);
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

    // Guards against a stand-in that starts tasks after their permit expired
    // and so hides a permit fault in control.
    void start_order_after_its_permit_is_refused()
    {
        simulated_worker worker({}, false);
        worker.handle_answer(3s, start_answer(1s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, worker.counts().starts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, worker.counts().permit_refusals);
    }

    // Guards against a task that runs on after its lease expired, when control
    // may already have placed it elsewhere.
    void task_stops_when_its_lease_expires()
    {
        simulated_worker worker({}, false);
        worker.handle_answer(1s, start_answer(1s));
        worker.tick(4s);
        auto const next = worker.heartbeat(4s);
        CPPUNIT_ASSERT(next.held.empty());
        CPPUNIT_ASSERT(next.reports.back().event == core::task_event::stopped);
    }

    // Guards against progress that the stand-in loses on eviction, which would
    // look like a fault of control.
    void evicted_task_reports_its_checkpoint()
    {
        simulated_worker worker({}, false);
        worker.handle_answer(1s, start_answer(1s));
        core::heartbeat_answer evict;
        evict.orders = {{core::job_id(1),
                         core::attempt_number(1),
                         core::task_action::evict}};
        worker.handle_answer(2s, evict);
        auto const next = worker.heartbeat(2s);
        CPPUNIT_ASSERT(next.reports.back().checkpoint ==
                       core::checkpoint_id("1000000"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, worker.counts().evictions);
    }

    // Guards against a start order that arrives after the stop order of the
    // same attempt and still starts it.
    void stopped_attempt_never_starts()
    {
        simulated_worker worker({}, false);
        core::heartbeat_answer stop;
        stop.orders = {{core::job_id(1),
                        core::attempt_number(1),
                        core::task_action::stop}};
        worker.handle_answer(1s, stop);
        worker.handle_answer(1s, start_answer(1s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, worker.counts().starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(simulated_worker_test);

} // namespace turmericswitch::standins
