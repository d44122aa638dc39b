#ifndef TURMERICSWITCH_ROUTING_LOAD_RETRY_BUDGET_HPP
#define TURMERICSWITCH_ROUTING_LOAD_RETRY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Tokens for retries of one service. Successes earn them, so that retries
/// stay a set share of the work that succeeds. Shared by all threads.
class retry_budget
{
public:
    /// Earns `percent` hundredths of a token for one success.
    void earn(std::uint32_t percent) noexcept;

    /// @return False when less than one token is left.
    bool try_spend() noexcept;

    /// As `try_spend`, but leaves half of the reserve to retries.
    bool try_spend_for_hedge() noexcept;

    /// @return Whole tokens left.
    std::uint32_t tokens() const noexcept;

private:
    // The reserve lets a service with little traffic retry at all.
    static constexpr std::int64_t reserve = 10 * 100;
    static constexpr std::int64_t token = 100;

    bool try_spend_above(std::int64_t kept) noexcept;

    std::atomic<std::int64_t> m_hundredths{reserve};
};

} // namespace turmericswitch::routing

#endif
