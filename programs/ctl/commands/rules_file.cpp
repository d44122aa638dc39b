#include "commands/rules_file.hpp"

#include "core/results/last_reason.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <utility>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

nlohmann::json errors_to_json(std::vector<rules::rule_error> const& errors)
{
    auto list = nlohmann::json::array();
    for (auto const& error : errors)
    {
        list.push_back({{"file", error.file},
                        {"line", error.line},
                        {"column", error.column},
                        {"code", static_cast<std::uint16_t>(error.code)},
                        {"name", std::string(core::to_string(error.code))},
                        {"text", error.expected}});
    }
    return {{"errors", std::move(list)}};
}

std::string dump(nlohmann::json const& value)
{
    // Error texts may quote bytes of the file that are not valid UTF-8.
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::optional<std::string> read_text_file(std::string const& path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, 65'536> chunk{};
    // read() reports an error, such as a path that is a directory, as stream
    // state; stream iterators would throw.
    while (file.read(chunk.data(), chunk.size()) || file.gcount() > 0)
    {
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (!file.is_open() || file.bad())
    {
        return core::fail(result_code::io_failed,
                          path + ": can't be read: " + std::strerror(errno));
    }
    return text;
}

std::optional<rules_file> load_rules_file(std::string const& path,
                                          std::ostream& err,
                                          std::string* errors_json)
{
    auto text = read_text_file(path);
    if (!text)
    {
        err << core::last_reason().text << '\n';
        return std::nullopt;
    }
    std::vector<rules::rule_error> errors;
    auto parsed = rules::parse(*text, path, errors);
    if (parsed)
    {
        rules::compile(*parsed, path, errors);
    }
    for (auto const& error : errors)
    {
        err << rules::to_string(error) << '\n';
    }
    if (errors_json != nullptr)
    {
        *errors_json = dump(errors_to_json(errors));
    }
    if (!errors.empty())
    {
        return core::fail(errors.front().code, errors.front().expected);
    }
    return rules_file{std::move(*text), std::move(*parsed)};
}

result_code
check(std::string const& path, bool json, std::ostream& out, std::ostream& err)
{
    std::string errors_json;
    auto const file = load_rules_file(path, err, &errors_json);
    if (json && !errors_json.empty())
    {
        out << errors_json << '\n';
    }
    if (!file)
    {
        auto const code = core::last_reason().code;
        err << "next: correct " << path << "; nothing was sent to control\n";
        return code;
    }
    if (!json)
    {
        auto const& lines = file->parsed.lines;
        auto const count = std::count_if(lines.begin(),
                                         lines.end(),
                                         [](rules::rule_line const& line)
                                         { return line.content.has_value(); });
        out << path << ": " << count << " rules, no errors\n";
    }
    return result_code::ok;
}

} // namespace turmericswitch::ctl
