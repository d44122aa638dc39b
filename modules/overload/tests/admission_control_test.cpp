#include "load_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace turmericswitch::overload
{

using namespace testing;

class admission_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_control_test);
    CPPUNIT_TEST(burst_is_accepted_up_to_its_useful_part);
    CPPUNIT_TEST(retry_time_follows_the_queue_and_is_spread);
    CPPUNIT_TEST(caller_that_resends_ten_times_a_second);
    CPPUNIT_TEST(empty_queue_refuses_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against accepting jobs whose results will be useless, and against
    // refusing ones that are useful.
    void burst_is_accepted_up_to_its_useful_part()
    {
        // Each takes 2 s of the whole capacity and is useful for 24 s.
        submit(69);
        CPPUNIT_ASSERT(m_accounts.size() >= 11 && m_accounts.size() <= 13);
    }

    // Guards against callers that return too early or all at once.
    void retry_time_follows_the_queue_and_is_spread()
    {
        submit(69);
        std::set<core::duration> times;
        for (std::size_t i = 100; i < 150; ++i)
        {
            auto const decision = decide(i);
            CPPUNIT_ASSERT(!decision.is_accepted);
            CPPUNIT_ASSERT(decision.retry_after >= std::chrono::seconds(1));
            CPPUNIT_ASSERT(decision.retry_after <= std::chrono::seconds(30));
            times.insert(decision.retry_after);
        }
        CPPUNIT_ASSERT(times.size() > 25);
    }

    // Guards against a refused job that runs because it was sent again, and
    // against a refusal that outlives its cause.
    void caller_that_resends_ten_times_a_second()
    {
        submit(69);
        CPPUNIT_ASSERT(!decide(200).is_accepted);
        m_accounts.resize(1);
        for (int i = 0; i < 40; ++i)
        {
            m_now_s += 0.1;
            auto const again = decide(200);
            CPPUNIT_ASSERT(!again.is_accepted && again.is_repeated);
        }
        m_now_s += 1.1;
        CPPUNIT_ASSERT(decide(200).is_accepted);
    }

    // Guards against refusals without load, from a leader that does not know
    // the workers yet, and of the first job of a queue.
    void empty_queue_refuses_nothing()
    {
        simulated_job const huge{m_now_s, 10'000, 1};
        auto account = account_of(1, huge);
        CPPUNIT_ASSERT(decide(account, m_capacities).is_accepted);
        submit(69);
        CPPUNIT_ASSERT(decide(account_of(300, m_job), {}).is_accepted);
        account.queue = core::queue_id("other");
        account.address.path_prefix = "/other/";
        CPPUNIT_ASSERT(decide(account, m_capacities).is_accepted);
    }

private:
    admission_decision decide(job_account const& job,
                              pool_capacities const& capacities)
    {
        return m_control.decide(
            job, {m_accounts, capacities}, at_s(m_now_s), {});
    }

    admission_decision decide(std::size_t number)
    {
        m_job.submitted_s = m_now_s;
        return decide(account_of(number, m_job), m_capacities);
    }

    void submit(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            if (decide(i).is_accepted)
            {
                m_accounts.push_back(account_of(i, m_job));
            }
        }
    }

    double m_now_s = 1000;
    simulated_job m_job{1000, 20, 8};
    pool_capacities m_capacities{{{}, 10}};
    std::vector<job_account> m_accounts;
    admission_control m_control{core::seeded_random(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_control_test);

} // namespace turmericswitch::overload
