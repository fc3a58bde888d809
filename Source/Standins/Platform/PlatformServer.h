#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <httplib.h>

#include "FaultPlan.h"
#include "RateLimit.h"
#include "Store.h"
#include "VmDirectory.h"

namespace Currantfall::Standins {

struct PlatformServerSettings
{
    std::string address;
    int port = 0; ///< 0 lets the system choose.
    double readsPerSecond = 0.0;
    double writesPerSecond = 0.0;
    /// Connections served at the same time.
    std::size_t threads = 0;
};

/// The HTTP side of the stand-in for the platform.
class PlatformServer
{
public:
    explicit PlatformServer(PlatformServerSettings settings);

    VmDirectory &vms() { return this->directory; }

    /// Returns the port.
    Common::Result<int> bind();
    /// Serves until stop().
    void run();
    /// True once connections are served; stop() has no effect before.
    bool running() const { return this->server.is_running(); }
    /// May be called from another thread.
    void stop();

private:
    enum class Access {
        Read,
        Write
    };
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    /// httplib's server with the queue of pending connections that many daemons need.
    class Listener : public httplib::Server
    {
    public:
        void extendBacklog();
    };

    void addRoutes();
    void addControlRoutes();
    /// Wraps a handler of the platform's interface with faults, limits and counters.
    httplib::Server::Handler guarded(Access access, const std::string &counter, Handler handler);
    bool answersNormally(Access access, const httplib::Request &request,
                         httplib::Response &response);
    void drop(const httplib::Request &request);
    void count(const std::string &counter);
    /// Waits for the delay in force or until the server stops.
    void delay();

    void readRow(const httplib::Request &request, httplib::Response &response);
    void writeRow(const httplib::Request &request, httplib::Response &response);
    void readObject(const httplib::Request &request, httplib::Response &response);
    void writeObject(const httplib::Request &request, httplib::Response &response);
    void editFaults(const httplib::Request &request, httplib::Response &response);
    void putVm(const httplib::Request &request, httplib::Response &response);
    void showStatistics(httplib::Response &response);

    PlatformServerSettings settings;
    Store store;
    VmDirectory directory;
    FaultPlan faults;
    RateLimit reads;
    RateLimit writes;
    Listener server;
    /// Not an absl::Mutex: Debian's Abseil is not instrumented for ThreadSanitizer.
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    std::map<std::string, std::uint64_t> counters;
};

} // namespace Currantfall::Standins
