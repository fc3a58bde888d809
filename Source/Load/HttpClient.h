#pragma once

#include <memory>

#include <absl/time/time.h>
#include <httplib.h>

#include "Load/Endpoint.h"

namespace Currantfall::Load {

/// A client that keeps its connection; `timeout` limits each read and write.
std::unique_ptr<httplib::Client> makeClient(const Endpoint &endpoint, absl::Duration connectTimeout,
                                            absl::Duration timeout);

/// Opens the connection with a request that is no planned work, so that no planned request waits
/// for it.
void openConnection(httplib::Client &client);

} // namespace Currantfall::Load
