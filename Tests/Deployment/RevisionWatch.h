#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "DeploymentFixture.h"

namespace Currantfall::Tests {

/// Reads the revision in force at every VM over and over and counts those that went back.
class RevisionWatch
{
public:
    explicit RevisionWatch(DeploymentFixture &deployment)
        : deployment(deployment), thread([this] { this->run(); })
    { }
    ~RevisionWatch() { this->finish(); }

    /// Ends the watch; returns how often a VM reported a lower revision than before.
    int finish()
    {
        this->stopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->reversions;
    }

private:
    void run()
    {
        std::map<std::string, int> highest;
        while (!this->stopping) {
            for (const EntryVm &vm : this->deployment.allVms()) {
                const int revision = this->deployment.status(vm).value("revision", 0);
                // A status without a revision is no answer.
                this->reversions += revision > 0 && revision < highest[vm.name] ? 1 : 0;
                highest[vm.name] = std::max(highest[vm.name], revision);
            }
            pauseBetweenChecks();
        }
    }

    DeploymentFixture &deployment;
    std::atomic<bool> stopping { false };
    std::atomic<int> reversions { 0 };
    std::thread thread;
};

} // namespace Currantfall::Tests
