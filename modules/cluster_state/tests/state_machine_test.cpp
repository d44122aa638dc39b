#include "machine_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::cluster_state
{

using namespace core;

namespace
{

using namespace std::chrono_literals;

constexpr char const* rules_text =
    "name zone short=az-a asset=Z1 # asked by A: test\n"
    "zone az-a region=n # asked by A: test\n";
constexpr char const* renamed_text = "name zone asset=Z1 # asked by A: test\n"
                                     "zone Z1 region=n # asked by B: test\n";

apply_rules rules(std::uint64_t replaces, char const* text = rules_text)
{
    return {operator_id("ann"), revision(replaces), text};
}

set_zone zone(char const* name, bool in)
{
    return {operator_id("bob"),
            zone_id(name),
            in ? zone_state::in_service : zone_state::out_of_service,
            "power work"};
}

heartbeat_request heartbeat(std::uint64_t life)
{
    heartbeat_request request;
    request.worker.worker = worker_id("w");
    request.worker.life = incarnation(life);
    request.worker.place.zone = zone_id("Z1");
    request.worker.capacity.cpu = millicores(1000);
    return request;
}

/// A machine with one worker, a job placed on it, and the leader's leases.
struct placed_machine : machine
{
    lease_table leases;
    heartbeat_service service{leases};

    placed_machine()
    {
        (*this)(rules(0));
        (*this)(register_worker{heartbeat(1).worker});
        leases.begin_term({}, now);
        state.observe_holds(
            [this](auto const& task, bool is_held) {
                is_held ? leases.add_placement(task, now) : leases.remove(task);
            });
        job_description job;
        job.name = "j";
        job.team = team_id("t");
        job.kind = task_kind("k");
        (*this)(submit_jobs{{job}});
        (*this)(placement_batch{
            {{job_id(1), attempt_number(1), worker_id("w"), {}}}, {}, {}});
    }
};

/// A machine with the queue `q`.
struct queue_machine : machine
{
    queue_machine()
    {
        apply_document command;
        command.document.version = 1;
        command.document.queues.emplace_back().queue = queue_id("q");
        (*this)(command);
    }
};

submit_workflow submitted(std::string const& workflow)
{
    submit_workflow command;
    command.queue = queue_id("q");
    command.workflow = workflow_id(workflow);
    return command;
}

cancel_workflow cancelled(std::string const& workflow)
{
    return {queue_id("q"),
            workflow_id(workflow),
            workflow::unknown_cancel_retention,
            {}};
}

/// The release of a claim whose request has not run.
finish_claim released(claim_key const& claim)
{
    return {claim.service, claim.key, claim.request, false, release_retention};
}

} // namespace

class state_machine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_machine_test);
    CPPUNIT_TEST(applying_rules_keeps_a_zone_out);
    CPPUNIT_TEST(bad_rules_change_nothing);
    CPPUNIT_TEST(conflict_reports_the_winner);
    CPPUNIT_TEST(accepted_order_is_acknowledged_again);
    CPPUNIT_TEST(sessions_expire_with_their_own_code);
    CPPUNIT_TEST(claimed_request_runs_once_until_expiry);
    CPPUNIT_TEST(late_claim_is_refused_after_its_release);
    CPPUNIT_TEST(release_of_an_earlier_release_refuses_nothing);
    CPPUNIT_TEST(released_requests_are_bounded);
    CPPUNIT_TEST(late_submission_is_refused_after_its_cancel);
    CPPUNIT_TEST(cancel_of_an_earlier_release_refuses_nothing);
    CPPUNIT_TEST(cancels_of_unknown_workflows_are_bounded);
    CPPUNIT_TEST(ids_are_not_reused_after_pruning);
    CPPUNIT_TEST(no_start_order_while_the_zone_is_out);
    CPPUNIT_TEST(new_incarnation_gets_no_order_of_an_earlier_attempt);
    CPPUNIT_TEST(expired_attempt_is_never_granted_again);
    CPPUNIT_TEST(new_leader_waits_a_whole_lease);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a rules file that brings back a zone taken out by a
    // command, even if the file drops the name used in the command.
    void applying_rules_keeps_a_zone_out()
    {
        machine run;
        run(rules(0));
        CPPUNIT_ASSERT(run(zone("az-a", false)).current == revision(2));
        auto const reply = run(rules(2, renamed_text));
        CPPUNIT_ASSERT(reply.text.find("stays out") != std::string::npos);
        CPPUNIT_ASSERT(!run.state.config().is_in_service(zone_id("Z1")));
        CPPUNIT_ASSERT(run.state.config().in_force().zones[0].state ==
                       zone_state::out_of_service);
        CPPUNIT_ASSERT(run(zone("Z1", true)).current == revision(4));
        CPPUNIT_ASSERT(run.state.config().is_in_service(zone_id("Z1")));
        auto const& history = run.state.config().history();
        CPPUNIT_ASSERT(history[1].author == operator_id("bob"));
        CPPUNIT_ASSERT(history[1].requested_by == "power work");
        CPPUNIT_ASSERT(history[2].requested_by.find('B') != std::string::npos);
    }

    // Guards against applying part of a rules file that has an error.
    void bad_rules_change_nothing()
    {
        machine run;
        run(rules(0));
        auto const before = run.state.config().record();
        CPPUNIT_ASSERT(run(rules(1, "zone x\n")).code ==
                       result_code::rule_syntax);
        CPPUNIT_ASSERT(run.state.config().record() == before);
    }

    // Guards against a revision conflict that does not say whose change is in
    // force.
    void conflict_reports_the_winner()
    {
        machine run;
        run(rules(0));
        run(zone("az-a", false));
        auto const reply = run(rules(1));
        CPPUNIT_ASSERT(reply.code == result_code::revision_conflict);
        CPPUNIT_ASSERT(reply.winner == operator_id("bob"));
    }

    // Guards against refusing an order that is sent again because its answer
    // was lost, also after a newer one has taken effect.
    void accepted_order_is_acknowledged_again()
    {
        machine run;
        apply_document first;
        first.document.version = 3;
        apply_document second;
        second.document.version = 5;
        second.document.queues.emplace_back().queue = queue_id("q");
        evacuate_zone const out{zone_id("z"), true};
        evacuate_zone const back{zone_id("z"), false};
        std::vector<command_body> const orders{
            first, first, second, second, first, out, out, back, back};
        for (auto const& order : orders)
        {
            CPPUNIT_ASSERT(run(order).code == result_code::ok);
        }
        CPPUNIT_ASSERT_EQUAL(second.document.version,
                             run.state.config().document().version);
        CPPUNIT_ASSERT(run.state.config().in_force().evacuated.empty());
    }

    // Guards against executing a command again after its session expired.
    void sessions_expire_with_their_own_code()
    {
        machine run;
        run(rules(0), "c", 1);
        run.now += session_lifetime - 1us;
        run(expire_records{});
        CPPUNIT_ASSERT(run(rules(0), "c", 1).code == result_code::ok);
        run.now += 1us;
        run(expire_records{});
        CPPUNIT_ASSERT(run(rules(1), "c", 2).code ==
                       result_code::session_expired);
    }

    // Guards against running a request with an idempotency key twice.
    void claimed_request_runs_once_until_expiry()
    {
        machine run;
        claim_key const first{service_id("s"), "k", {}};
        auto second = first;
        second.request.sequence = sequence_number(9);
        CPPUNIT_ASSERT(run(first).code == result_code::ok);
        CPPUNIT_ASSERT(run(second).code == result_code::outcome_unknown);
        run(finish_claim{service_id("s"), "k", second.request});
        CPPUNIT_ASSERT(run(second).code == result_code::outcome_unknown);
        run(finish_claim{service_id("s"), "k", first.request});
        CPPUNIT_ASSERT(run(first).code == result_code::duplicate_request);
        run.now += claim_lifetime - 1us;
        CPPUNIT_ASSERT(run(second).code == result_code::duplicate_request);
        run.now += 1us;
        run(expire_records{});
        CPPUNIT_ASSERT(run(second).code == result_code::ok);
        run(finish_claim{service_id("s"), "k", second.request, false});
        CPPUNIT_ASSERT(run(first).code == result_code::ok);
    }

    // A request got no answer to a claim, ended without running and released
    // the claim; then a copy of the claim is committed. Guards against a key
    // that no request with it can use until the claim expires, also after a
    // restart or a snapshot, and if others have used the key meanwhile.
    void late_claim_is_refused_after_its_release()
    {
        machine run;
        claim_key const late{service_id("s"), "k", {}};
        auto resend = late;
        resend.request.sequence = sequence_number(9);
        run(released(late));
        CPPUNIT_ASSERT(run(late).code == result_code::not_run);
        CPPUNIT_ASSERT(run(resend).code == result_code::ok);
        run(released(resend));
        run.now += release_retention - 1us;
        run(expire_records{});
        CPPUNIT_ASSERT(run.state.restore(run.state.snapshot()));
        CPPUNIT_ASSERT(run(late).code == result_code::not_run);
        CPPUNIT_ASSERT(run(resend).code == result_code::not_run);
        auto third = late;
        third.request.sequence = sequence_number(10);
        CPPUNIT_ASSERT(run(third).code == result_code::ok);
    }

    // Guards against state that differs from that in which a member of an
    // earlier release has answered the commands of the same log.
    void release_of_an_earlier_release_refuses_nothing()
    {
        machine run;
        claim_key const claim{service_id("s"), "k", {}};
        auto earlier = released(claim);
        earlier.refuse_for = {};
        run(earlier);
        CPPUNIT_ASSERT(run(claim).code == result_code::ok);
    }

    // Guards against released requests that take any amount of memory, and
    // against dropping the latest of them.
    void released_requests_are_bounded()
    {
        machine run;
        claim_key claim{service_id("s"), "k", {}};
        for (std::size_t i = 0; i <= max_released_requests; ++i)
        {
            run.now += 1us;
            claim.request.sequence = sequence_number(i);
            run(released(claim));
            run(released(claim));
        }
        CPPUNIT_ASSERT(run(claim).code == result_code::not_run);
        claim.request.sequence = sequence_number(1);
        CPPUNIT_ASSERT(run(claim).code == result_code::not_run);
        claim.request.sequence = sequence_number(0);
        CPPUNIT_ASSERT(run(claim).code == result_code::ok);
        run.now += release_retention;
        for (std::size_t i = 0; i < max_released_requests;
             i += max_expired_per_command)
        {
            run(expire_records{});
        }
        claim.key = "other";
        claim.request.sequence = sequence_number(1);
        CPPUNIT_ASSERT(run(claim).code == result_code::ok);
    }

    // The caller of a cancel was told that there is no such workflow. Guards
    // against accepting a copy of its submission that arrives after a leader
    // change, a restart or a snapshot, at any time within the retention.
    void late_submission_is_refused_after_its_cancel()
    {
        queue_machine run;
        CPPUNIT_ASSERT(run(cancelled("w")).code == result_code::job_unknown);
        run.now += workflow::unknown_cancel_retention - 1us;
        run(expire_records{});
        CPPUNIT_ASSERT(run.state.restore(run.state.snapshot()));
        CPPUNIT_ASSERT(run(submitted("w")).code == result_code::not_admitted);
        CPPUNIT_ASSERT(run.state.workflows().find(workflow_id("w")) == nullptr);
        CPPUNIT_ASSERT(run(submitted("v")).code == result_code::ok);
        run.now += 1us;
        CPPUNIT_ASSERT(run(submitted("w")).code == result_code::ok);
        run(expire_records{});
        CPPUNIT_ASSERT(run.state.workflows().cancel_records().empty());
    }

    // A log of an earlier release has a cancel that found nothing and later the
    // accepted submission. Guards against losing the workflow when a member of
    // this release applies the log.
    void cancel_of_an_earlier_release_refuses_nothing()
    {
        queue_machine run;
        auto earlier = cancelled("w");
        earlier.refuse_for = {};
        CPPUNIT_ASSERT(run(earlier).code == result_code::job_unknown);
        CPPUNIT_ASSERT(run(submitted("w")).code == result_code::ok);
    }

    // Guards against cancels of unknown workflows that take any amount of
    // memory, and against dropping the latest of them.
    void cancels_of_unknown_workflows_are_bounded()
    {
        queue_machine run;
        for (std::size_t i = 0; i <= workflow::max_unknown_cancels; ++i)
        {
            run.now += 1us;
            run(cancelled(std::to_string(i)));
            run(cancelled(std::to_string(i)));
        }
        auto const kept = run.state.workflows().cancel_records();
        CPPUNIT_ASSERT_EQUAL(workflow::max_unknown_cancels, kept.size());
        CPPUNIT_ASSERT(run(submitted("0")).code == result_code::ok);
        CPPUNIT_ASSERT(run(submitted("1")).code == result_code::not_admitted);
        auto const last = std::to_string(workflow::max_unknown_cancels);
        CPPUNIT_ASSERT(run(submitted(last)).code == result_code::not_admitted);
    }

    // Guards against ended jobs that are never removed, and an old id that is
    // assigned to a new job.
    void ids_are_not_reused_after_pruning()
    {
        placed_machine run;
        run(cancel_jobs{{job_id(1)}});
        run.now += ended_job_lifetime;
        run(expire_records{});
        CPPUNIT_ASSERT(run.state.jobs().find(job_id(1)) != nullptr);
        run(expire_leases{{{job_id(1), attempt_number(1)}}});
        run(expire_records{});
        CPPUNIT_ASSERT(run.state.jobs().find(job_id(1)) == nullptr);
        job_description job;
        job.name = job.payload = "j";
        job.team = team_id("t");
        job.kind = task_kind("k");
        CPPUNIT_ASSERT(run(submit_jobs{{job}}).jobs[0] == job_id(2));
    }

    // Guards against start orders into a zone that was taken out of service.
    void no_start_order_while_the_zone_is_out()
    {
        placed_machine run;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            run.service.answer(heartbeat(1), run.now, run.state).starts.size());
        run(zone("az-a", false));
        auto const answer =
            run.service.answer(heartbeat(1), run.now, run.state);
        CPPUNIT_ASSERT(answer.starts.empty());
        CPPUNIT_ASSERT(answer.orders[0].action == task_action::stop);
        CPPUNIT_ASSERT(run.leases.last_permit_expiry(zone_id("Z1")) >=
                       run.now + run.leases.settings().permit);
    }

    // Guards against an attempt that runs in two incarnations of one worker.
    void new_incarnation_gets_no_order_of_an_earlier_attempt()
    {
        placed_machine run;
        for (auto const& command : run.service.prepare(heartbeat(2), run.state))
        {
            run(command);
        }
        auto const answer =
            run.service.answer(heartbeat(2), run.now, run.state);
        CPPUNIT_ASSERT(answer.code == result_code::ok);
        CPPUNIT_ASSERT(answer.starts.empty() && answer.orders.empty());
        CPPUNIT_ASSERT(run.service.prepare(heartbeat(1), run.state).empty());
        CPPUNIT_ASSERT(
            run.service.answer(heartbeat(1), run.now, run.state).code ==
            result_code::wrong_incarnation);
    }

    // Guards against renewing a lease while its expiry is being committed.
    void expired_attempt_is_never_granted_again()
    {
        placed_machine run;
        run.now += run.leases.settings().unsent_start_timeout;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), run.leases.expire(run.now).size());
        auto request = heartbeat(1);
        CPPUNIT_ASSERT(
            run.service.answer(request, run.now, run.state).starts.empty());
        request.held = {{job_id(1), attempt_number(1)}};
        CPPUNIT_ASSERT(
            run.service.answer(request, run.now, run.state).renewals.empty());
    }

    // Guards against a new leader that releases a task while a lease granted by
    // the old leader is still valid.
    void new_leader_waits_a_whole_lease()
    {
        placed_machine run;
        auto const longest = run.leases.settings().service_lease;
        run.leases.begin_term(run.state.held_tasks(), run.now);
        CPPUNIT_ASSERT(run.leases.expire(run.now + longest).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            run.leases.expire(run.now + longest + longest / 30).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_machine_test);

} // namespace turmericswitch::cluster_state
