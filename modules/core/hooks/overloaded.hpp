#ifndef TURMERICSWITCH_CORE_HOOKS_OVERLOADED_HPP
#define TURMERICSWITCH_CORE_HOOKS_OVERLOADED_HPP

namespace turmericswitch::core
{

/// Joins lambdas into one visitor for std::visit, one lambda per alternative.
template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace turmericswitch::core

#endif
