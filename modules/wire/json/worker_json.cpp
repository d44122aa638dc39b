#include "wire/json/worker_json.hpp"

#include "wire/json/json_members.hpp"

#include <array>

namespace turmericswitch::wire
{

namespace
{

using namespace core;

template <typename Enum>
struct enum_name
{
    Enum value;
    char const* name;
};

constexpr std::array<enum_name<task_event>, 6> task_event_names{{
    {task_event::started, "started"},
    {task_event::finished, "finished"},
    {task_event::failed, "failed"},
    {task_event::stopped, "stopped"},
    {task_event::checkpointed, "checkpointed"},
    {task_event::refused, "refused"},
}};

constexpr std::array<enum_name<task_action>, 4> task_action_names{{
    {task_action::checkpoint, "checkpoint"},
    {task_action::evict, "evict"},
    {task_action::stop, "stop"},
    {task_action::throttle, "throttle"},
}};

template <typename Enum, std::size_t N>
std::string enum_to_text(std::array<enum_name<Enum>, N> const& names,
                         Enum value)
{
    for (auto const& [known, name] : names)
    {
        if (known == value)
        {
            return name;
        }
    }
    return {};
}

template <typename Enum, std::size_t N>
Enum enum_member(json const& object,
                 char const* member_name,
                 std::array<enum_name<Enum>, N> const& names)
{
    auto const text = member<std::string>(object, member_name);
    for (auto const& [known, name] : names)
    {
        if (text == name)
        {
            return known;
        }
    }
    throw json_member_error(std::string("member ") + member_name +
                            " has an unknown value");
}

result_code code_member(json const& object)
{
    auto const number = member_or<std::uint16_t>(object, "code", 0);
    auto const code = result_code_from_number(number);
    if (!code)
    {
        throw json_member_error("member code is not a known result code");
    }
    return *code;
}

template <typename T, typename Convert>
json list_to_json(std::vector<T> const& values, Convert convert)
{
    json list = json::array();
    for (auto const& value : values)
    {
        list.push_back(convert(value));
    }
    return list;
}

template <typename Convert>
auto list_from_json(json const& object, char const* name, Convert convert)
    -> std::vector<decltype(convert(json{}))>
{
    std::vector<decltype(convert(json{}))> values;
    for (auto const& element : member_or<json>(object, name, json::array()))
    {
        values.push_back(convert(element));
    }
    return values;
}

json attempt_to_json(job_id job, attempt_number attempt)
{
    return {{"job", job.value()}, {"attempt", attempt.value()}};
}

template <typename T>
void read_attempt(json const& object, T& value)
{
    value.job = id_member<job_id>(object, "job");
    value.attempt = id_member<attempt_number>(object, "attempt");
}

template <typename Id>
void add_optional_id(json& object,
                     char const* name,
                     std::optional<Id> const& id)
{
    if (id)
    {
        object[name] = id->value();
    }
}

std::optional<checkpoint_id> checkpoint_member(json const& object)
{
    if (auto text = member_or<std::string>(object, "checkpoint", "");
        !text.empty())
    {
        return checkpoint_id(std::move(text));
    }
    return std::nullopt;
}

json worker_to_json(worker_description const& worker)
{
    return {{"name", worker.worker.value()},
            {"incarnation", worker.life.value()},
            {"zone", worker.place.zone.value()},
            {"region", worker.place.region.value()},
            {"rack", worker.rack.value()},
            {"capacity", resources_to_json(worker.capacity)}};
}

worker_description worker_from_json(json const& object)
{
    worker_description worker;
    worker.worker = id_member<worker_id>(object, "name");
    worker.life = id_member<incarnation>(object, "incarnation");
    worker.place.zone = id_member<zone_id>(object, "zone");
    worker.place.region =
        region_id(member_or<std::string>(object, "region", ""));
    worker.rack = rack_id(member_or<std::string>(object, "rack", ""));
    worker.capacity = resources_from_json(member<json>(object, "capacity"));
    if (worker.worker.value().empty())
    {
        throw json_member_error("member name is empty");
    }
    return worker;
}

json report_to_json(task_report const& report)
{
    json object = attempt_to_json(report.job, report.attempt);
    object["event"] = enum_to_text(task_event_names, report.event);
    object["code"] = static_cast<std::uint16_t>(report.code);
    object["detail"] = report.detail;
    add_optional_id(object, "checkpoint", report.checkpoint);
    return object;
}

task_report report_from_json(json const& object)
{
    task_report report;
    read_attempt(object, report);
    report.event = enum_member(object, "event", task_event_names);
    report.code = code_member(object);
    report.detail = member_or<std::string>(object, "detail", "");
    report.checkpoint = checkpoint_member(object);
    return report;
}

json sample_to_json(usage_sample const& sample)
{
    json object = attempt_to_json(sample.job, sample.attempt);
    object["age_ms"] = to_milliseconds(sample.age);
    object["used"] = resources_to_json(sample.used);
    if (sample.slowdown_permille)
    {
        object["slowdown_permille"] = *sample.slowdown_permille;
    }
    return object;
}

usage_sample sample_from_json(json const& object)
{
    usage_sample sample;
    read_attempt(object, sample);
    sample.age = duration_member(object, "age_ms");
    sample.used = resources_from_json(member<json>(object, "used"));
    if (object.contains("slowdown_permille"))
    {
        sample.slowdown_permille =
            member<std::uint32_t>(object, "slowdown_permille");
    }
    return sample;
}

json held_to_json(held_task const& held)
{
    return attempt_to_json(held.job, held.attempt);
}

held_task held_from_json(json const& object)
{
    held_task held;
    read_attempt(object, held);
    return held;
}

json start_to_json(start_order const& order)
{
    json object = attempt_to_json(order.job, order.attempt);
    object["kind"] = order.kind.value();
    object["reserved"] = resources_to_json(order.reserved);
    object["payload"] = order.payload;
    object["permit_ms"] = to_milliseconds(order.permit);
    object["lease_ms"] = to_milliseconds(order.lease);
    add_optional_id(object, "checkpoint", order.checkpoint);
    return object;
}

start_order start_from_json(json const& object)
{
    start_order order;
    read_attempt(object, order);
    order.kind = id_member<task_kind>(object, "kind");
    order.reserved = resources_from_json(member<json>(object, "reserved"));
    order.payload = member_or<std::string>(object, "payload", "");
    order.permit = duration_member(object, "permit_ms");
    order.lease = duration_member(object, "lease_ms");
    order.checkpoint = checkpoint_member(object);
    return order;
}

json renewal_to_json(renew_order const& order)
{
    json object = attempt_to_json(order.job, order.attempt);
    object["lease_ms"] = to_milliseconds(order.lease);
    return object;
}

renew_order renewal_from_json(json const& object)
{
    renew_order order;
    read_attempt(object, order);
    order.lease = duration_member(object, "lease_ms");
    return order;
}

json order_to_json(task_order const& order)
{
    json object = attempt_to_json(order.job, order.attempt);
    object["action"] = enum_to_text(task_action_names, order.action);
    object["cpu_permille"] = order.cpu_permille;
    return object;
}

task_order order_from_json(json const& object)
{
    task_order order;
    read_attempt(object, order);
    order.action = enum_member(object, "action", task_action_names);
    order.cpu_permille = member_or<std::uint32_t>(object, "cpu_permille", 1000);
    return order;
}

heartbeat_request request_from_document(json const& document)
{
    heartbeat_request request;
    request.worker = worker_from_json(member<json>(document, "worker"));
    request.sent_at = duration_member(document, "sent_at_ms");
    request.report_sequence =
        member_or<std::uint64_t>(document, "report_sequence", 0);
    request.held = list_from_json(document, "held", held_from_json);
    request.reports = list_from_json(document, "reports", report_from_json);
    request.usage = list_from_json(document, "usage", sample_from_json);
    return request;
}

heartbeat_answer answer_from_document(json const& document)
{
    heartbeat_answer answer;
    answer.code = code_member(document);
    answer.sent_at = duration_member(document, "sent_at_ms");
    answer.acknowledged_reports =
        member<std::uint64_t>(document, "acknowledged_reports");
    answer.next_heartbeat = duration_member(document, "next_heartbeat_ms");
    answer.starts = list_from_json(document, "starts", start_from_json);
    answer.renewals = list_from_json(document, "renewals", renewal_from_json);
    answer.orders = list_from_json(document, "orders", order_from_json);
    return answer;
}

} // namespace

std::string heartbeat_request_to_json(heartbeat_request const& request)
{
    return json{{"worker", worker_to_json(request.worker)},
                {"sent_at_ms", to_milliseconds(request.sent_at)},
                {"report_sequence", request.report_sequence},
                {"held", list_to_json(request.held, held_to_json)},
                {"reports", list_to_json(request.reports, report_to_json)},
                {"usage", list_to_json(request.usage, sample_to_json)}}
        .dump();
}

std::string heartbeat_answer_to_json(heartbeat_answer const& answer)
{
    return json{{"code", static_cast<std::uint16_t>(answer.code)},
                {"sent_at_ms", to_milliseconds(answer.sent_at)},
                {"acknowledged_reports", answer.acknowledged_reports},
                {"next_heartbeat_ms", to_milliseconds(answer.next_heartbeat)},
                {"starts", list_to_json(answer.starts, start_to_json)},
                {"renewals", list_to_json(answer.renewals, renewal_to_json)},
                {"orders", list_to_json(answer.orders, order_to_json)}}
        .dump();
}

std::optional<heartbeat_request>
heartbeat_request_from_json(std::string_view text)
{
    return read_json(
        text, result_code::request_malformed, request_from_document);
}

std::optional<heartbeat_answer>
heartbeat_answer_from_json(std::string_view text)
{
    return read_json(
        text, result_code::request_malformed, answer_from_document);
}

} // namespace turmericswitch::wire
