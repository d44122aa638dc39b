#ifndef REVIEW_HARNESS_3_MINION_HPP
#define REVIEW_HARNESS_3_MINION_HPP

#include "http.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// @return Milliseconds of the machine's steady clock.
std::int64_t steady_ms();

/// @return Milliseconds since 1970.
std::int64_t unix_ms();

/// What the minions know of a step: the platform page says how tasks behave.
struct step_plan
{
    std::string task_spec;
    std::uint32_t count = 0;
    std::int64_t cpu = 0;
    std::int64_t mem_mb = 0;
    std::int64_t work_ms = 0;
    bool all_or_nothing = false;
    bool long_running = false;
};

/// One start that a minion has executed.
struct run_record
{
    std::string minion;
    std::int64_t born = 0;
    /// ID.K.STEP.INDEX
    std::string task;
    std::uint32_t attempt = 0;
    std::string task_spec;
    std::int64_t begun = 0;
    /// 0 while it runs.
    std::int64_t ended = 0;
    std::string how;
    /// True once a call has acknowledged the end.
    bool is_acknowledged = false;
};

/// What all minions of a deployment share: the plans of the steps, the members
/// of gangs that are present, and the record of all runs.
class fleet
{
public:
    /// @param step ID.STEP
    void plan(std::string const& step, step_plan plan);
    step_plan plan_of(std::string const& task) const;

    std::size_t begin(run_record run);
    void end(std::size_t run, std::string const& how);
    void acknowledge(std::size_t run);

    /// A member of a gang is present from now on.
    void arrive(std::string const& task, std::uint32_t attempt);
    void leave(std::string const& task, std::uint32_t attempt);
    /// @return Since when all members are present; 0 if they are not.
    std::int64_t together_since(std::string const& task,
                                std::uint32_t attempt) const;
    /// @return True if a member has ended, so that the others end `broken`.
    bool is_broken(std::string const& task, std::uint32_t attempt) const;
    /// Marks that the gang has done its work.
    void finish(std::string const& task, std::uint32_t attempt);
    bool is_finished(std::string const& task, std::uint32_t attempt) const;

    std::vector<run_record> runs() const;

private:
    struct gang
    {
        std::uint32_t present = 0;
        std::int64_t together = 0;
        bool is_broken = false;
        bool is_finished = false;
    };

    static std::string step_of(std::string const& task);
    static std::string gang_of(std::string const& task, std::uint32_t attempt);

    mutable std::mutex m_mutex;
    std::map<std::string, step_plan> m_plans;
    std::map<std::string, gang> m_gangs;
    std::vector<run_record> m_runs;
};

struct minion_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 32000;
    std::int64_t mem_mb = 128000;
    std::int64_t max_hold_ms = 10000;
    std::int64_t stop_ms = 400;
    std::int64_t gang_wait_ms = 3000;
    std::int64_t heartbeat_ms = 1100;
    endpoint app;
    endpoint control;
    /// @return True if the minion fails the run that begins now.
    std::function<bool(std::string const& task)> fails;
    /// How long a run works before it fails.
    std::int64_t fail_ms = 100;
    /// @return After how many milliseconds the order that arrives now for the
    ///         task is carried out without an answer; 0 to carry it out and
    ///         answer it.
    std::function<std::int64_t(std::string const& task)> delays;
    /// True if an order that is due while the minion is down is carried out
    /// when it is up again, before all other calls.
    bool keeps_late_orders = false;
};

/// Stand-in for a minion, as the page on messages describes it. It doesn't
/// guard its capacity.
class minion
{
public:
    minion(fleet& all, minion_options options);
    ~minion();

    minion(minion const&) = delete;
    minion& operator=(minion const&) = delete;

    /// Ends as a killed process does: its connections are closed, and what it
    /// runs ends.
    void crash();

    /// Starts again under the same id after a crash.
    void restart();

    std::size_t running() const;
    std::int64_t cpu_in_use() const;

private:
    struct run
    {
        std::string task;
        std::uint32_t attempt = 0;
        std::size_t record = 0;
        std::int64_t begun = 0;
        std::int64_t stops_at = 0;
        bool fails = false;
        step_plan plan;
    };

    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
        std::size_t record = 0;
    };

    using json = nlohmann::json;

    /// An order that is carried out without an answer.
    struct late_order
    {
        std::int64_t due = 0;
        std::string target;
        json body;
    };

    std::optional<response> serve(request const& asked);
    response carry_out(std::string const& target, json const& body);
    void begin_life();
    void carry_out_late_orders();
    response start(json const& body);
    response stop(json const& body);
    response hold(json const& body);
    bool is_fenced(json const& body);
    void extend(json const& body);
    void advance();
    void finish(run const& which, std::string const& how);
    std::string how_ended(run const& which, std::int64_t now) const;
    json answer_body() const;
    void tick();
    void register_again();
    std::int64_t now() const;

    fleet& m_fleet;
    minion_options m_options;
    mutable std::mutex m_mutex;
    std::int64_t m_born_steady = 0;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_lease = 0;
    std::uint64_t m_last_end = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::string, run> m_running;
    std::map<std::string, std::uint32_t> m_closed;
    std::vector<ended_run> m_ended;
    std::vector<late_order> m_late;
    std::atomic<bool> m_is_up = true;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<server> m_server;
    std::thread m_ticks;
    std::thread m_beats;
};

} // namespace review

#endif
