#include "fake_control.hpp"

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

#include <array>

namespace turmericswitch::ctl
{

namespace
{

constexpr std::size_t over_client_limit_bytes = std::size_t{17} << 20;

std::string operation_in(std::string const& body)
{
    auto const json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("operation", "") : "";
}

} // namespace

fake_control::fake_control()
{
    web::server_options options;
    options.listen_on = {"127.0.0.1", 0};
    options.worker_threads = 8;
    m_server = web::http_server::start(options,
                                       [this](web::http_request const& request)
                                       { return handle(request); });
    CPPUNIT_ASSERT(m_server != nullptr);
}

void fake_control::reset(applied_operations* applied)
{
    std::scoped_lock const lock(m_mutex);
    m_answers.clear();
    m_requests.clear();
    m_applied = applied;
}

fake_control& reset_instance(std::size_t number, applied_operations* applied)
{
    static std::array<fake_control, 3> instances;
    auto& instance = instances.at(number);
    instance.reset(applied);
    return instance;
}

core::endpoint fake_control::endpoint() const
{
    return m_server->bound();
}

void fake_control::answer(std::string const& request_line,
                          std::string const& body,
                          std::uint16_t status)
{
    auto response = web::json_response(body);
    response.status = status;
    m_answers[request_line].push_back(std::move(response));
}

void fake_control::lose_answer(std::string const& request_line)
{
    answer(request_line, std::string(over_client_limit_bytes, ' '));
}

void fake_control::redirect(std::string const& request_line,
                            core::endpoint const* leader)
{
    auto response =
        web::error_response(core::result_code::not_leader, "not the leader");
    if (leader != nullptr)
    {
        response.fields.push_back(
            {"Location",
             "http://" + to_string(*leader) +
                 request_line.substr(request_line.find('/'))});
    }
    m_answers[request_line].push_back(std::move(response));
}

web::http_response fake_control::handle(web::http_request const& request)
{
    std::scoped_lock const lock(m_mutex);
    m_requests.push_back(request);
    auto const found = m_answers.find(request.method + " " + request.target);
    if (found == m_answers.end())
    {
        return web::error_response(core::result_code::unknown_path,
                                   "no answer is scripted");
    }
    auto& queue = found->second;
    auto response = queue.front();
    if (queue.size() > 1)
    {
        queue.pop_front();
    }
    if (m_applied != nullptr && response.status == 200)
    {
        std::scoped_lock const applied_lock(m_applied->mutex);
        auto const name = operation_in(request.body);
        bool const is_new =
            name.empty() || m_applied->names.insert(name).second;
        m_applied->count += is_new ? 1 : 0;
    }
    return response;
}

std::vector<std::string> fake_control::request_lines() const
{
    std::scoped_lock const lock(m_mutex);
    std::vector<std::string> request_lines;
    for (auto const& request : m_requests)
    {
        request_lines.push_back(request.method + " " + request.target);
    }
    return request_lines;
}

std::string fake_control::last_body() const
{
    std::scoped_lock const lock(m_mutex);
    return m_requests.empty() ? "" : m_requests.back().body;
}

std::vector<std::string> fake_control::operations() const
{
    std::scoped_lock const lock(m_mutex);
    std::vector<std::string> names;
    for (auto const& request : m_requests)
    {
        if (auto const name = operation_in(request.body); !name.empty())
        {
            names.push_back(name);
        }
    }
    return names;
}

run_result run(std::vector<std::string> const& words)
{
    std::ostringstream out;
    std::ostringstream err;
    core::time_point now;
    client_clock const clock{[&now] { return now; },
                             [&now](core::duration time) { now += time; }};
    // All runs share one sequence; a copy per run would repeat the operation
    // names.
    static core::random_source source = core::seeded_random(7);
    auto const status =
        run_ctl(words, {out, err, [] { return source(); }, clock});
    return {status, out.str(), err.str()};
}

run_result run_against(std::vector<core::endpoint> const& instances,
                       std::vector<std::string> words)
{
    std::string control;
    for (auto const& instance : instances)
    {
        control += (control.empty() ? "" : ",") + to_string(instance);
    }
    words.insert(words.begin(), {"--control", control, "--author", "nadif"});
    return run(words);
}

run_result run_on(fake_control const& instance, std::vector<std::string> words)
{
    return run_against({instance.endpoint()}, std::move(words));
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace turmericswitch::ctl
