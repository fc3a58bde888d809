#include "Output.h"

#include "currantfall/Platform/PlatformClient.h"

namespace Currantfall::Tool {

ExitCode exitCodeOf(const Common::Error &error)
{
    if (error.code() == make_error_code(Common::ErrorCode::Conflict)) {
        return ExitCode::Conflict;
    }
    return Platform::isUnreachable(error) ? ExitCode::Unreachable : ExitCode::Failed;
}

ExitCode Output::show(const std::string &text, const nlohmann::json &document, ExitCode code)
{
    if (this->json) {
        this->out << document.dump() << "\n";
    } else {
        this->out << text;
    }
    return code;
}

ExitCode Output::fail(const Common::Error &error, ExitCode code)
{
    this->errors << "currantfall: " << error.toString() << "\n";
    if (this->json) {
        const nlohmann::json document = { { "error", error.code().message() },
                                          { "step", error.step() },
                                          { "peer", error.peer() },
                                          { "detail", error.detail() },
                                          { "exit_code", static_cast<int>(code) } };
        this->out << document.dump() << "\n";
    }
    return code;
}

void Output::warn(const std::string &message)
{
    this->errors << "currantfall: " << message << "\n";
}

} // namespace Currantfall::Tool
