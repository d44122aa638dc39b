#include "gateway/requests/claim_end_sender.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

namespace turmericswitch::gateway
{

using namespace std::chrono_literals;

/// Releases of claims are sent to a control group that may not answer.
class claim_end_sender_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_end_sender_test);
    CPPUNIT_TEST(lost_release_is_repeated_until_control_applies_it);
    CPPUNIT_TEST(release_is_not_repeated_after_its_claim_has_expired);
    CPPUNIT_TEST(few_releases_are_in_flight_while_control_does_not_answer);
    CPPUNIT_TEST(releases_that_wait_are_bounded);
    CPPUNIT_TEST(nothing_is_sent_after_stop);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = core::time_point(1s);
        m_calls.clear();
        m_tasks.clear();
        m_dropped = 0;
        claim_end_hooks hooks;
        hooks.send = [this](core::finish_claim const& end,
                            claim_end_hooks::applied_hook done)
        { m_calls.emplace_back(end, std::move(done)); };
        hooks.run_after = [this](core::duration, std::function<void()> task)
        { m_tasks.push_back(std::move(task)); };
        hooks.now = [this] { return m_now; };
        hooks.dropped = [this] { ++m_dropped; };
        m_sender = std::make_shared<claim_end_sender>(std::move(hooks));
    }

    // Guards against a key that a request that has not run holds until the
    // claim expires, because the only call that releases it got no answer.
    void lost_release_is_repeated_until_control_applies_it()
    {
        m_sender->add(release(1));
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_calls.size());
            CPPUNIT_ASSERT(m_calls[0].first == release(1));
            answer_all(false);
            CPPUNIT_ASSERT(m_calls.empty());
            run_tasks();
        }
        answer_all(true);
        run_tasks();
        CPPUNIT_ASSERT(m_calls.empty() && m_tasks.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_sender->in_flight());
    }

    // Guards against releases that are repeated for ever.
    void release_is_not_repeated_after_its_claim_has_expired()
    {
        m_sender->add(release(1));
        m_now += core::claim_lifetime - 1us;
        answer_all(false);
        run_tasks();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_calls.size());
        m_now += 1us;
        answer_all(false);
        run_tasks();
        CPPUNIT_ASSERT(m_calls.empty() && m_tasks.empty());
    }

    // Guards against an outage of control in which each release adds its own
    // calls.
    void few_releases_are_in_flight_while_control_does_not_answer()
    {
        std::uint64_t const count = 3 * claim_end_sender::max_in_flight;
        for (std::uint64_t i = 0; i < count; ++i)
        {
            m_sender->add(release(i));
        }
        CPPUNIT_ASSERT_EQUAL(claim_end_sender::max_in_flight, m_calls.size());
        answer_all(false);
        CPPUNIT_ASSERT(m_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_tasks.size());
        run_tasks();
        CPPUNIT_ASSERT_EQUAL(claim_end_sender::max_in_flight, m_calls.size());
        CPPUNIT_ASSERT_EQUAL(count, answer_until_none_is_left());
    }

    // Guards against a long outage of control that takes any amount of memory.
    void releases_that_wait_are_bounded()
    {
        std::uint64_t const dropped = 5;
        std::uint64_t const count = claim_end_sender::max_in_flight +
                                    claim_end_sender::max_waiting + dropped;
        for (std::uint64_t i = 0; i < count; ++i)
        {
            m_sender->add(release(i));
        }
        CPPUNIT_ASSERT_EQUAL(dropped, m_dropped);
        CPPUNIT_ASSERT_EQUAL(count - dropped, answer_until_none_is_left());
    }

    // Guards against a call that uses a link that is destroyed.
    void nothing_is_sent_after_stop()
    {
        m_sender->add(release(1));
        m_sender->add(release(2));
        answer_all(false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_tasks.size());
        m_sender->stop();
        run_tasks();
        m_sender->add(release(3));
        CPPUNIT_ASSERT(m_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_sender->in_flight());
    }

private:
    static core::finish_claim release(std::uint64_t sequence)
    {
        core::finish_claim end;
        end.service = core::service_id("s");
        end.key = "k";
        end.request.sequence = core::sequence_number(sequence);
        end.ran = false;
        return end;
    }

    void answer_all(bool is_applied)
    {
        for (auto const& [end, done] : std::exchange(m_calls, {}))
        {
            done(is_applied);
        }
    }

    void run_tasks()
    {
        for (auto const& task : std::exchange(m_tasks, {}))
        {
            task();
        }
    }

    /// @return Number of ends that were applied.
    std::uint64_t answer_until_none_is_left()
    {
        std::uint64_t applied = 0;
        while (!m_calls.empty())
        {
            applied += m_calls.size();
            answer_all(true);
        }
        return applied;
    }

    core::time_point m_now;
    std::uint64_t m_dropped = 0;
    std::vector<std::pair<core::finish_claim, claim_end_hooks::applied_hook>>
        m_calls;
    std::vector<std::function<void()>> m_tasks;
    std::shared_ptr<claim_end_sender> m_sender;
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_end_sender_test);

} // namespace turmericswitch::gateway
