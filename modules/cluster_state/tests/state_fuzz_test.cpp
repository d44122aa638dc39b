#include "cluster_state/machine/state_machine.hpp"
#include "core/hooks/random_source.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace turmericswitch::cluster_state
{

using namespace core;

namespace
{

constexpr char const* rules_text = "zone a region=n # asked by A: test\n"
                                   "never-share k0 k1 # asked by A: test\n"
                                   "limit k2 per-worker=1 # asked by A: test\n";

/// Simple and slow reference model of the jobs, zone and revision.
struct oracle
{
    struct job
    {
        job_state state = job_state::queued;
        std::uint32_t attempt = 0;
        bool has_run = false;
        int worker = -1;
        int kind = 0;
        std::int64_t cpu = 0;
    };

    std::vector<job> jobs;
    bool zone_in_service = true;
    std::uint64_t revision = 1;

    bool may_place(std::size_t id, std::uint32_t attempt, int worker) const
    {
        auto const& wanted = jobs[id];
        bool const waits = wanted.state == job_state::queued ||
                           wanted.state == job_state::suspended;
        std::int64_t used = wanted.cpu;
        bool is_free = true;
        for (auto const& other : jobs)
        {
            if (other.worker == worker)
            {
                used += other.cpu;
                is_free = is_free && other.kind + wanted.kind != 1 &&
                          (other.kind != 2 || wanted.kind != 2);
            }
        }
        return waits && zone_in_service && is_free && used <= 1000 &&
               attempt == wanted.attempt + 1;
    }

    void end(std::size_t id, job_state next)
    {
        auto& ended = jobs[id];
        ended.worker = -1;
        if (!is_final(ended.state))
        {
            ended.state = next;
        }
    }

    void requeue(std::size_t id)
    {
        end(id, jobs[id].has_run ? job_state::suspended : job_state::queued);
    }
};

/// Applies random commands to a state machine and to the oracle. Resends some
/// commands, and at random points restores the state from a snapshot.
class state_machine_fuzzer
{
public:
    explicit state_machine_fuzzer(std::uint64_t seed)
        : m_random(seeded_random(seed))
    {
        RC_ASSERT(
            send(apply_rules{operator_id("o"), revision(0), rules_text}).code ==
            result_code::ok);
        for (int i = 0; i < 2; ++i)
        {
            worker_description worker;
            worker.worker = worker_name(i);
            worker.place.zone = zone_id("a");
            worker.capacity.cpu = millicores(1000);
            send(register_worker{worker});
        }
    }

    void step()
    {
        if (below(10) == 0)
        {
            resend();
        }
        if (below(15) == 0)
        {
            restore();
        }
        run_random_command();
        compare_with_oracle();
    }

private:
    int below(std::uint64_t limit)
    {
        return static_cast<int>(random_below(m_random, limit));
    }

    static worker_id worker_name(int index)
    {
        return worker_id("w" + std::to_string(index));
    }

    command_reply send(command_body body)
    {
        m_last.client = client_id("c");
        m_last.sequence = sequence_number(++m_sequence);
        m_last.body = std::move(body);
        m_reply = m_machine.apply(log_index(++m_index), m_last);
        return m_reply;
    }

    void resend()
    {
        RC_ASSERT(m_machine.apply(log_index(++m_index), m_last) == m_reply);
        auto older = m_last;
        older.sequence = sequence_number(m_sequence - 1);
        RC_ASSERT(m_machine.apply(log_index(++m_index), older).code ==
                  result_code::stale_sequence);
    }

    void restore()
    {
        auto const bytes = m_machine.snapshot();
        state_machine other;
        RC_ASSERT(other.restore(bytes));
        RC_ASSERT(other.snapshot() == bytes);
        RC_ASSERT(!other.restore(std::string_view(bytes).substr(
            0, random_below(m_random, bytes.size()))));
        RC_ASSERT(other.snapshot() == bytes);
        m_machine = std::move(other);
    }

    void run_random_command()
    {
        if (m_oracle.jobs.empty() || below(5) == 0)
        {
            submit();
            return;
        }
        auto const id = random_below(m_random, m_oracle.jobs.size());
        auto& job = m_oracle.jobs[id];
        job_id const target(id + 1);
        // Sometimes names an attempt that is not the current one.
        auto const number =
            job.attempt + (below(6) == 0 ? static_cast<unsigned>(below(3)) : 0);
        attempt_number const attempt(number);
        switch (below(8))
        {
        case 0:
        case 1:
            place(id, number + 1, below(2));
            return;
        case 2:
        case 3:
        case 4:
            report(id, attempt, below(2), below(6));
            return;
        case 5:
            send(expire_leases{{{target, attempt}}});
            if (job.worker >= 0 && number == job.attempt)
            {
                m_oracle.requeue(id);
            }
            return;
        case 6:
            cancel_stop_or_evict(job, target, attempt);
            return;
        default:
            change_configuration();
        }
    }

    void submit()
    {
        job_description job;
        auto const kind = below(3);
        auto const cpu = below(600);
        job.name = "j";
        job.team = team_id("t");
        job.kind = task_kind("k" + std::to_string(kind));
        job.declared.cpu = millicores(cpu);
        auto const reply = send(submit_jobs{{job}});
        m_oracle.jobs.push_back({});
        m_oracle.jobs.back().kind = kind;
        m_oracle.jobs.back().cpu = cpu;
        RC_ASSERT(reply.jobs == std::vector{job_id(m_oracle.jobs.size())});
    }

    void place(std::size_t id, std::uint32_t attempt, int worker)
    {
        auto& job = m_oracle.jobs[id];
        send(placement_batch{{{job_id(id + 1),
                               attempt_number(attempt),
                               worker_name(worker),
                               {millicores(job.cpu), {}, {}}}},
                             {},
                             {}});
        if (m_oracle.may_place(id, attempt, worker))
        {
            job.worker = worker;
            job.attempt = attempt;
            job.state = job_state::starting;
        }
    }

    void report(std::size_t id, attempt_number attempt, int worker, int event)
    {
        auto& job = m_oracle.jobs[id];
        auto const what = static_cast<task_event>(event);
        worker_reports command;
        command.worker = worker_name(worker);
        bool const is_repeated = below(6) == 0;
        m_reported[worker] += is_repeated ? 0 : 1;
        command.report_sequence = m_reported[worker];
        command.reports = {{job_id(id + 1), attempt, what, {}, {}, {}}};
        send(command);
        if (is_repeated || job.worker != worker ||
            attempt.value() != job.attempt)
        {
            return;
        }
        if (what == task_event::started)
        {
            bool const starts = job.state == job_state::starting;
            job.has_run = job.has_run || starts;
            job.state = starts ? job_state::running : job.state;
        }
        else if (what == task_event::finished)
        {
            m_oracle.end(id, job_state::finished);
        }
        else if (what != task_event::checkpointed)
        {
            m_oracle.requeue(id);
        }
    }

    void cancel_stop_or_evict(oracle::job& job,
                              job_id target,
                              attempt_number attempt)
    {
        switch (below(6))
        {
        case 0:
            send(cancel_jobs{{target}});
            job.state = is_final(job.state) ? job.state : job_state::cancelled;
            return;
        case 1:
            send(placement_batch{{}, {}, {{target, {}, ""}}});
            job.state = is_final(job.state) ? job.state : job_state::failed;
            return;
        default:
            send(placement_batch{{}, {{target, attempt, ""}}, {}});
            if (attempt.value() == job.attempt &&
                (job.state == job_state::starting ||
                 job.state == job_state::running))
            {
                job.state = job_state::evicting;
            }
        }
    }

    void change_configuration()
    {
        operator_id const author("p" + std::to_string(below(3)));
        if (below(2) == 0)
        {
            bool const in = below(3) > 0;
            send(set_zone{author,
                          zone_id("a"),
                          in ? zone_state::in_service
                             : zone_state::out_of_service,
                          "x"});
            m_oracle.revision += in == m_oracle.zone_in_service ? 0 : 1;
            m_oracle.zone_in_service = in;
            return;
        }
        auto const replaces =
            m_oracle.revision - static_cast<std::uint64_t>(below(2));
        auto const reply =
            send(apply_rules{author, revision(replaces), rules_text});
        bool const wins = replaces == m_oracle.revision;
        RC_ASSERT(reply.code ==
                  (wins ? result_code::ok : result_code::revision_conflict));
        RC_ASSERT(reply.winner.has_value() == !wins);
        m_oracle.revision += wins ? 1 : 0;
    }

    void compare_with_oracle() const
    {
        RC_ASSERT(m_machine.config().current().value() == m_oracle.revision);
        RC_ASSERT(m_machine.config().is_in_service(zone_id("a")) ==
                  m_oracle.zone_in_service);
        std::map<int, std::int64_t> used;
        for (std::size_t id = 0; id < m_oracle.jobs.size(); ++id)
        {
            auto const& wanted = m_oracle.jobs[id];
            auto const* const job = m_machine.jobs().find(job_id(id + 1));
            RC_ASSERT(job->state == wanted.state);
            RC_ASSERT(job->attempt.value() == wanted.attempt);
            RC_ASSERT(job->hold.has_value() == (wanted.worker >= 0));
            used[wanted.worker] += wanted.cpu;
        }
        for (int worker = 0; worker < 2; ++worker)
        {
            RC_ASSERT(m_machine.workers()
                          .find(worker_name(worker))
                          ->committed.cpu.value() == used[worker]);
        }
    }

    random_source m_random;
    state_machine m_machine;
    oracle m_oracle;
    std::uint64_t m_index = 0;
    std::uint64_t m_sequence = 0;
    std::map<int, std::uint64_t> m_reported;
    command_envelope m_last;
    command_reply m_reply;
};

} // namespace

class state_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_fuzz_test);
    CPPUNIT_TEST(jobs_match_a_simple_oracle);
    CPPUNIT_TEST_SUITE_END();

    // Guards against stale attempts that are not fenced, resent commands that
    // run again, wrong capacity checks, and a restored state that differs.
    void jobs_match_a_simple_oracle()
    {
        testing::check_property(
            "jobs match an oracle",
            {.seed = 31, .max_success = 100},
            []
            {
                state_machine_fuzzer fuzzer(
                    *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
                for (int i = 0; i < 200; ++i)
                {
                    fuzzer.step();
                }
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_fuzz_test);

} // namespace turmericswitch::cluster_state
