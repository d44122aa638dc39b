#include "wire/codec/message_codec.hpp"

#include "core/results/last_reason.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <variant>

namespace turmericswitch::wire
{

namespace
{

core::attempt_request arbitrary_attempt()
{
    core::attempt_request request;
    request.id.request.gateway =
        core::incarnation(*rc::gen::arbitrary<std::uint64_t>());
    request.id.request.sequence =
        core::sequence_number(*rc::gen::arbitrary<std::uint64_t>());
    request.id.number =
        core::attempt_number(*rc::gen::arbitrary<std::uint32_t>());
    request.service = core::service_id(*rc::gen::arbitrary<std::string>());
    request.content.method = *rc::gen::arbitrary<std::string>();
    request.content.body = *rc::gen::arbitrary<std::string>();
    for (auto const& value : *rc::gen::arbitrary<std::vector<std::string>>())
    {
        request.content.fields.push_back({"x", value});
    }
    request.remaining = core::duration(*rc::gen::arbitrary<std::int64_t>());
    request.idempotent = *rc::gen::arbitrary<bool>();
    return request;
}

core::command_envelope sample_envelope()
{
    core::command_envelope envelope;
    envelope.client = core::client_id("c1");
    envelope.sequence = core::sequence_number(7);
    envelope.cluster_time = core::time_point(core::duration(99));
    core::job_description job;
    job.name = "nightly";
    job.declared.cpu = core::millicores(1500);
    job.deadline = core::wall_time(std::chrono::microseconds(12345));
    envelope.body = core::submit_jobs{{job, core::job_description{}}};
    return envelope;
}

/// A command with the end of one run, of which `established` is an appended
/// member.
core::command_envelope sample_end(bool established)
{
    core::run_outcome outcome;
    outcome.worker = core::worker_id("w");
    outcome.how = core::run_end::lost;
    outcome.established = established;
    core::workflow_progress progress;
    progress.ends = {outcome};
    core::command_envelope envelope;
    envelope.body = progress;
    return envelope;
}

/// @return The command with the end.
core::command_envelope with_unresolved_start(core::command_envelope envelope)
{
    auto& progress = std::get<core::workflow_progress>(envelope.body);
    progress.ends.front().is_start_unresolved = true;
    return envelope;
}

/// A snapshot with one task, of which `crashes` is an appended member.
core::state_snapshot sample_snapshot(std::uint32_t crashes)
{
    core::task_record task;
    task.attempt = core::attempt_number(85);
    task.worker = core::worker_id("w");
    task.checkpoint = core::checkpoint_id("cp");
    task.crashes = crashes;
    core::stage_record stage;
    stage.tasks = {task};
    core::workflow_record workflow;
    workflow.stages = {stage};
    core::state_snapshot snapshot;
    snapshot.workflows = {workflow};
    return snapshot;
}

/// The first bytes of the sample task with 7, 8, 11 and 12 members.
std::string const task_with_7 = "\x97\x55\xa1w";
std::string const task_with_8 = "\x98\x55\xa1w";
std::string const task_with_11 = "\x9b\x55\xa1w";
std::string const task_with_13 = "\x9d\x55\xa1w";
/// The last member of the sample task that is not an appended one.
std::string const last_member = "\xa2"
                                "cp";

void replace_once(std::string& bytes,
                  std::string const& from,
                  std::string const& to)
{
    auto const at = bytes.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    bytes.replace(at, from.size(), to);
}

} // namespace

class message_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_codec_test);
    CPPUNIT_TEST(requests_round_trip);
    CPPUNIT_TEST(commands_round_trip);
    CPPUNIT_TEST(corrupt_bytes_fail_or_decode_consistently);
    CPPUNIT_TEST(unknown_enum_value_is_rejected);
    CPPUNIT_TEST(trailing_bytes_are_rejected);
    CPPUNIT_TEST(appended_member_round_trips);
    CPPUNIT_TEST(appended_member_with_default_value_is_not_written);
    CPPUNIT_TEST(message_without_appended_member_is_read);
    CPPUNIT_TEST(message_with_too_many_members_is_rejected);
    CPPUNIT_TEST(orders_of_an_earlier_release_reserve_nothing);
    CPPUNIT_TEST(request_without_transfers_is_that_of_an_earlier_release);
    CPPUNIT_TEST(established_end_round_trips);
    CPPUNIT_TEST(end_that_is_not_established_is_that_of_an_earlier_release);
    CPPUNIT_TEST(unresolved_start_of_an_end_round_trips);
    CPPUNIT_TEST(unresolved_start_of_a_task_round_trips);
    CPPUNIT_TEST(late_end_round_trips);
    CPPUNIT_TEST(unresolved_starts_of_a_report_round_trip);
    CPPUNIT_TEST(command_without_time_left_is_that_of_an_earlier_release);
    CPPUNIT_TEST(recorded_lease_round_trips);
    CPPUNIT_TEST(recorded_lease_of_zero_is_not_written);
    CPPUNIT_TEST(unknown_cancels_are_written_only_if_there_are_any);
    CPPUNIT_TEST(released_requests_are_written_only_if_there_are_any);
    CPPUNIT_TEST_SUITE_END();

    // Guards against control instances of an earlier release that can't read
    // the requests of sidecars, which take no transfers.
    void request_without_transfers_is_that_of_an_earlier_release()
    {
        constexpr char array_of_5 = '\x95';
        core::watch_request request;
        CPPUNIT_ASSERT_EQUAL(array_of_5, encode(request).front());
        request.delta_base = core::revision(3);
        CPPUNIT_ASSERT(decode<core::watch_request>(encode(request)) == request);
        constexpr char array_of_9 = '\x99';
        CPPUNIT_ASSERT_EQUAL(array_of_9, encode(core::watch_answer()).front());
    }

    // Guards against log entries and commands that an earlier release can't
    // read, and against a caller's time that is lost on the way or read from a
    // command that has none.
    void command_without_time_left_is_that_of_an_earlier_release()
    {
        constexpr char array_of_5 = '\x95';
        auto envelope = sample_envelope();
        auto const earlier = encode(envelope);
        CPPUNIT_ASSERT_EQUAL(array_of_5, earlier.front());
        CPPUNIT_ASSERT(!decode<core::command_envelope>(earlier)->time_left);
        for (auto const time_left : {-1, 0, 1700})
        {
            envelope.time_left = std::chrono::milliseconds(time_left);
            CPPUNIT_ASSERT(decode<core::command_envelope>(encode(envelope)) ==
                           envelope);
        }
    }

    // Guards against members that are omitted or exchanged.
    void requests_round_trip()
    {
        testing::check_property("attempt round trip",
                                {},
                                []
                                {
                                    auto const request = arbitrary_attempt();
                                    RC_ASSERT(decode<core::attempt_request>(
                                                  encode(request)) == request);
                                });
    }

    // Guards against a variant decoded as another alternative and against an
    // optional that gains or loses its value.
    void commands_round_trip()
    {
        auto const envelope = sample_envelope();
        CPPUNIT_ASSERT(decode<core::command_envelope>(encode(envelope)) ==
                       envelope);
    }

    // Guards against crashes on corrupt or hostile input. Input that decodes
    // must give a message that can be encoded and decoded again.
    void corrupt_bytes_fail_or_decode_consistently()
    {
        auto const good = encode(sample_envelope());
        testing::check_property(
            "damaged bytes",
            {.seed = 2, .max_success = 500},
            [&good]
            {
                std::string bytes = good;
                auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[at] = *rc::gen::arbitrary<char>();
                bytes.resize(
                    *rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
                if (auto const read = decode<core::command_envelope>(bytes))
                {
                    RC_ASSERT(decode<core::command_envelope>(encode(*read)) ==
                              read);
                }
            });
    }

    // Guards against decoding an enum value without an enumerator, which no
    // switch handles.
    void unknown_enum_value_is_rejected()
    {
        core::cancel_answer answer;
        answer.outcome = static_cast<core::cancel_outcome>(9);
        CPPUNIT_ASSERT(!decode<core::cancel_answer>(encode(answer)));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::message_malformed);
    }

    // Guards against accepting a message that is followed by other bytes.
    void trailing_bytes_are_rejected()
    {
        auto const bytes = encode(core::hard_state{}) + '\0';
        CPPUNIT_ASSERT(!decode<core::hard_state>(bytes));
    }

    // Guards against an appended member that is lost or exchanged.
    void appended_member_round_trips()
    {
        auto const snapshot = sample_snapshot(3);
        CPPUNIT_ASSERT(decode<core::state_snapshot>(encode(snapshot)) ==
                       snapshot);
    }

    // Guards against an end that clears a task on the leader only.
    void established_end_round_trips()
    {
        auto const envelope = sample_end(true);
        CPPUNIT_ASSERT(decode<core::command_envelope>(encode(envelope)) ==
                       envelope);
    }

    // Ends of releases without `established` have five members. Guards against
    // logs that a release can't read although no task was cleared.
    void end_that_is_not_established_is_that_of_an_earlier_release()
    {
        std::string const end_with_5 = "\x95\x92\x94";
        std::string const end_with_6 = "\x96\x92\x94";
        auto const earlier = encode(sample_end(false));
        CPPUNIT_ASSERT(earlier.find(end_with_5) != std::string::npos);
        CPPUNIT_ASSERT(decode<core::command_envelope>(earlier) ==
                       sample_end(false));
        CPPUNIT_ASSERT(encode(sample_end(true)).find(end_with_6) !=
                       std::string::npos);
    }

    // Guards against a start that only the leader knows to be unresolved, and
    // against ends without one that an earlier release can't read.
    void unresolved_start_of_an_end_round_trips()
    {
        std::string const end_with_6 = "\x96\x92\x94";
        std::string const end_with_7 = "\x97\x92\x94";
        for (bool const established : {false, true})
        {
            auto const envelope =
                with_unresolved_start(sample_end(established));
            auto const bytes = encode(envelope);
            CPPUNIT_ASSERT(decode<core::command_envelope>(bytes) == envelope);
            CPPUNIT_ASSERT(bytes.find(end_with_7) != std::string::npos);
        }
        CPPUNIT_ASSERT(encode(sample_end(true)).find(end_with_6) !=
                       std::string::npos);
    }

    // Guards against a member that restores a snapshot, becomes leader and
    // starts the task elsewhere.
    void unresolved_start_of_a_task_round_trips()
    {
        auto snapshot = sample_snapshot(0);
        auto& task = snapshot.workflows.front().stages.front().tasks.front();
        task.unresolved_on = core::worker_id("w2");
        auto const bytes = encode(snapshot);
        CPPUNIT_ASSERT(decode<core::state_snapshot>(bytes) == snapshot);
        CPPUNIT_ASSERT(bytes.find(task_with_11) != std::string::npos);
    }

    // Guards against a late end that is lost from the log, and against commands
    // without one that an earlier release can't read.
    void late_end_round_trips()
    {
        std::string const progress_with_6 = "\x96\x90\x90\x90";
        std::string const progress_with_7 = "\x97\x90\x90\x90";
        core::workflow_progress progress;
        progress.begun = {core::workflow_id("a")};
        core::command_envelope envelope;
        envelope.body = progress;
        CPPUNIT_ASSERT(encode(envelope).find(progress_with_6) !=
                       std::string::npos);
        core::run_outcome outcome;
        outcome.worker = core::worker_id("w");
        progress.late_ends = {outcome};
        envelope.body = progress;
        auto const bytes = encode(envelope);
        CPPUNIT_ASSERT(bytes.find(progress_with_7) != std::string::npos);
        CPPUNIT_ASSERT(decode<core::command_envelope>(bytes) == envelope);
    }

    // Guards against a leader that takes a start for resolved because it was
    // lost on the way, and against reports without one that a leader of an
    // earlier release can't read.
    void unresolved_starts_of_a_report_round_trip()
    {
        core::runtime_report report;
        CPPUNIT_ASSERT_EQUAL('\x97', encode(report).front());
        report.refused_under = 1;
        CPPUNIT_ASSERT_EQUAL('\x9b', encode(report).front());
        for (bool const is_complete : {false, true})
        {
            report.unresolved = {{core::task_run{}}, is_complete};
            auto const bytes = encode(report);
            CPPUNIT_ASSERT_EQUAL('\x9c', bytes.front());
            CPPUNIT_ASSERT(decode<core::runtime_report>(bytes) == report);
        }
        report.unresolved = {{}, true};
        CPPUNIT_ASSERT(decode<core::runtime_report>(encode(report)) == report);
    }

    // Guards against a recorded lease that is lost from the log or a snapshot.
    void recorded_lease_round_trips()
    {
        core::workflow_progress progress;
        progress.longest_lease = std::chrono::seconds(6);
        core::command_envelope envelope;
        envelope.body = progress;
        CPPUNIT_ASSERT(decode<core::command_envelope>(encode(envelope)) ==
                       envelope);
        auto snapshot = sample_snapshot(0);
        snapshot.longest_lease = std::chrono::seconds(6);
        CPPUNIT_ASSERT(decode<core::state_snapshot>(encode(snapshot)) ==
                       snapshot);
    }

    // Cancels and snapshots of releases without the records of unknown cancels
    // have two and ten members. Guards against logs that such a release can't
    // read although no cancel has found nothing, and against records that are
    // lost from the log or a snapshot.
    void unknown_cancels_are_written_only_if_there_are_any()
    {
        core::cancel_workflow cancel{
            core::queue_id("q"), core::workflow_id("w"), {}, {}};
        core::command_envelope envelope;
        envelope.body = cancel;
        auto const earlier = encode(envelope);
        CPPUNIT_ASSERT(earlier.find("\x92\xa1q\xa1w") != std::string::npos);
        CPPUNIT_ASSERT(decode<core::command_envelope>(earlier) == envelope);
        cancel.refuse_for = std::chrono::minutes(10);
        envelope.body = cancel;
        CPPUNIT_ASSERT(decode<core::command_envelope>(encode(envelope)) ==
                       envelope);
        auto snapshot = sample_snapshot(0);
        snapshot.unknown_cancels = {{cancel.queue,
                                     cancel.workflow,
                                     core::time_point(std::chrono::seconds(6)),
                                     {}}};
        CPPUNIT_ASSERT(decode<core::state_snapshot>(encode(snapshot)) ==
                       snapshot);
    }

    // Ends of claims of releases without `refuse_for` have four members. Guards
    // against members of such a release that can't read the end of a request
    // that has run, and against records that are lost from the log or a
    // snapshot.
    void released_requests_are_written_only_if_there_are_any()
    {
        core::finish_claim end;
        end.key = "k";
        core::command_envelope envelope;
        envelope.body = end;
        auto const earlier = encode(envelope);
        CPPUNIT_ASSERT(earlier.find("\x94\xa0\xa1k") != std::string::npos);
        CPPUNIT_ASSERT(decode<core::command_envelope>(earlier) == envelope);
        end.refuse_for = std::chrono::minutes(10);
        envelope.body = end;
        CPPUNIT_ASSERT(decode<core::command_envelope>(encode(envelope)) ==
                       envelope);
        auto snapshot = sample_snapshot(0);
        snapshot.released_requests = {
            {end.request, core::time_point(std::chrono::seconds(6))}};
        CPPUNIT_ASSERT(decode<core::state_snapshot>(encode(snapshot)) ==
                       snapshot);
    }

    // Logs and snapshots of releases without the member have three and ten
    // members. Guards against a release that can't read them.
    void recorded_lease_of_zero_is_not_written()
    {
        core::command_envelope envelope;
        envelope.body = core::workflow_progress{};
        auto const command = encode(envelope);
        CPPUNIT_ASSERT(command.find("\x93\x90\x90\x90") != std::string::npos);
        CPPUNIT_ASSERT(decode<core::command_envelope>(command) == envelope);
        auto const snapshot = encode(sample_snapshot(0));
        CPPUNIT_ASSERT_EQUAL('\x9a', snapshot.front());
        CPPUNIT_ASSERT(decode<core::state_snapshot>(snapshot) ==
                       sample_snapshot(0));
    }

    // Guards against messages that processes of an earlier release can't read
    // although no feature of the later one is in use.
    void appended_member_with_default_value_is_not_written()
    {
        auto const bytes = encode(sample_snapshot(0));
        CPPUNIT_ASSERT(bytes.find(task_with_7) != std::string::npos);
        CPPUNIT_ASSERT(decode<core::state_snapshot>(bytes) ==
                       sample_snapshot(0));
    }

    // Guards against a release that can't read the logs and snapshots of an
    // earlier one.
    void message_without_appended_member_is_read()
    {
        auto bytes = encode(sample_snapshot(3));
        replace_once(bytes, task_with_8, task_with_7);
        replace_once(bytes, last_member + '\x03', last_member);
        CPPUNIT_ASSERT(decode<core::state_snapshot>(bytes) ==
                       sample_snapshot(0));
    }

    // Guards against dropping members that a later release has added.
    void message_with_too_many_members_is_rejected()
    {
        auto bytes = encode(sample_snapshot(3));
        replace_once(bytes, task_with_8, task_with_13);
        std::string const later{'\x03', '\x90', '\x90', '\xa0', '\0', '\x01'};
        replace_once(bytes, last_member + '\x03', last_member + later);
        CPPUNIT_ASSERT(!decode<core::state_snapshot>(bytes));
    }

    // Guards against a sidecar that can't read the orders of a leader of an
    // earlier release during an update.
    void orders_of_an_earlier_release_reserve_nothing()
    {
        core::runtime_orders orders;
        orders.batch = 85;
        auto const earlier = encode(orders);
        CPPUNIT_ASSERT_EQUAL('\x97', earlier.front());
        CPPUNIT_ASSERT(decode<core::runtime_orders>(earlier) == orders);
        orders.reserved.cpu = core::millicores(4);
        auto const later = encode(orders);
        CPPUNIT_ASSERT_EQUAL('\x98', later.front());
        CPPUNIT_ASSERT(decode<core::runtime_orders>(later) == orders);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_codec_test);

} // namespace turmericswitch::wire
