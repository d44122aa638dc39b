#include "api/request_body.hpp"

#include "core/results/last_reason.hpp"
#include "settings/values/parse_value.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::control
{

namespace
{

using json = nlohmann::json;

template <typename T>
std::optional<T> optional_member(json const& object, char const* name)
{
    auto const found = object.find(name);
    return found == object.end() ? std::nullopt
                                 : std::optional<T>(found->get<T>());
}

std::string text_member(json const& object, char const* name)
{
    return optional_member<std::string>(object, name).value_or("");
}

core::endpoint endpoint_member(json const& object, char const* name)
{
    auto const text = text_member(object, name);
    return settings::parse_endpoint(text).value_or(core::endpoint{});
}

template <typename T, typename Read>
std::optional<T> read_object(std::string const& text, Read read)
{
    auto const document = json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return core::fail(core::result_code::request_malformed,
                          "expected a JSON object");
    }
    try
    {
        return read(document);
    }
    catch (json::exception const& error)
    {
        return core::fail(core::result_code::request_malformed, error.what());
    }
}

} // namespace

std::optional<write_body> parse_write_body(std::string const& text)
{
    return read_object<write_body>(
        text.empty() ? "{}" : text,
        [](json const& document)
        {
            write_body body;
            body.operation = text_member(document, "operation");
            body.author = text_member(document, "author");
            body.requested_by = text_member(document, "requested_by");
            body.text = text_member(document, "text");
            body.replaces =
                optional_member<std::uint64_t>(document, "replaces");
            body.draining = optional_member<bool>(document, "draining");
            return body;
        });
}

std::optional<member_change> parse_member_change(std::string const& text)
{
    auto change = read_object<member_change>(
        text,
        [](json const& document)
        {
            member_change read;
            read.action = text_member(document, "action") == "remove"
                              ? member_action::remove
                              : member_action::add;
            read.member.id = core::member_id(
                optional_member<std::uint64_t>(document, "id").value_or(0));
            read.member.rpc = endpoint_member(document, "rpc");
            read.member.http = endpoint_member(document, "http");
            read.member.learner = true;
            return read;
        });
    if (!change)
    {
        return std::nullopt;
    }
    bool const lacks_address =
        change->action == member_action::add &&
        (change->member.rpc.port == 0 || change->member.http.port == 0);
    if (change->member.id.value() == 0 || lacks_address)
    {
        return core::fail(core::result_code::request_malformed,
                          "expected id above 0 and, to add a member, the "
                          "addresses rpc and http");
    }
    return change;
}

} // namespace turmericswitch::control
