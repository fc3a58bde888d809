#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <httplib.h>

#include "currantfall/Common/Error.h"

#include "Relay.h"

namespace Currantfall::Standins {

/// `POST /_control` with any of {"listen", "delay_ms", "cut", "freeze", "freeze_to_target",
/// "freeze_to_caller", "reset", "bytes_per_second"}. "freeze" sets both directions; "reset": true
/// resets the open connections once.
/// Without "listen" it applies to all links; "bytes_per_second": 0 means unlimited. The response to
/// it, and to `GET /_control`, is the list of the present settings.
class Control
{
public:
    static Common::Result<std::unique_ptr<Control>> start(Relay &relay, const Endpoint &address);
    ~Control();

    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    std::uint16_t port() const { return this->boundPort; }

private:
    explicit Control(Relay &relay);
    void addRoutes();

    Relay &relay;
    httplib::Server server;
    std::uint16_t boundPort = 0;
    std::thread thread;
};

} // namespace Currantfall::Standins
