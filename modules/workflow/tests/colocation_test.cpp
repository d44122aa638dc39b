#include "workflow/dispatch/colocation_controller.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>

namespace turmericswitch::workflow
{

using namespace testing;

/// Load: batch that fills beside services, with one image that disturbs and
/// one that does not.
class colocation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(colocation_test);
    CPPUNIT_TEST(model_tells_the_disturbing_image_from_the_harmless);
    CPPUNIT_TEST(unknown_pair_counts_as_disturbing);
    CPPUNIT_TEST(only_the_disturbing_neighbour_is_slowed);
    CPPUNIT_TEST(neighbour_that_disturbs_most_is_slowed_first);
    CPPUNIT_TEST(tail_that_stays_over_its_target_stops_all_neighbours);
    CPPUNIT_TEST(sample_just_below_the_target_does_not_restart_the_limit);
    CPPUNIT_TEST(rare_reports_do_not_lengthen_the_harm);
    CPPUNIT_TEST(every_disturbed_service_is_relieved);
    CPPUNIT_TEST(one_report_is_acted_on_once);
    CPPUNIT_TEST(slowed_task_speeds_up_when_there_is_headroom);
    CPPUNIT_TEST(task_that_stands_still_is_told);
    CPPUNIT_TEST(run_times_follow_what_ran_and_not_the_estimate);
    CPPUNIT_TEST_SUITE_END();

public:
    void model_tells_the_disturbing_image_from_the_harmless()
    {
        interference_model model;
        train(model);
        CPPUNIT_ASSERT(model.effect("proof", {"heavy", 0.2}) > 1.0);
        CPPUNIT_ASSERT(model.effect("proof", {"light", 0.2}) < 0.15);
    }

    void unknown_pair_counts_as_disturbing()
    {
        interference_model model;
        train(model);
        CPPUNIT_ASSERT(model.effect("proof", {"new", 0.2}) > 0.3);
        CPPUNIT_ASSERT(model.effect("other", {"heavy", 0.2}) > 0.3);
    }

    void only_the_disturbing_neighbour_is_slowed()
    {
        train_controller();
        sample(1.4);
        CPPUNIT_ASSERT(pace(m_heavy) < 50);
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
    }

    // Load: two images that disturb beside one service. Slowing the worse one
    // is enough, so the other goes on.
    void neighbour_that_disturbs_most_is_slowed_first()
    {
        train_controller(
            [](colocation_sample& made, double heavy, double light)
            { made.serving[0].tail = 0.15 * std::exp(8 * heavy + 3 * light); });
        sample(1.2);
        CPPUNIT_ASSERT(pace(m_heavy) < 70);
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
    }

    // Guards the limit on harm against a model that is wrong: it blames
    // nobody while the tail stays over its target.
    void tail_that_stays_over_its_target_stops_all_neighbours()
    {
        train_controller();
        auto made = at(1.3);
        make_use_negligible(made);
        auto const begun = m_now;
        while (m_controller.pace(m_worker, m_heavy) > 0)
        {
            m_now += std::chrono::milliseconds(600);
            made.serving[0].tail = 1.3;
            m_controller.update(m_now, m_worker, made);
        }
        CPPUNIT_ASSERT(m_now - begun <= std::chrono::milliseconds(2500));
        // Until the tail is down, nothing new may start there either.
        CPPUNIT_ASSERT(m_controller.is_over_target_for_long(m_now, m_worker));
        made.serving[0].tail = 0.5;
        m_now += std::chrono::milliseconds(600);
        m_controller.update(m_now, m_worker, made);
        CPPUNIT_ASSERT(!m_controller.is_over_target_for_long(m_now, m_worker));
    }

    // Reports of a worker on which nothing ends are a second apart. The time
    // before the first that shows the harm counts too.
    void rare_reports_do_not_lengthen_the_harm()
    {
        train_controller();
        auto made = at(0.5);
        make_use_negligible(made);
        m_controller.update(m_now += std::chrono::seconds(1), m_worker, made);
        auto const begun = m_now;
        made.serving[0].tail = 1.3;
        while (m_controller.pace(m_worker, m_heavy) > 0)
        {
            m_now += std::chrono::milliseconds(1050);
            m_controller.update(m_now, m_worker, made);
        }
        CPPUNIT_ASSERT(m_now - begun <= std::chrono::milliseconds(2100));
    }

    // Samples are rough. One just below the target between others above it
    // doesn't end the time over the target.
    void sample_just_below_the_target_does_not_restart_the_limit()
    {
        train_controller();
        auto made = at(1.3);
        make_use_negligible(made);
        auto const begun = m_now;
        for (int i = 0; m_controller.pace(m_worker, m_heavy) > 0; ++i)
        {
            m_now += std::chrono::milliseconds(600);
            made.serving[0].tail = i % 2 == 0 ? 1.1 : 0.97;
            m_controller.update(m_now, m_worker, made);
            CPPUNIT_ASSERT(m_now - begun <= std::chrono::milliseconds(2500));
        }
    }

    // Two services on one worker, each disturbed by another image. Slowing
    // for the one that is worse off must not leave the other disturbed.
    void every_disturbed_service_is_relieved()
    {
        train_controller(
            [](colocation_sample& made, double heavy, double light)
            {
                made.serving[0].tail = 0.15 * std::exp(8 * heavy);
                made.serving.push_back(
                    {run_of("t", 0, 0), "watch", 0.15 * std::exp(8 * light)});
            });
        auto made = at(1.3);
        made.serving.push_back({run_of("t", 0, 0), "watch", 1.2});
        m_now += std::chrono::milliseconds(600);
        m_controller.update(m_now, m_worker, made);
        CPPUNIT_ASSERT(pace(m_heavy) < 80);
        CPPUNIT_ASSERT(pace(m_light) < 80);
    }

