#include "core/results/last_reason.hpp"
#include "gateway/jobs/job_gateway.hpp"
#include "process/clock/boot_clock.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::gateway
{

class job_gateway_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_gateway_test);
    CPPUNIT_TEST(gateway_with_an_old_configuration_denies_no_queue);
    CPPUNIT_TEST(gateway_never_goes_back_to_an_earlier_revision);
    CPPUNIT_TEST_SUITE_END();

public:
    // A gateway whose connection to control went silent, or whose machine was
    // suspended, does not know queues that were added meanwhile. It must not
    // tell callers that these don't exist, because a caller then gives up.
    void gateway_with_an_old_configuration_denies_no_queue()
    {
        constexpr core::duration max_age = std::chrono::seconds(2);
        transport::io_pool io(1);
        shared::control_link control(io, {{"127.0.0.1", 1}}, 1);
        telemetry::metrics_registry metrics;
        job_gateway gateway(control, metrics, max_age);
        auto const hooks = gateway.hooks();
        gateway.configure(update_with("known", "/known/"));

        gateway.config_confirmed(process::boot_time() - max_age * 2);
        CPPUNIT_ASSERT(hooks.find_queue("a.example", "/known/1"));
        CPPUNIT_ASSERT(!hooks.find_queue("a.example", "/added/1"));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::not_ready);

        gateway.config_confirmed(process::boot_time());
        CPPUNIT_ASSERT(!hooks.find_queue("a.example", "/added/1"));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::queue_unknown);
    }

    // Guards against a late answer that brings back queues that operators have
    // removed (invariant 10).
    void gateway_never_goes_back_to_an_earlier_revision()
    {
        transport::io_pool io(1);
        shared::control_link control(io, {{"127.0.0.1", 1}}, 1);
        telemetry::metrics_registry metrics;
        job_gateway gateway(control, metrics, std::chrono::seconds(2));
        auto const hooks = gateway.hooks();
        auto late = update_with("early", "/early/");
        late.current = core::revision(4);
        auto update = update_with("known", "/known/");
        update.current = core::revision(5);
        gateway.configure(update);
        CPPUNIT_ASSERT(gateway.configure(late).in_force == core::revision(5));
        CPPUNIT_ASSERT(hooks.find_queue("a.example", "/known/1"));
        CPPUNIT_ASSERT(!hooks.find_queue("a.example", "/early/1"));
    }

private:
    static core::watch_answer update_with(std::string name, std::string prefix)
    {
        core::queue_rule rule;
        rule.queue = core::queue_id(std::move(name));
        rule.host = "a.example";
        rule.path_prefix = std::move(prefix);
        core::watch_answer update;
        update.config.emplace();
        update.config->document.version = 3;
        update.config->document.queues.push_back(std::move(rule));
        return update;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_gateway_test);

} // namespace turmericswitch::gateway
