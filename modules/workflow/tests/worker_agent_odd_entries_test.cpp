#include "worker_agent_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Registrations and rows of lists that are not the worker's own.
class worker_agent_odd_entries_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(worker_agent_odd_entries_test);
    CPPUNIT_TEST(other_worker_that_does_not_answer_is_not_believed);
    CPPUNIT_TEST(other_worker_takes_over_when_it_answers);
    CPPUNIT_TEST(answer_of_another_incarnation_confirms_nothing);
    CPPUNIT_TEST(registration_without_its_incarnation_is_ignored);
    CPPUNIT_TEST(unreadable_row_is_logged_once_per_incarnation);
    CPPUNIT_TEST(unreadable_end_causes_no_busy_loop);
    CPPUNIT_TEST_SUITE_END();

public:
    // An entry of another writer may name any id. Guards against one that ends
    // the incarnation in use, after which the own worker got no work any more.
    void other_worker_that_does_not_answer_is_not_believed()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(!m_agent->registered(profile("other", 8000, 2)));
            CPPUNIT_ASSERT(m_syncs.back().call.worker ==
                           core::worker_id("other"));
            CPPUNIT_ASSERT(!m_syncs.back().call.lease_until);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                                 m_syncs.back().call.acknowledged_ends);
            answer_last_sync(std::nullopt);
        }
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1"));
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT_EQUAL(1, count_of(core::event_code::worker_unconfirmed));
        order_start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_starts.size());
        answer(m_syncs, std::optional(sync_result{}));
        CPPUNIT_ASSERT(!last_report().silent);
    }

    // A worker may start again under a new id at the same address. Guards
    // against one that waits for the silence of the earlier incarnation, and
    // against one that is ignored because its clock was set back.
    void other_worker_takes_over_when_it_answers()
    {
        for (std::uint64_t const life : {2, 1, 9})
        {
            setUp();
            m_agent->registered(profile("w1", 8000, 5));
            grant(1);
            answer(m_syncs, std::optional(sync_result{}));
            grant(1);
            m_agent->registered(profile("w2", 8000, life), 3);
            m_agent->registered(profile("w2", 4000, life), 4);
            auto confirmed = list_at(10, {});
            confirmed.life = core::incarnation(life);
            answer_last_sync(confirmed);
            CPPUNIT_ASSERT(m_agent->profile()->worker == core::worker_id("w2"));
            // The later of two registrations that waited is in force.
            CPPUNIT_ASSERT(m_agent->profile()->capacity.cpu ==
                           core::millicores(4000));
            CPPUNIT_ASSERT(last_report().profile == *m_agent->profile());
            CPPUNIT_ASSERT(m_syncs.back().call.worker == core::worker_id("w2"));
            CPPUNIT_ASSERT(m_syncs.back().call.fencing_token > 1);
            CPPUNIT_ASSERT(!m_agent->registered(profile("w2", 8000, life), 3));
        }
    }

    // The worker answers under the id with another start time than the entry
    // has, so the entry is not of the worker that runs.
    void answer_of_another_incarnation_confirms_nothing()
    {
        start_up();
        m_agent->registered(profile("w2", 8000, 5));
        auto other = list_at(10, {});
        other.life = core::incarnation(6);
        answer_last_sync(other);
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1"));
    }

    // A worker states its start time always or never.
    void registration_without_its_incarnation_is_ignored()
    {
        start_up();
        auto const syncs = m_syncs.size();
        for (auto const* const worker : {"w1", "other"})
        {
            CPPUNIT_ASSERT(!m_agent->registered(profile(worker, 8000, 0)));
        }
        CPPUNIT_ASSERT_EQUAL(syncs, m_syncs.size());
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1"));
    }

    // An odd row stays in the list. Guards against a log line for each sync
    // call.
    void unreadable_row_is_logged_once_per_incarnation()
    {
        start_up();
        sync_result odd;
        odd.skipped = {{false, "malformed task name"}};
        for (int i = 0; i < 3; ++i)
        {
            answer(m_syncs, std::optional(odd));
            grant(1);
        }
        CPPUNIT_ASSERT_EQUAL(1, count_of(core::event_code::run_row_skipped));
        odd.skipped.push_back({true, "malformed task name"});
        answer(m_syncs, std::optional(odd));
        grant(1);
        CPPUNIT_ASSERT_EQUAL(2, count_of(core::event_code::run_row_skipped));
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        answer(m_syncs, std::optional(odd));
        CPPUNIT_ASSERT_EQUAL(4, count_of(core::event_code::run_row_skipped));
    }

    // A worker answers a sync call at once while its list of ended runs is not
    // empty, and an end that can't be read is never acknowledged.
    void unreadable_end_causes_no_busy_loop()
    {
        start_up();
        sync_result odd;
        odd.skipped = {{true, "malformed task name"}};
        answer(m_syncs, std::optional(odd));
        grant(1);
        CPPUNIT_ASSERT(m_syncs.empty());
        run_delayed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_syncs.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_odd_entries_test);

} // namespace turmericswitch::workflow
