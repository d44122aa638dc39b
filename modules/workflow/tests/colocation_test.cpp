#include "core/hooks/random_source.hpp"
#include "workflow/dispatch/colocation_controller.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>

namespace turmericswitch::workflow
{

using namespace testing;

/// Best-effort tasks beside serving tasks. The image `heavy` interferes with
/// them, and `light` does not.
class colocation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(colocation_test);
    CPPUNIT_TEST(model_distinguishes_interfering_from_harmless_images);
    CPPUNIT_TEST(estimates_stay_bounded_on_a_large_fleet);
    CPPUNIT_TEST(unknown_pair_is_assumed_to_interfere);
    CPPUNIT_TEST(only_the_interfering_neighbour_is_slowed);
    CPPUNIT_TEST(neighbour_with_the_largest_effect_is_slowed_first);
    CPPUNIT_TEST(tail_that_stays_over_its_target_stops_all_neighbours);
    CPPUNIT_TEST(sample_just_below_the_target_does_not_reset_the_harm_limit);
    CPPUNIT_TEST(neighbours_of_an_overloaded_service_go_on);
    CPPUNIT_TEST(neighbour_with_too_small_an_effect_is_not_stopped);
    CPPUNIT_TEST(infrequent_reports_do_not_extend_the_harm_limit);
    CPPUNIT_TEST(neighbours_of_every_slow_service_are_slowed);
    CPPUNIT_TEST(samples_within_the_averaging_time_are_ignored);
    CPPUNIT_TEST(slowed_task_speeds_up_when_there_is_headroom);
    CPPUNIT_TEST(stopped_task_is_reported_as_stalled);
    CPPUNIT_TEST(run_time_model_prefers_measured_run_times);
    CPPUNIT_TEST_SUITE_END();

public:
    void model_distinguishes_interfering_from_harmless_images()
    {
        interference_model model;
        train(model);
        CPPUNIT_ASSERT(model.effect("proof", {"heavy", 0.2}) > 1.0);
        CPPUNIT_ASSERT(model.effect("proof", {"light", 0.2}) < 0.15);
    }

