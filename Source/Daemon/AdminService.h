#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <httplib.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "HttpListener.h"
#include "Request.h"

namespace Currantfall::Daemon {

/// The listener for `/metrics`, `/healthz` and `/status`, apart from the callers' ones so that a
/// flood can't hide the state of the VM.
class AdminService
{
public:
    /// Asks the steering thread for its state; false if it can't take the question.
    using QueryStatus = std::function<bool(std::shared_ptr<Completion>)>;

    static Common::Result<std::unique_ptr<AdminService>> start(const std::string &address,
                                                               std::uint16_t port,
                                                               Telemetry::MetricsRegistry &metrics,
                                                               QueryStatus queryStatus);

private:
    AdminService(Telemetry::MetricsRegistry &metrics, QueryStatus queryStatus);

    void installHandlers();
    /// The status document, or nothing if the steering thread does not answer in time.
    std::optional<std::string> status();

    Telemetry::MetricsRegistry &metrics;
    QueryStatus queryStatus;
    HttpListener listener;
};

} // namespace Currantfall::Daemon
