#include "wire/json/decision_json.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::wire
{

using json = nlohmann::json;

std::string decisions_to_json(std::vector<core::decision_record> const& records)
{
    json list = json::array();
    for (auto const& record : records)
    {
        json runners_up = json::array();
        for (auto const& [name, reason] : record.runners_up)
        {
            runners_up.push_back({{"name", name}, {"reason", reason}});
        }
        list.push_back({{"part", record.part},
                        {"subject", record.subject},
                        {"action", record.action},
                        {"target", record.target},
                        {"code", static_cast<std::uint16_t>(record.code)},
                        {"reasons", record.reasons},
                        {"runners_up", std::move(runners_up)},
                        {"line", to_string(record)}});
    }
    return json{{"decisions", std::move(list)}}.dump();
}

} // namespace turmericswitch::wire
