#include "load/schedule/schedule.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace turmericswitch::load
{

namespace
{

/// Upper limit of the delay of a resend. With a random delay below it, some
/// resends arrive while the first send is in progress and others after it has
/// finished.
constexpr std::int64_t max_resend_delay_us = 100'000;
constexpr std::int64_t max_work_us = 60'000'000;

core::duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
}

double standard_normal(core::random_source const& random)
{
    double const radius =
        std::sqrt(-2.0 * std::log(1.0 - core::random_unit(random)));
    double const angle = 2.0 * std::numbers::pi * core::random_unit(random);
    return radius * std::cos(angle);
}

std::int64_t draw_work(core::random_source const& random,
                       request_settings const& requests)
{
    if (requests.work_mean_ms <= 0)
    {
        return 0;
    }
    double const sigma = requests.work_sigma;
    double const mu =
        std::log(requests.work_mean_ms * 1000.0) - sigma * sigma / 2.0;
    double const work = std::exp(mu + sigma * standard_normal(random));
    return std::min(max_work_us, static_cast<std::int64_t>(work));
}

request_kind draw_kind(core::random_source const& random,
                       request_settings const& requests)
{
    double const draw = core::random_unit(random);
    if (draw < requests.share_write)
    {
        return request_kind::write;
    }
    return draw < requests.share_write + requests.share_keyed
               ? request_kind::keyed_write
               : request_kind::read;
}

planned_send make_resend(planned_send const& first,
                         core::random_source const& random,
                         std::size_t gateways)
{
    planned_send resend = first;
    resend.due += std::chrono::microseconds(
        core::random_below(random, max_resend_delay_us));
    if (gateways > 1)
    {
        resend.gateway =
            (first.gateway + 1 + core::random_below(random, gateways - 1)) %
            gateways;
    }
    return resend;
}

} // namespace

std::vector<core::duration> poisson_times(core::random_source const& random,
                                          double rate,
                                          core::duration length,
                                          std::size_t limit)
{
    std::vector<core::duration> times;
    if (rate <= 0)
    {
        return times;
    }
    double now = 0;
    while (times.size() < limit)
    {
        now -= std::log(1.0 - core::random_unit(random)) / rate;
        if (now >= std::chrono::duration<double>(length).count())
        {
            break;
        }
        times.push_back(from_seconds(now));
    }
    return times;
}

std::vector<planned_send> plan_sends(scenario const& settings)
{
    auto const random = core::seeded_random(settings.seed);
    auto const times = poisson_times(random,
                                     settings.rate,
                                     settings.duration,
                                     std::numeric_limits<std::size_t>::max());
    std::vector<planned_send> sends;
    sends.reserve(times.size());
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        planned_send send;
        send.due = times[i];
        send.request = i;
        send.kind = draw_kind(random, settings.requests);
        send.gateway = core::random_below(random, settings.gateways.size());
        send.work_us = draw_work(random, settings.requests);
        sends.push_back(send);
        if (send.kind == request_kind::keyed_write &&
            core::random_unit(random) < settings.requests.share_resend)
        {
            sends.push_back(
                make_resend(send, random, settings.gateways.size()));
        }
    }
    std::stable_sort(sends.begin(),
                     sends.end(),
                     [](planned_send const& a, planned_send const& b)
                     { return a.due < b.due; });
    return sends;
}

} // namespace turmericswitch::load
