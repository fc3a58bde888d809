#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Currantfall::Tests {

using SoakClock = std::chrono::steady_clock;

/// A request that reached a backend server, executed or not.
struct Arrival
{
    std::string request;
    std::string server;
    std::string address; ///< Where the server listens.
    SoakClock::time_point time;
    /// For how long the server asked for no requests in its response; zero if it did not.
    std::chrono::milliseconds pause { 0 };
};

/// What backend servers saw of one request.
struct Executions
{
    std::size_t started = 0;
    std::set<std::string> services;
};

/// Executions of all backend servers, by request. Thread-safe.
class ExecutionLedger
{
public:
    void start(const std::string &request, const std::string &service)
    {
        const std::lock_guard lock(this->mutex);
        Executions &entry = this->entries[request];
        ++entry.started;
        entry.services.insert(service);
    }

    void arrive(Arrival arrival)
    {
        const std::lock_guard lock(this->mutex);
        this->allArrivals.push_back(std::move(arrival));
    }

    std::vector<Arrival> arrivals() const
    {
        const std::lock_guard lock(this->mutex);
        return this->allArrivals;
    }

    void violation(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->found.push_back(text);
    }

    std::map<std::string, Executions> executions() const
    {
        const std::lock_guard lock(this->mutex);
        return this->entries;
    }

    /// Requests that were changed on the way.
    std::vector<std::string> violations() const
    {
        const std::lock_guard lock(this->mutex);
        return this->found;
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, Executions> entries;
    std::vector<Arrival> allArrivals;
    std::vector<std::string> found;
};

/// Bodies that follow from the request's id, so that both ends can check them.
std::string requestBodyOf(const std::string &request);
std::string responseBodyOf(const std::string &request);
/// The signature of a server's response.
std::string sealOf(const std::string &request, const std::string &server);

} // namespace Currantfall::Tests
