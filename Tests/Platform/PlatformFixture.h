#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Support/ProcessFixture.h"

namespace Currantfall::Tests {

struct ToolResult
{
    int exitCode = 0;
    std::string output;
    std::string errors;
};

/// A loopback address of this test process, so that tests can run at the same time.
std::string ownAddress();

/// A running stand-in for the platform and runs of the operator tool against it.
class PlatformFixture
{
public:
    explicit PlatformFixture(const std::vector<std::string> &arguments = {});

    /// Changes the faults in force.
    void setFaults(const nlohmann::json &change);
    nlohmann::json statistics();
    void putVm(const std::string &vm, const nlohmann::json &entry);
    /// The environment row; null if there is none.
    nlohmann::json row(const std::string &environment);

    /// Starts the tool as operator `operatorName`.
    ProcessFixture start(const std::string &operatorName,
                         const std::vector<std::string> &arguments);
    ToolResult run(const std::vector<std::string> &arguments);

    const std::string &address() const { return this->listening; }
    ProcessFixture &process() { return this->server; }

private:
    ProcessFixture server;
    std::string listening;
    httplib::Client client;
};

ToolResult finish(ProcessFixture &tool);

/// The lookup and admin ports of a daemon with canned answers.
class FakeDaemon
{
public:
    FakeDaemon(int portBase, const nlohmann::json &status);
    ~FakeDaemon();
    FakeDaemon(const FakeDaemon &other) = delete;
    FakeDaemon &operator=(const FakeDaemon &other) = delete;

    void setStatus(const nlohmann::json &status);
    /// The entry for the VM list.
    nlohmann::json entry() const;

private:
    void serve(httplib::Server &server, int port);

    int portBase;
    mutable std::mutex mutex;
    nlohmann::json status;
    httplib::Server admin;
    httplib::Server lookups;
    std::vector<std::thread> threads;
};

} // namespace Currantfall::Tests
