#pragma once

#include "CallerConnection.h"

// State of the requests of a connection, shared by the source files of CallerConnection.

namespace Currantfall::Entry {

struct CallerConnection::PendingRequest
{
    Adapter::HttpRequest request;
    SharedCaller caller;
    /// Memory of the request besides its body, which brings its own.
    Admission::MemoryBudget::SharedHolding headerMemory;
    std::optional<Adapter::HttpResponse> response;
    Admission::MemoryBudget::SharedHolding responseMemory;
    /// The connection closes after the response.
    bool closing = false;
};

} // namespace Currantfall::Entry
