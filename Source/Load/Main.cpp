#include <algorithm>
#include <iostream>
#include <string>

#include <absl/synchronization/mutex.h>

#include "Load/LoadRun.h"
#include "Load/ReportText.h"
#include "Load/Settings.h"

using namespace Currantfall;

namespace {

constexpr int exitSuccess = 0;
constexpr int exitInvariantBroken = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitUnreachable = 3;

bool isGiven(int count, char **arguments, const std::string &flag)
{
    return std::any_of(arguments, arguments + count,
                       [&flag](const char *argument) { return flag == argument; });
}

} // namespace

int main(int count, char **arguments)
{
    // Debian builds Abseil with deadlock detection, which takes a global lock in every Lock().
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    if (isGiven(count, arguments, "--help")) {
        std::cout << Load::Settings::help();
        return exitSuccess;
    }
    if (isGiven(count, arguments, "--version")) {
        std::cout << "currantfall-load " CURRANTFALL_VERSION "\n";
        return exitSuccess;
    }
    const Common::Result<Load::Settings> settings = Load::Settings::parse(count, arguments);
    if (!settings) {
        std::cerr << settings.error().toString() << "\n";
        return exitInvalidSettings;
    }
    const Common::Result<Load::LoadReport> report = Load::runLoad(*settings);
    if (!report) {
        std::cerr << report.error().toString() << "\n";
        return exitUnreachable;
    }
    std::cout << (settings->json ? Load::reportJson(*report, *settings)
                                 : Load::reportText(*report, *settings));
    return report->invariantBroken() ? exitInvariantBroken : exitSuccess;
}
