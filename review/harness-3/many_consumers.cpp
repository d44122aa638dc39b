#include "deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Many consumers come at once. Each asks for the state of its submission on a
// connection that it keeps.

namespace
{

using namespace review;

constexpr std::size_t gateway_count = 2;
constexpr unsigned usual_consumers = 30;
/// 2.6 times as many.
constexpr unsigned many_consumers = 78;
constexpr int finish_ms = 14000;
constexpr int asking_ms = 20000;
constexpr int pause_between_calls_ms = 1000;
constexpr int budget_ms = 3000;
constexpr int attempts = 5;
constexpr int answered = 200;

nlohmann::json submission()
{
    return {
        {"task_spec", "small"},
        {"phases",
         {{{"count", 1}, {"cpu", 100}, {"mem_mb", 64}, {"estimate_ms", 300}}}}};
}

/// A consumer that asks once a second for the state of its submission. After no
/// answer it tries the next gateway, at most five in a row.
class consumer
{
public:
    consumer(std::string id, std::vector<endpoint> gateways)
        : m_id(std::move(id)), m_gateways(std::move(gateways))
    {
    }

    void ask_until(std::int64_t end)
    {
        std::size_t next = 0;
        int failed = 0;
        auto connection = std::make_unique<kept_connection>(m_gateways[next]);
        while (steady_ms() < end)
        {
            auto const answer = connection->call(
                {"GET",
                 "/jobs/" + m_id,
                 {{"host", "queue.example"},
                  {"x-deadline-ms", std::to_string(budget_ms)}},
                 {}},
                budget_ms);
            if (answer.status == answered)
            {
                failed = 0;
                ++m_answers;
                pause_ms(pause_between_calls_ms);
                continue;
            }
            ++m_failures;
            m_has_given_up = m_has_given_up || ++failed >= attempts;
            next = (next + 1) % m_gateways.size();
            connection = std::make_unique<kept_connection>(m_gateways[next]);
        }
    }

    std::string const& id() const
    {
        return m_id;
    }

    std::string summary() const
    {
        return m_id + ": " + std::to_string(m_answers) + " answers, " +
               std::to_string(m_failures) + " calls without one";
    }

    /// @return True if all attempts of one request got no answer in time.
    bool has_given_up() const
    {
        return m_has_given_up;
    }

private:
    std::string m_id;
    std::vector<endpoint> m_gateways;
    int m_answers = 0;
    int m_failures = 0;
    bool m_has_given_up = false;
};

int play(record& log)
{
    deployment_options options;
    options.gateways = gateway_count;
    deployment system(options, log);
    if (!system.begin())
    {
        return 2;
    }
    auto const count = has_trouble() ? many_consumers : usual_consumers;
    std::vector<consumer> consumers;
    for (unsigned i = 0; i < count; ++i)
    {
        // The platform spreads the consumers over the gateways.
        auto const first = static_cast<std::size_t>(i) % gateway_count;
        std::vector<endpoint> const gateways{system.front_of(first),
                                             system.front_of(1 - first)};
        auto const id = id_of(i + 1);
        system.all().plan(id + ".0", {"small", 1, 100, 64, 300, false, false});
        auto const answer = call(gateways[0],
                                 {"POST",
                                  "/jobs/" + id,
                                  {{"host", "queue.example"},
                                   {"x-deadline-ms", std::to_string(budget_ms)},
                                   {"connection", "close"}},
                                  submission().dump()},
                                 budget_ms);
        if (answer.status != answered)
        {
            log.line("POST " + id + " is answered with " +
                     std::to_string(answer.status));
            return 2;
        }
        consumers.emplace_back(id, gateways);
    }
    log.line(std::to_string(consumers.size()) +
             " submissions are accepted; the traffic ends");
    pause_ms(finish_ms);
    log.line("all consumers ask for the state of their submissions");
    auto const end = steady_ms() + asking_ms;
    std::vector<std::thread> threads;
    threads.reserve(consumers.size());
    for (auto& each : consumers)
    {
        threads.emplace_back([&each, end] { each.ask_until(end); });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    std::size_t lost = 0;
    for (auto const& each : consumers)
    {
        log.line(each.summary());
        lost += each.has_given_up() ? 1 : 0;
    }
    if (lost > 0)
    {
        log.line("LOST: " + std::to_string(lost) + " of " +
                 std::to_string(consumers.size()) +
                 " accepted submissions get no answer in time, in five "
                 "attempts of three seconds");
        return 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        review::record log(argc > 1 ? argv[1] : "record.txt");
        return play(log);
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
