#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "currantfall/Common/BoundedRing.h"
#include "currantfall/Common/Log.h"
#include "currantfall/Platform/EnvironmentRow.h"
#include "currantfall/Platform/PlatformClient.h"

#include "ConfigurationFlow.h"

namespace Currantfall::Daemon {

/// Reads the environment row, the VM list and documents from the platform on a thread of its own,
/// so that an outage or a slow store never delays steering.
class PlatformReader
{
public:
    struct Hooks
    {
        std::function<void(Platform::EnvironmentRow)> onRow;
        std::function<void(std::vector<Platform::ListedVm>)> onVms;
        std::function<void(LoadedDocument)> onDocument;
    };

    PlatformReader(Platform::PlatformClient client, std::string environment, std::uint64_t seed,
                   Hooks hooks);
    ~PlatformReader();

    /// Asks for an object of the store; a full ring drops the request, which is repeated later.
    void fetch(const std::string &hash);

    /// Two VMs per zone read often, the others seldom.
    void setReadsOften(bool often) { this->readsOften = often; }

    /// Time since the platform last answered, in milliseconds; negative before the first answer.
    std::int64_t lastAnswerAgeMs() const;

private:
    void run();
    void readRow();
    void readVms();
    void fetchDocument(const std::string &hash);
    void noteAnswer();
    void noteFailure(const Common::Error &error);
    absl::Duration interval() const;

    Platform::PlatformClient client;
    std::string environment;
    Hooks hooks;
    Common::Log log;
    Common::BoundedRing<std::string> fetches;
    std::atomic<bool> readsOften { true };
    std::atomic<bool> stopping { false };
    std::atomic<std::int64_t> lastAnswerMs { -1 };
    bool haveRow = false;
    bool failing = false;
    std::uint64_t jitter;
    std::thread thread;
};

/// Reads and checks documents, which takes long for large ones, on a thread of its own.
class DocumentLoader
{
public:
    explicit DocumentLoader(std::function<void(LoadedDocument)> onDocument);
    ~DocumentLoader();

    void load(std::string content);

private:
    void run();

    std::function<void(LoadedDocument)> onDocument;
    Common::BoundedRing<std::string> contents;
    std::thread thread;
};

} // namespace Currantfall::Daemon
