#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/BoundedRing.h"
#include "currantfall/Configuration/Environment.h"

#include "BackendConnection.h"

namespace Currantfall::Daemon {

/// One attempt for a slot of a backend server.
struct BackendJob
{
    std::string attempt;
    Common::BackendServerName server;
    SharedRequest request;
};

struct BackendCompletion
{
    std::string attempt;
    Common::BackendServerName server;
    BackendResult result;
};

/// One worker thread with one warm connection per slot of the backend servers that this VM owns.
/// All functions but the completion handler, which runs on worker threads, belong to one thread.
class BackendPool
{
public:
    using CompletionHandler = std::function<void(BackendCompletion)>;

    explicit BackendPool(CompletionHandler handler);
    ~BackendPool();

    /// Starts workers for new servers. Workers of servers no longer listed finish their attempt.
    void setServers(const std::vector<Configuration::BackendServer> &servers);

    /// Returns false if the server has no idle worker; nothing was sent then.
    bool start(BackendJob job);

    void cancel(const std::string &attempt);

    /// To be called for each completion, when it has been handled.
    void release(const std::string &attempt);

private:
    struct Worker;
    struct Server
    {
        Configuration::BackendServer settings;
        std::vector<std::shared_ptr<Worker>> workers;
    };

    static void run(std::shared_ptr<Worker> worker, CompletionHandler handler);
    void addServer(const Configuration::BackendServer &settings);
    void retire(Server server);
    /// Joins retired workers that have ended.
    void reap();

    CompletionHandler handler;
    absl::flat_hash_map<Common::BackendServerName, Server> servers;
    absl::flat_hash_map<std::string, std::shared_ptr<Worker>> busy; // By attempt.
    std::vector<std::shared_ptr<Worker>> retired;
};

} // namespace Currantfall::Daemon
