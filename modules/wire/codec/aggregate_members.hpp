#ifndef TURMERICSWITCH_WIRE_CODEC_AGGREGATE_MEMBERS_HPP
#define TURMERICSWITCH_WIRE_CODEC_AGGREGATE_MEMBERS_HPP

#include <cstddef>
#include <type_traits>
#include <utility>

namespace turmericswitch::wire
{

/// Converts to any type, to count the members of an aggregate.
struct any_member
{
    template <typename T>
    operator T() const;
};

/// @return True if `T` can be initialised from `sizeof...(I)` values.
template <typename T, std::size_t... I>
constexpr bool initialisable_with(std::index_sequence<I...>)
{
    return requires
    {
        T{(static_cast<void>(I), any_member{})...};
    };
}

/// Largest number of members that `visit_members` handles.
constexpr std::size_t max_members = 13;

/// @return The number of members of the aggregate `T`.
template <typename T, std::size_t N = max_members>
constexpr std::size_t member_count()
{
    static_assert(std::is_aggregate_v<T>);
    if constexpr (N == 0)
    {
        return 0;
    }
    else if constexpr (initialisable_with<T>(std::make_index_sequence<N>{}))
    {
        return N;
    }
    else
    {
        return member_count<T, N - 1>();
    }
}

/// Calls `visit(members...)` once with all members of an aggregate in
/// declaration order.
///
/// @return The result of `visit`.
template <typename T, typename Visit>
constexpr decltype(auto) visit_members(T& value, Visit&& visit)
{
    constexpr std::size_t count = member_count<std::remove_const_t<T>>();
    static_assert(!initialisable_with<std::remove_const_t<T>>(
                      std::make_index_sequence<max_members + 1>{}),
                  "raise max_members and add a case below");
    if constexpr (count == 0)
    {
        return visit();
    }
    else if constexpr (count == 1)
    {
        auto& [m1] = value;
        return visit(m1);
    }
    else if constexpr (count == 2)
    {
        auto& [m1, m2] = value;
        return visit(m1, m2);
    }
    else if constexpr (count == 3)
    {
        auto& [m1, m2, m3] = value;
        return visit(m1, m2, m3);
    }
    else if constexpr (count == 4)
    {
        auto& [m1, m2, m3, m4] = value;
        return visit(m1, m2, m3, m4);
    }
    else if constexpr (count == 5)
    {
        auto& [m1, m2, m3, m4, m5] = value;
        return visit(m1, m2, m3, m4, m5);
    }
    else if constexpr (count == 6)
    {
        auto& [m1, m2, m3, m4, m5, m6] = value;
        return visit(m1, m2, m3, m4, m5, m6);
    }
    else if constexpr (count == 7)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7);
    }
    else if constexpr (count == 8)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7, m8] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7, m8);
    }
    else if constexpr (count == 9)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7, m8, m9] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7, m8, m9);
    }
    else if constexpr (count == 10)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7, m8, m9, m10] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7, m8, m9, m10);
    }
    else if constexpr (count == 11)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7, m8, m9, m10, m11] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7, m8, m9, m10, m11);
    }
    else if constexpr (count == 12)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7, m8, m9, m10, m11, m12] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7, m8, m9, m10, m11, m12);
    }
    else if constexpr (count == 13)
    {
        auto& [m1, m2, m3, m4, m5, m6, m7, m8, m9, m10, m11, m12, m13] = value;
        return visit(m1, m2, m3, m4, m5, m6, m7, m8, m9, m10, m11, m12, m13);
    }
}

} // namespace turmericswitch::wire

#endif
