#include "leader/workflow_service.hpp"
#include "tests/replica_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

class workflow_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workflow_service_test);
    CPPUNIT_TEST(poll_of_the_next_incarnation_ends_that_of_the_earlier_one);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a poll that is dropped without an answer when its worker
    // restarts: the sidecar takes that for a lost leader, closes its connection
    // and waits 200 ms before it reports the new incarnation's runs again.
    void poll_of_the_next_incarnation_ends_that_of_the_earlier_one()
    {
        replica_group group;
        auto& leading = group.at(group.wait_for_leader());
        telemetry::metrics_registry metrics;
        auto const service = std::make_shared<workflow_service>(
            *leading.loop,
            *leading.node,
            workflow::dispatch_options{},
            [](core::event const&) {},
            metrics);
        std::vector<std::uint64_t> answered;
        for (std::uint64_t const life : {1, 2})
        {
            core::orders_request request;
            request.worker = core::worker_id("w");
            request.life = core::incarnation(life);
            request.max_wait = std::chrono::seconds(5);
            service->poll_orders(
                request,
                [&answered, life](core::runtime_orders const& orders)
                {
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders.batch);
                    answered.push_back(life);
                });
        }
        CPPUNIT_ASSERT(answered == std::vector<std::uint64_t>{1});
        service->end();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workflow_service_test);

} // namespace turmericswitch::control::testing
