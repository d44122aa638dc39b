#include "core/config/configuration_delta.hpp"

#include <utility>

namespace turmericswitch::core
{

namespace
{

std::vector<std::string> pieces_of(std::string const& source)
{
    std::vector<std::string> pieces;
    std::size_t begin = 0;
    while (begin < source.size())
    {
        auto const brace = source.find('}', begin);
        auto const end = brace == std::string::npos ? source.size() : brace + 1;
        pieces.push_back(source.substr(begin, end - begin));
        begin = end;
    }
    return pieces;
}

std::string joined(std::vector<std::string> const& pieces)
{
    std::string source;
    for (auto const& piece : pieces)
    {
        source += piece;
    }
    return source;
}

configuration rules_of(configuration const& whole)
{
    configuration rules;
    rules.names = whole.names;
    rules.zones = whole.zones;
    rules.services = whole.services;
    rules.routes = whole.routes;
    rules.colocations = whole.colocations;
    rules.kind_limits = whole.kind_limits;
    rules.priorities = whole.priorities;
    rules.quotas = whole.quotas;
    rules.leaving = whole.leaving;
    return rules;
}

} // namespace

document_delta make_delta(configuration_document const& base,
                          configuration_document const& next)
{
    document_delta delta;
    delta.version = next.version;
    delta.queues =
        make_edit(base.queues,
                  next.queues,
                  [](queue_rule const& rule) { return rule.queue.value(); });
    delta.pools =
        make_edit(base.pools,
                  next.pools,
                  [](pool_rule const& rule) { return rule.service.value(); });
    delta.body_limit = next.body_limit;
    delta.source = make_edit(pieces_of(base.source),
                             pieces_of(next.source),
                             [](std::string const& piece) { return piece; });
    return delta;
}

configuration_delta make_delta(configuration const& base,
                               configuration const& next)
{
    configuration_delta delta;
    if (auto rules = rules_of(next); !(rules == rules_of(base)))
    {
        delta.rules = std::move(rules);
    }
    delta.document = make_delta(base.document, next.document);
    delta.evacuated = next.evacuated;
    return delta;
}

std::optional<configuration_document>
apply_delta(configuration_document const& base, document_delta const& delta)
{
    auto queues = apply_edit(base.queues, delta.queues);
    auto pools = apply_edit(base.pools, delta.pools);
    auto const source = apply_edit(pieces_of(base.source), delta.source);
    if (!queues || !pools || !source)
    {
        return std::nullopt;
    }
    return configuration_document{delta.version,
                                  std::move(*queues),
                                  std::move(*pools),
                                  delta.body_limit,
                                  joined(*source)};
}

std::optional<configuration> apply_delta(configuration const& base,
                                         configuration_delta const& delta)
{
    auto document = apply_delta(base.document, delta.document);
    if (!document)
    {
        return std::nullopt;
    }
    auto next = delta.rules ? *delta.rules : rules_of(base);
    next.document = std::move(*document);
    next.evacuated = delta.evacuated;
    return next;
}

} // namespace turmericswitch::core
