#include "Support/ProcessFixture.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

#include <nlohmann/json.hpp>

namespace Currantfall::Tests {

namespace {

// A process that has not ended by then is described, because a test that hangs leaves nothing else.
constexpr std::chrono::seconds usualEndTime { 60 };
constexpr std::size_t mostShownBytes = 4096;

[[noreturn]] void throwSystemError(const std::string &step)
{
    throw std::system_error(errno, std::generic_category(), step);
}

int createFile(const char *name)
{
    const int file = memfd_create(name, MFD_CLOEXEC);
    if (file < 0) {
        throwSystemError("memfd_create");
    }
    return file;
}

std::string readAll(int file)
{
    std::string text;
    char buffer[4096];
    for (;;) {
        const ssize_t count = pread(file, buffer, sizeof(buffer), static_cast<off_t>(text.size()));
        if (count <= 0) {
            return text;
        }
        text.append(buffer, static_cast<std::size_t>(count));
    }
}

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

std::vector<std::string> environmentWith(const std::vector<std::string> &variables)
{
    std::vector<std::string> all;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        all.emplace_back(*variable);
    }
    all.insert(all.end(), variables.begin(), variables.end());
    return all;
}

/// Runs in the child between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void becomeProgram(char *const *arguments, char *const *variables, int outputFile,
                                int errorFile, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(127); // The parent ended before the death signal was set.
    }
    // Catch handles some signals; its handlers must not run here.
    for (const int number : { SIGTERM, SIGINT, SIGHUP }) {
        std::signal(number, SIG_DFL);
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(outputFile, STDOUT_FILENO);
    dup2(errorFile, STDERR_FILENO);
    // Sockets of servers in the test process must not stay open in the child.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execve(arguments[0], arguments, variables);
    _exit(127);
}

} // namespace

ProcessFixture::ProcessFixture(const std::string &program,
                               const std::vector<std::string> &arguments,
                               const std::vector<std::string> &variables)
    : outputFile(createFile("output")), errorFile(createFile("errors"))
{
    std::vector<std::string> argumentTexts = { program };
    argumentTexts.insert(argumentTexts.end(), arguments.begin(), arguments.end());
    std::vector<std::string> variableTexts = environmentWith(variables);
    const std::vector<char *> argumentPointers = pointersTo(argumentTexts);
    const std::vector<char *> variablePointers = pointersTo(variableTexts);
    const pid_t parent = getpid();
    // Signals to the child wait until it has reset the handlers.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    this->process = fork();
    if (this->process == 0) {
        becomeProgram(argumentPointers.data(), variablePointers.data(), this->outputFile,
                      this->errorFile, parent);
    }
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    if (this->process < 0) {
        throwSystemError("fork");
    }
}

ProcessFixture::ProcessFixture(ProcessFixture &&other) noexcept
    : process(std::exchange(other.process, -1)), outputFile(std::exchange(other.outputFile, -1)),
      errorFile(std::exchange(other.errorFile, -1)), exitCode(other.exitCode)
{ }

ProcessFixture::~ProcessFixture()
{
    if (this->process > 0 && this->running()) {
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
    close(this->outputFile);
    close(this->errorFile);
}

std::string ProcessFixture::waitListening()
{
    for (;;) {
        const bool alive = this->running();
        const std::string text = this->output();
        const std::size_t end = text.find('\n');
        if (end != std::string::npos) {
            return nlohmann::json::parse(text.substr(0, end)).at("listening").get<std::string>();
        }
        if (!alive) {
            throw std::runtime_error("the program ended before it listened: " + this->errors());
        }
        pauseBetweenChecks();
    }
}

bool ProcessFixture::running()
{
    if (this->exitCode) {
        return false;
    }
    int status = 0;
    const pid_t ended = waitpid(this->process, &status, WNOHANG);
    if (ended < 0) {
        throwSystemError("waitpid");
    }
    if (ended == 0) {
        return true;
    }
    constexpr int signalBase = 128;
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    return false;
}

int ProcessFixture::wait()
{
    const auto reportTime = std::chrono::steady_clock::now() + usualEndTime;
    bool reported = false;
    waitUntil([&] {
        if (!reported && std::chrono::steady_clock::now() >= reportTime) {
            reported = true;
            std::cerr << this->describe() << std::endl;
        }
        return !this->running();
    });
    return *this->exitCode;
}

std::string ProcessFixture::describe() const
{
    const std::string files = "/proc/" + std::to_string(this->process);
    std::ostringstream text;
    text << "process " << this->process << " has not ended\n";
    std::ifstream status(files + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("State") || line.starts_with("Sig") || line.starts_with("ShdPnd")) {
            text << line << "\n";
        }
    }
    std::error_code error;
    for (const auto &task : std::filesystem::directory_iterator(files + "/task", error)) {
        std::string name;
        std::string place;
        std::ifstream(task.path() / "comm") >> name;
        std::ifstream(task.path() / "wchan") >> place;
        text << "thread " << task.path().filename().string() << " " << name << " in " << place
             << "\n";
    }
    const std::string written = this->output();
    const std::size_t start = written.size() - std::min(written.size(), mostShownBytes);
    text << "errors: " << this->errors() << "\noutput: ..." << written.substr(start);
    return text.str();
}

bool ProcessFixture::handles(int signal) const
{
    std::error_code error;
    const std::string files = "/proc/" + std::to_string(this->process);
    const auto program = std::filesystem::read_symlink(files + "/exe", error);
    if (error) {
        return true; // It has ended.
    }
    // Between fork and exec the masks are those of this program.
    if (program == std::filesystem::read_symlink("/proc/self/exe")) {
        return false;
    }
    std::ifstream status(files + "/status");
    std::uint64_t handled = 0;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:")) {
            handled |= std::stoull(line.substr(line.find('\t')), nullptr, 16);
        }
    }
    return (handled >> static_cast<unsigned>(signal - 1) & 1U) != 0;
}

std::string ProcessFixture::output() const
{
    return readAll(this->outputFile);
}

std::string ProcessFixture::errors() const
{
    return readAll(this->errorFile);
}

void ProcessFixture::signal(int number)
{
    // Once the process was waited for, its id may belong to another one.
    if (this->running() && ::kill(this->process, number) != 0) {
        throwSystemError("kill");
    }
}

void pauseBetweenChecks()
{
    constexpr useconds_t pauseMicroseconds = 2000;
    usleep(pauseMicroseconds);
}

} // namespace Currantfall::Tests
