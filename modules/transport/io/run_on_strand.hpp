#ifndef TURMERICSWITCH_TRANSPORT_IO_RUN_ON_STRAND_HPP
#define TURMERICSWITCH_TRANSPORT_IO_RUN_ON_STRAND_HPP

#include "transport/io/io_pool.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <utility>

namespace turmericswitch::transport
{

/// Runs `task` on the strand and waits until it has finished. On a thread of
/// the pool it returns without waiting, because the task may need that thread.
template <typename Task>
void run_on_strand(io_pool& io,
                   boost::asio::any_io_executor const& strand,
                   Task task)
{
    if (io.running_in_this_thread())
    {
        boost::asio::dispatch(strand, std::move(task));
        return;
    }
    auto const finished = std::make_shared<std::promise<void>>();
    auto const waiting = finished->get_future();
    boost::asio::post(strand,
                      [finished, task = std::move(task)]() mutable
                      {
                          task();
                          finished->set_value();
                      });
    waiting.wait();
}

} // namespace turmericswitch::transport

#endif
