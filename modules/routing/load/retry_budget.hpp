#ifndef TURMERICSWITCH_ROUTING_LOAD_RETRY_BUDGET_HPP
#define TURMERICSWITCH_ROUTING_LOAD_RETRY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Token bucket for retries of one service. Successes add tokens, which limits
/// retries to a fixed share of the successful requests. Shared by all threads.
class retry_budget
{
public:
    /// Adds `percent` hundredths of a token for one success.
    void earn(std::uint32_t percent) noexcept;

    /// Takes one token.
    ///
    /// @return False when less than one token is left.
    bool try_spend() noexcept;

    /// Takes one token, but leaves half of the capacity to retries.
    ///
    /// @return False when no token above that is left.
    bool try_spend_for_hedge() noexcept;

    /// @return Whole tokens left.
    std::uint32_t tokens() const noexcept;

private:
    // In hundredths of a token. The bucket starts full, so that a service with
    // little traffic can retry at all.
    static constexpr std::int64_t capacity = 10 * 100;
    static constexpr std::int64_t token = 100;

    bool try_spend_above(std::int64_t kept) noexcept;

    std::atomic<std::int64_t> m_hundredths{capacity};
};

} // namespace turmericswitch::routing

#endif
