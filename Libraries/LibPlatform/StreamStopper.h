// Asks engines to stop streams that were lost or given up, until they have said that these are over.
//
// An engine lets a stream run on for a while after its connection has closed, so that it can be re-attached
// to. Meanwhile the generation goes on at another engine.

#pragma once

#include <LibCore/Address.h>

#include <absl/time/time.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <thread>

namespace Wisteria {

class StreamStopper
{
public:
    // Delay after the first request that was not answered. It doubles with each further one.
    static constexpr absl::Duration shortestRetry = absl::Milliseconds(50);
    static constexpr absl::Duration longestRetry = absl::Seconds(1);
    // An engine has cancelled a stream without a reader by itself after this time.
    static constexpr absl::Duration longestLinger = absl::Seconds(30);

    StreamStopper();
    // Asks no longer.
    ~StreamStopper();
    StreamStopper(const StreamStopper &) = delete;
    StreamStopper &operator=(const StreamStopper &) = delete;

    // Returns at once; may be called by any thread.
    void stop(const Address &, const std::string &stream);

private:
    struct Request;

    void ask(const std::shared_ptr<Request> &);
    void askAgain(const std::shared_ptr<Request> &);

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    // Runs `m_context`.
    std::thread m_thread;
};

} // namespace Wisteria
