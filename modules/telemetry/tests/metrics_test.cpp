#include "telemetry/telemetry.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <thread>

namespace turmericswitch::telemetry
{

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(text_is_in_prometheus_form);
    CPPUNIT_TEST(hooked_family_is_read_at_each_scrape);
    CPPUNIT_TEST(counts_of_all_threads_are_summed);
    CPPUNIT_TEST(latency_of_all_threads_is_merged);
    CPPUNIT_TEST(few_samples_give_no_quantiles);
    CPPUNIT_TEST(status_pages_tell_readiness);
    CPPUNIT_TEST_SUITE_END();

    static void on_threads(int count, std::function<void(int)> const& work)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
        {
            threads.emplace_back([&work, i] { work(i); });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
    }

    // Guards against text that a scraper refuses.
    void text_is_in_prometheus_form()
    {
        metrics_registry registry;
        registry.counter("requests_total", "Requests.", {{"zone", "a\"\n\\"}})
            .add(3);
        registry.counter("requests_total", "ignored", {{"zone", "b"}}).add();
        registry.counter("requests_total", "", {{"zone", "b"}}).add();
        registry.gauge("slots", "Slots\nfree.").set(-2);
        registry.add_gauge_hook("load", "Load.", [] { return 0.25; });
        CPPUNIT_ASSERT_EQUAL(
            std::string("# HELP load Load.\n# TYPE load gauge\nload 0.25\n"
                        "# HELP requests_total Requests.\n"
                        "# TYPE requests_total counter\n"
                        "requests_total{zone=\"a\\\"\\n\\\\\"} 3\n"
                        "requests_total{zone=\"b\"} 2\n"
                        "# HELP slots Slots\\nfree.\n# TYPE slots gauge\n"
                        "slots -2\n"),
            registry.text());
    }

    // Guards against values of backend servers that are gone, and against
    // growing values that a scraper takes for gauges.
    void hooked_family_is_read_at_each_scrape()
    {
        metrics_registry registry;
        std::vector<labelled_value> load{{{{"backend", "b"}}, 2},
                                         {{{"backend", "a"}}, 1.5}};
        registry.add_family_hook(
            "load", "Load.", metric_kind::gauge, [&] { return load; });
        registry.add_family_hook("bytes_total",
                                 "Bytes.",
                                 metric_kind::counter,
                                 [&] { return load; });
        registry.add_counter_hook("sent_total", "Sent.", [] { return 7; });
        CPPUNIT_ASSERT_EQUAL(
            std::string("# HELP bytes_total Bytes.\n"
                        "# TYPE bytes_total counter\n"
                        "bytes_total{backend=\"a\"} 1.5\n"
                        "bytes_total{backend=\"b\"} 2\n"
                        "# HELP load Load.\n# TYPE load gauge\n"
                        "load{backend=\"a\"} 1.5\nload{backend=\"b\"} 2\n"
                        "# HELP sent_total Sent.\n"
                        "# TYPE sent_total counter\nsent_total 7\n"),
            registry.text());
        load = {{{{"backend", "c"}}, 3}};
        CPPUNIT_ASSERT(registry.text().find("load{backend=\"c\"} 3\n") !=
                       std::string::npos);
        CPPUNIT_ASSERT(registry.text().find("backend=\"a\"") ==
                       std::string::npos);
        load.clear();
        CPPUNIT_ASSERT(registry.text().find("# TYPE load gauge\n# HELP") !=
                       std::string::npos);
    }

    // Guards against lost updates.
    void counts_of_all_threads_are_summed()
    {
        counter events;
        gauge level;
        on_threads(20,
                   [&](int)
                   {
                       for (int i = 0; i < 10000; ++i)
                       {
                           events.add();
                           level.add(i % 2 == 0 ? 3 : -1);
                       }
                   });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200000}, events.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200000}, level.value());
    }

    // Compares with exact values of 1 to 1000 ms on each of 20 threads.
    void latency_of_all_threads_is_merged()
    {
        latency_metric times;
        on_threads(20,
                   [&](int)
                   {
                       for (int i = 0; i < 1000; ++i)
                       {
                           times.add(
                               std::chrono::milliseconds(i * 7919 % 1000 + 1));
                       }
                   });
        auto const summary = times.summary();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20000}, summary.count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10010.0, summary.sum, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5005, summary.mean, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            (1000.0 * 1000 - 1) / 12 / 1e6, summary.variance, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, summary.maximum, 1e-9);
        for (std::size_t i = 0; i < latency_quantiles.size(); ++i)
        {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                latency_quantiles[i], summary.quantiles.at(i), 0.02);
        }
    }

    // Guards against quantiles that P-square has not yet estimated.
    void few_samples_give_no_quantiles()
    {
        metrics_registry registry;
        auto& times = registry.latency("wait_seconds", "Wait.");
        for (int i = 0; i < 10; ++i)
        {
            times.add(std::chrono::milliseconds(500));
        }
        std::string const head =
            "# HELP wait_seconds Wait.\n# TYPE wait_seconds summary\n";
        CPPUNIT_ASSERT_EQUAL(head +
                                 "wait_seconds_sum 5\nwait_seconds_count 10\n",
                             registry.text());
        times.add(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(registry.text().starts_with(
            head + "wait_seconds{quantile=\"0.5\"} 0.5\n"));
    }

    // Guards against a load balancer that uses a gateway without routes.
    void status_pages_tell_readiness()
    {
        metrics_registry registry;
        registry.counter("a_total", "A.").add();
        std::string reason = "no routes yet";
        status_pages const pages(registry, [&] { return reason; });
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, pages.get("/readyz")->status);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pages.get("/healthz")->status);
        reason.clear();
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, pages.get("/readyz")->status);
        CPPUNIT_ASSERT_EQUAL(registry.text(), pages.get("/metrics")->body);
        CPPUNIT_ASSERT(!pages.get("/other"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace turmericswitch::telemetry