    // Load: a serving image on a hundred workers, beside thirty best-effort
    // images that take turns. Each sample has a few of them, and hundreds of
    // samples arrive a second. Estimates of the images that were absent for a
    // while grew without bound, so that the leader slowed harmless neighbours
    // and placed tasks beside services that they disturbed.
    void estimates_stay_bounded_on_a_large_fleet()
    {
        constexpr std::uint64_t images = 30;
        constexpr int samples_per_s = 300;
        constexpr int seconds = 30;
        auto const random = core::seeded_random(7);
        auto const is_heavy = [](std::uint64_t image)
        { return image % 6 == 0; };
        auto const name = [](std::uint64_t image)
        { return "image" + std::to_string(image); };
        interference_model model;
        for (int i = 0; i < samples_per_s * seconds; ++i)
        {
            // Load and measurement move the tail up and down.
            double log_tail = -1.0 + 0.4 * (core::random_unit(random) - 0.5);
            std::vector<neighbour_use> neighbours;
            // Some images run only now and then.
            auto const phase = static_cast<std::uint64_t>(i / 500) * 4;
            auto const count = core::random_below(random, 4);
            for (std::uint64_t n = 0; n < count; ++n)
            {
                auto const image =
                    (phase + core::random_below(random, 6)) % images;
                neighbours.push_back({name(image), 0.1});
                log_tail += is_heavy(image) ? 0.8 : 0.0;
            }
            model.learn(at_ms(i * 1000 / samples_per_s),
                        "proof",
                        std::exp(log_tail),
                        neighbours);
        }
        for (std::uint64_t image = 0; image < images; ++image)
        {
            auto const effect = model.effect("proof", {name(image), 0.1});
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                is_heavy(image) ? 0.8 : 0.0, effect, 0.25);
        }
    }

    void unknown_pair_is_assumed_to_interfere()
    {
        interference_model model;
        train(model);
        CPPUNIT_ASSERT(model.effect("proof", {"new", 0.2}) > 0.3);
        CPPUNIT_ASSERT(model.effect("other", {"heavy", 0.2}) > 0.3);
    }

    void only_the_interfering_neighbour_is_slowed()
    {
        train_controller();
        update_with_tail(1.4);
        CPPUNIT_ASSERT(pace(m_heavy) < 50);
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
    }

    // Two images interfere with one service. Guards against slowing both where
    // slowing the one with the larger effect is enough.
    void neighbour_with_the_largest_effect_is_slowed_first()
    {
        train_controller(
            [](colocation_sample& sample, double heavy, double light) {
                sample.serving[0].tail = 0.15 * std::exp(8 * heavy + 3 * light);
            });
        update_with_tail(1.2);
        CPPUNIT_ASSERT(pace(m_heavy) < 70);
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
    }

    // Guards the harm limit against a wrong model: one that predicts no effect
    // of any neighbour while the tail stays over its target.
    void tail_that_stays_over_its_target_stops_all_neighbours()
    {
        train_controller();
        auto sample = sample_with_tail(1.3);
        make_use_negligible(sample);
        auto const started_at = m_now;
        while (m_controller.pace(m_worker, m_heavy) > 0)
        {
            m_now += std::chrono::milliseconds(600);
            sample.serving[0].tail = 1.3;
            m_controller.update(m_now, m_worker, sample);
        }
        CPPUNIT_ASSERT(m_now - started_at <= std::chrono::milliseconds(2500));
        // No best-effort task may start there until the tail is down.
        CPPUNIT_ASSERT(m_controller.is_over_target_for_long(m_now, m_worker));
        sample.serving[0].tail = 0.5;
        m_now += std::chrono::milliseconds(600);
        m_controller.update(m_now, m_worker, sample);
        CPPUNIT_ASSERT(!m_controller.is_over_target_for_long(m_now, m_worker));
    }

    // Load: a service whose own load keeps it over its target for many seconds
    // beside batch that does not disturb it. Guards against batch that stands
    // still for the whole time: while its neighbours are stopped the service is
    // still over its target, so they are not the cause.
    void neighbours_of_an_overloaded_service_go_on()
    {
        train_controller();
        auto sample = sample_with_tail(1.3);
        sample.best_effort.erase(sample.best_effort.begin());
        int working = 0;
        constexpr int samples = 40;
        for (int i = 0; i < samples; ++i)
        {
            m_now += std::chrono::milliseconds(600);
            sample.serving[0].tail = 1.3;
            sample.best_effort[0].used =
                core::millicores(4000 * pace(m_light) / 100);
            m_controller.update(m_now, m_worker, sample);
            working += pace(m_light) > 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(working * 2 > samples);
        // It still stops within the harm limit, in case the model is wrong.
        CPPUNIT_ASSERT(working < samples);
    }

    // Guards against stops that can't help: without its neighbours too the
    // service would be over its target.
    void neighbour_with_too_small_an_effect_is_not_stopped()
    {
        train_controller();
        update_with_tail(4.0);
        CPPUNIT_ASSERT(pace(m_heavy) > 0);
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
    }

    // Reports of a worker on which no run ends are a second apart. Guards
    // against a time over the target that is counted only from the first report
    // that shows it.
    void infrequent_reports_do_not_extend_the_harm_limit()
    {
        train_controller();
        auto sample = sample_with_tail(0.5);
        make_use_negligible(sample);
        m_controller.update(m_now += std::chrono::seconds(1), m_worker, sample);
        auto const started_at = m_now;
        sample.serving[0].tail = 1.3;
        while (m_controller.pace(m_worker, m_heavy) > 0)
        {
            m_now += std::chrono::milliseconds(1050);
            m_controller.update(m_now, m_worker, sample);
        }
        CPPUNIT_ASSERT(m_now - started_at <= std::chrono::milliseconds(2100));
    }

    // Samples are noisy. Guards against a single one just below the target that
    // resets the time over the target.
    void sample_just_below_the_target_does_not_reset_the_harm_limit()
    {
        train_controller();
        auto sample = sample_with_tail(1.3);
        make_use_negligible(sample);
        auto const started_at = m_now;
        for (int i = 0; m_controller.pace(m_worker, m_heavy) > 0; ++i)
        {
            m_now += std::chrono::milliseconds(600);
            sample.serving[0].tail = i % 2 == 0 ? 1.1 : 0.97;
            m_controller.update(m_now, m_worker, sample);
            CPPUNIT_ASSERT(m_now - started_at <=
                           std::chrono::milliseconds(2500));
        }
    }

    // Two services on one worker, each slowed by a different image. Guards
    // against slow-downs only for the service with the higher tail.
    void neighbours_of_every_slow_service_are_slowed()
    {
        train_controller(
            [](colocation_sample& sample, double heavy, double light)
            {
                sample.serving[0].tail = 0.15 * std::exp(8 * heavy);
                sample.serving.push_back(
                    {run_of("t", 0, 0), "watch", 0.15 * std::exp(8 * light)});
            });
        auto sample = sample_with_tail(1.3);
        sample.serving.push_back({run_of("t", 0, 0), "watch", 1.2});
        m_now += std::chrono::milliseconds(600);
        m_controller.update(m_now, m_worker, sample);
        CPPUNIT_ASSERT(pace(m_heavy) < 80);
        CPPUNIT_ASSERT(pace(m_light) < 80);
    }

    // Several reports can arrive within the half second that they average over.
    // Guards against a pace that is lowered again for each of them.
    void samples_within_the_averaging_time_are_ignored()
    {
        train_controller();
        update_with_tail(1.0);
        auto const once = pace(m_heavy);
        for (int i = 0; i < 5; ++i)
        {
            m_now += std::chrono::milliseconds(50);
            m_controller.update(m_now, m_worker, sample_with_tail(1.0));
        }
        CPPUNIT_ASSERT_EQUAL(once, pace(m_heavy));
    }

    void slowed_task_speeds_up_when_there_is_headroom()
    {
        train_controller();
        update_with_tail(1.2);
        auto const slowed = pace(m_heavy);
        CPPUNIT_ASSERT(slowed < 100);
        for (int i = 0; i < 6; ++i)
        {
            update_with_tail(0.1);
        }
        CPPUNIT_ASSERT(pace(m_heavy) > slowed);
    }

    void stopped_task_is_reported_as_stalled()
    {
        train_controller();
        for (int i = 0; i < 8; ++i)
        {
            // The tail is near its target; the heavy neighbour raises it above.
            auto const share =
                static_cast<double>(used(m_heavy).value()) / 32'000;
            update_with_tail(0.78 * std::exp(8 * share));
        }
        CPPUNIT_ASSERT_EQUAL(0U, pace(m_heavy));
        CPPUNIT_ASSERT_EQUAL(100U, pace(m_light));
        auto const stalled = m_controller.stalled(m_now, m_worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stalled.size());
        CPPUNIT_ASSERT(stalled.front() == m_heavy);
    }

    // Submitters' estimates are off by an order of magnitude, so measured run
    // times must replace them.
    void run_time_model_prefers_measured_run_times()
    {
        run_time_model model;
        auto one = stage(1);
        one.behaviour.image = "layout";
        one.estimate = std::chrono::seconds(30);
        core::queue_address const proofs{"jobs.example", "/proofs/"};
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
            model.learn(at_ms(100 * i),
                        "proof",
                        0.2 * std::exp(8 * heavy),
                        {{"heavy", heavy}, {"light", light}});
        }
    }

    colocation_sample sample_with_tail(double tail) const
    {
        colocation_sample sample;
        sample.capacity = core::millicores(32'000);
        sample.serving = {{run_of("s", 0, 0), "proof", tail}};
        sample.best_effort = {
            {m_heavy, "heavy", core::millicores(4000), used(m_heavy)},
            {m_light, "light", core::millicores(4000), used(m_light)}};
        return sample;
    }

    /// Leaves one neighbour, whose share of the CPU is too small for a
    /// predicted effect.
    static void make_use_negligible(colocation_sample& sample)
    {
        sample.best_effort.resize(1);
        sample.best_effort[0].image = "light";
        sample.capacity = core::millicores(320'000);
    }

    core::millicores used(core::task_run const& run) const
    {
        return core::millicores(40 * m_controller.pace(m_worker, run));
    }

    void update_with_tail(double tail)
    {
        m_now += std::chrono::milliseconds(600);
        m_controller.update(m_now, m_worker, sample_with_tail(tail));
    }

    /// Trains the controller with samples in which the neighbours' use varies.
    ///
    /// @param set_serving Sets the serving tasks of a sample from the shares of
    ///        the CPU that the neighbours use.
    void train_controller(
        std::function<void(
            colocation_sample&, double heavy, double light)> const& set_serving)
    {
        for (int i = 0; i < 400; ++i)
        {
            auto sample = sample_with_tail(0);
            double const heavy = 0.05 * (i % 4);
            double const light = 0.05 * ((i / 4) % 4);
            sample.best_effort[0].used =
                core::millicores(static_cast<std::int64_t>(heavy * 32'000));
            sample.best_effort[1].used =
                core::millicores(static_cast<std::int64_t>(light * 32'000));
            set_serving(sample, heavy, light);
            m_now += std::chrono::milliseconds(600);
            m_controller.update(m_now, core::worker_id("teacher"), sample);
        }
    }

    /// Trains with tails that depend only on the heavy neighbour's use.
    void train_controller()
    {
        train_controller(
            [](colocation_sample& sample, double heavy, double)
            { sample.serving[0].tail = 0.15 * std::exp(8 * heavy); });
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
