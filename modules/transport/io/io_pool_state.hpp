#ifndef TURMERICSWITCH_TRANSPORT_IO_IO_POOL_STATE_HPP
#define TURMERICSWITCH_TRANSPORT_IO_IO_POOL_STATE_HPP

#include "transport/io/io_pool.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace turmericswitch::transport
{

/// Asio context and threads of an io_pool.
struct io_pool::state
{
    explicit state(std::size_t count)
        : context(static_cast<int>(count)),
          work(boost::asio::make_work_guard(context))
    {
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    std::vector<std::thread> threads;
};

} // namespace turmericswitch::transport

#endif
