#include "machine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

namespace turmericswitch::cluster_state
{

using core::queue_address;
using core::queue_id;
using core::result_code;
using core::workflow_id;

/// Accepted jobs after changes of the routes of their queues. Each test guards
/// against a job that its caller, who knows host and path only, can neither see
/// nor cancel any more because operators gave its queue another name.
class job_address_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_address_test);
    CPPUNIT_TEST(job_is_known_after_a_change_of_its_queues_name);
    CPPUNIT_TEST(job_can_be_cancelled_after_a_change_of_its_queues_name);
    CPPUNIT_TEST(resubmission_after_a_change_of_name_is_the_same_job);
    CPPUNIT_TEST(jobs_stay_at_their_addresses_when_queues_swap_names);
    CPPUNIT_TEST(jobs_stay_at_their_addresses_when_queues_swap_prefixes);
    CPPUNIT_TEST(job_is_known_when_its_route_comes_back_under_another_name);
    CPPUNIT_TEST(waiting_jobs_are_counted_after_a_change_of_name);
    CPPUNIT_TEST(submission_from_an_older_configuration_is_accepted);
    CPPUNIT_TEST(submission_is_refused_after_a_cancel_under_another_name);
    CPPUNIT_TEST(job_is_known_after_a_snapshot);
    CPPUNIT_TEST(calls_of_an_earlier_release_find_their_job);
    CPPUNIT_TEST(cancel_of_an_earlier_release_refuses_the_submission);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        configure({{"first", m_watch}, {"other", m_batch}});
    }

    void job_is_known_after_a_change_of_its_queues_name()
    {
        submit("first", m_watch);
        configure({{"second", m_watch}, {"other", m_batch}});
        CPPUNIT_ASSERT(is_known("second", m_watch));
        // From a gateway with the earlier configuration.
        CPPUNIT_ASSERT(is_known("first", m_watch));
        CPPUNIT_ASSERT(!is_known("other", m_batch));
    }

    void job_can_be_cancelled_after_a_change_of_its_queues_name()
    {
        submit("first", m_watch);
        configure({{"second", m_watch}});
        CPPUNIT_ASSERT(cancel("second", m_watch) == result_code::ok);
        CPPUNIT_ASSERT(m_run.state.workflows().active().empty());
    }

    void resubmission_after_a_change_of_name_is_the_same_job()
    {
        submit("first", m_watch);
        configure({{"second", m_watch}, {"first", m_batch}});
        submit("second", m_watch);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_run.state.workflows().active().size());
        CPPUNIT_ASSERT(try_submit("first", m_batch) ==
                       result_code::job_invalid);
    }

    void jobs_stay_at_their_addresses_when_queues_swap_names()
    {
        submit("first", m_watch);
        configure({{"other", m_watch}, {"first", m_batch}});
        CPPUNIT_ASSERT(is_known("other", m_watch));
        CPPUNIT_ASSERT(!is_known("first", m_batch));
        CPPUNIT_ASSERT(cancel("first", m_batch) == result_code::job_unknown);
    }

    void jobs_stay_at_their_addresses_when_queues_swap_prefixes()
    {
        submit("first", m_watch);
        configure({{"first", m_batch}, {"other", m_watch}});
        CPPUNIT_ASSERT(!is_known("first", m_batch));
        CPPUNIT_ASSERT(is_known("other", m_watch));
    }

    void job_is_known_when_its_route_comes_back_under_another_name()
    {
        submit("first", m_watch);
        configure({{"other", m_batch}});
        configure({{"second", m_watch}});
        CPPUNIT_ASSERT(is_known("second", m_watch));
    }

    void waiting_jobs_are_counted_after_a_change_of_name()
    {
        submit("first", m_watch);
        configure({{"other", m_watch}, {"first", m_batch}});
        auto const& table = m_run.state.workflows();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, table.waiting(m_watch));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.waiting(m_batch));
    }

    // The gateway has not got the new configuration yet.
    void submission_from_an_older_configuration_is_accepted()
    {
        configure({{"second", m_watch}, {"first", m_batch}});
        submit("first", m_watch);
        auto const* const job = m_run.state.workflows().find(m_job);
        CPPUNIT_ASSERT(job->queue.queue == queue_id("second"));
    }

    void submission_is_refused_after_a_cancel_under_another_name()
    {
        CPPUNIT_ASSERT(cancel("first", m_watch) == result_code::job_unknown);
        configure({{"second", m_watch}, {"first", m_batch}});
        CPPUNIT_ASSERT(m_run.state.restore(m_run.state.snapshot()));
        CPPUNIT_ASSERT(try_submit("second", m_watch) ==
                       result_code::not_admitted);
        // Another caller's job.
        submit("first", m_batch);
    }

    void job_is_known_after_a_snapshot()
    {
        submit("first", m_watch);
        configure({{"second", m_watch}});
        CPPUNIT_ASSERT(m_run.state.restore(m_run.state.snapshot()));
        CPPUNIT_ASSERT(is_known("second", m_watch));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_run.state.workflows().waiting(m_watch));
    }

    // Their calls and log entries have no address.
    void calls_of_an_earlier_release_find_their_job()
    {
        submit("first", {});
        CPPUNIT_ASSERT(is_known("first", {}));
        CPPUNIT_ASSERT(is_known("first", m_watch));
        CPPUNIT_ASSERT(!is_known("other", {}));
        CPPUNIT_ASSERT(cancel("first", {}) == result_code::ok);
    }

    void cancel_of_an_earlier_release_refuses_the_submission()
    {
        CPPUNIT_ASSERT(cancel("first", {}) == result_code::job_unknown);
        CPPUNIT_ASSERT(try_submit("first", m_watch) ==
                       result_code::not_admitted);
    }

private:
    using route = std::pair<std::string, queue_address>;

    void configure(std::vector<route> const& routes)
    {
        core::apply_document command;
        command.document.version = ++m_version;
        for (auto const& [name, address] : routes)
        {
            auto& rule = command.document.queues.emplace_back();
            rule.queue = queue_id(name);
            rule.host = address.host;
            rule.path_prefix = address.path_prefix;
        }
        CPPUNIT_ASSERT(m_run(command).code == result_code::ok);
    }

    result_code try_submit(std::string const& queue,
                           queue_address const& address)
    {
        core::submit_workflow command;
        command.queue = queue_id(queue);
        command.workflow = m_job;
        command.address = address;
        return m_run(command).code;
    }

    void submit(std::string const& queue, queue_address const& address)
    {
        CPPUNIT_ASSERT(try_submit(queue, address) == result_code::ok);
    }

    result_code cancel(std::string const& queue, queue_address const& address)
    {
        return m_run(core::cancel_workflow{queue_id(queue),
                                           m_job,
                                           workflow::unknown_cancel_retention,
                                           address})
            .code;
    }

    bool is_known(std::string const& queue, queue_address const& address) const
    {
        return m_run.state.workflows().find(queue_id(queue), address, m_job) !=
               nullptr;
    }

    queue_address m_watch{"jobs.example", "/watch/"};
    queue_address m_batch{"jobs.example", "/batch/"};
    workflow_id m_job{"00000000000000b1"};
    machine m_run;
    std::uint64_t m_version = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_address_test);

} // namespace turmericswitch::cluster_state
