#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <httplib.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Log.h"

#include "EntryGate.h"
#include "HttpListener.h"
#include "Request.h"
#include "RoutingSnapshot.h"

namespace Currantfall::Daemon {

/// The listener of one rank. Checks route, limits and headers, hands the request to the steering
/// thread and waits for its answer. One rank's listener has its own threads, so that a flood of one
/// rank can't take the threads of another.
class CallerServer
{
public:
    struct Settings
    {
        std::string vm;
        std::string address;
        std::uint16_t port = 0;
        Common::RankIndex rank = 0;
        std::size_t connections = 0;
    };

    /// Returns false if the steering thread's ring is full; the request was not taken then.
    using Submit = std::function<bool(SharedRequest, std::shared_ptr<Completion>)>;

    static Common::Result<std::unique_ptr<CallerServer>>
    start(Settings settings, const Published<RoutingSnapshot> &routing, EntryGate &gate,
          Submit submit);

private:
    CallerServer(Settings settings, const Published<RoutingSnapshot> &routing, EntryGate &gate,
                 Submit submit);

    void installHandlers();
    void serve(const httplib::Request &in, const httplib::ContentReader *reader,
               httplib::Response &out);
    Common::Answer process(const httplib::Request &in, const httplib::ContentReader *reader,
                           const std::string &requestId);
    std::string nextRequestId();

    Settings settings;
    const Published<RoutingSnapshot> &routing;
    EntryGate &gate;
    Submit submit;
    Common::Log log;
    std::atomic<std::uint64_t> lastRequest { 0 };
    HttpListener listener;
};

} // namespace Currantfall::Daemon