    // Reports come several times within the half second that they average
    // over; acting on each would cut the pace again and again.
    void one_report_is_acted_on_once()
    {
        train_controller();
        sample(1.0);
        auto const once = pace(m_heavy);
        for (int i = 0; i < 5; ++i)
        {
            m_now += std::chrono::milliseconds(50);
            m_controller.update(m_now, m_worker, at(1.0));
        }
        CPPUNIT_ASSERT_EQUAL(once, pace(m_heavy));
    }

    void slowed_task_speeds_up_when_there_is_headroom()
    {
        train_controller();
        sample(1.2);
        auto const slowed = pace(m_heavy);
        CPPUNIT_ASSERT(slowed < 100);
        for (int i = 0; i < 6; ++i)
        {
            sample(0.1);
        }
        CPPUNIT_ASSERT(pace(m_heavy) > slowed);
    }

    void task_that_stands_still_is_told()
    {
        train_controller();
        for (int i = 0; i < 8; ++i)
        {
            // A tail near its target that the heavy neighbour pushes over.
            auto const share =
                static_cast<double>(used(m_heavy).value()) / 32'000;
            sample(0.78 * std::exp(8 * share));
        }
        CPPUNIT_ASSERT_EQUAL(0U, pace(m_heavy));
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
        auto const stalled = m_controller.stalled(m_now, m_worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stalled.size());
        CPPUNIT_ASSERT(stalled.front() == m_heavy);
    }

    // Submitters' estimates are off by an order of magnitude.
    void run_times_follow_what_ran_and_not_the_estimate()
    {
        run_time_model model;
        auto one = stage(1);
        one.behaviour.image = "layout";
        one.estimate = std::chrono::seconds(30);
        core::queue_id const proofs("proofs");
        CPPUNIT_ASSERT(model.expected(proofs, one) == std::chrono::seconds(30));
        for (int i = 0; i < 10; ++i)
        {
            model.record_run(proofs, "layout", std::chrono::seconds(2));
        }
        CPPUNIT_ASSERT(model.expected(proofs, one) == std::chrono::seconds(2));
        auto second = one;
        second.after = {0};
        core::workflow_record record;
        record.queue = queue();
        record.description.stages = {one, second, one};
        CPPUNIT_ASSERT(
            model.critical_path(record, [](std::uint32_t) { return true; }) ==
            std::chrono::seconds(4));
        CPPUNIT_ASSERT(model.critical_path(record,
                                           [](std::uint32_t number) {
                                               return number == 1;
                                           }) == std::chrono::seconds(2));
    }

private:
    static void train(interference_model& model)
    {
        for (int i = 0; i < 300; ++i)
        {
            double const heavy = 0.05 * (i % 5);
            double const light = 0.05 * ((i / 5) % 5);
            model.learn("proof",
                        0.2 * std::exp(8 * heavy),
                        {{"heavy", heavy}, {"light", light}});
        }
    }

    colocation_sample at(double tail) const
    {
        colocation_sample made;
        made.capacity = core::millicores(32'000);
        made.serving = {{run_of("s", 0, 0), "proof", tail}};
        made.best_effort = {
            {m_heavy, "heavy", core::millicores(4000), used(m_heavy)},
            {m_light, "light", core::millicores(4000), used(m_light)}};
        return made;
    }

    /// Leaves one neighbour whose use is too small for the model to blame.
    static void make_use_negligible(colocation_sample& made)
    {
        made.best_effort.resize(1);
        made.best_effort[0].image = "light";
        made.capacity = core::millicores(320'000);
    }

    core::millicores used(core::task_run const& run) const
    {
        return core::millicores(40 * m_controller.pace(m_worker, run));
    }

    void sample(double tail)
    {
        m_now += std::chrono::milliseconds(600);
        m_controller.update(m_now, m_worker, at(tail));
    }

    /// Shows the control a worker on which the neighbours' use varies.
    ///
    /// @param serve Sets the serving tasks that follow from the shares used.
    void train_controller(
        std::function<
            void(colocation_sample&, double heavy, double light)> const& serve)
    {
        for (int i = 0; i < 400; ++i)
        {
            auto made = at(0);
            double const heavy = 0.05 * (i % 4);
            double const light = 0.05 * ((i / 4) % 4);
            made.best_effort[0].used =
                core::millicores(static_cast<std::int64_t>(heavy * 32'000));
            made.best_effort[1].used =
                core::millicores(static_cast<std::int64_t>(light * 32'000));
            serve(made, heavy, light);
            m_now += std::chrono::milliseconds(600);
            m_controller.update(m_now, core::worker_id("teacher"), made);
        }
    }

    /// Tails that follow the heavy neighbour's use alone.
    void train_controller()
    {
        train_controller(
            [](colocation_sample& made, double heavy, double)
            { made.serving[0].tail = 0.15 * std::exp(8 * heavy); });
    }

    std::uint32_t pace(core::task_run const& run) const
    {
        return m_controller.pace(m_worker, run);
    }

    core::time_point m_now = at_ms(100'000);
    core::worker_id m_worker{"w1"};
    core::task_run m_heavy = run_of("b", 0, 0);
    core::task_run m_light = run_of("b", 0, 1);
    colocation_controller m_controller{std::chrono::seconds(4)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(colocation_test);

} // namespace turmericswitch::workflow
