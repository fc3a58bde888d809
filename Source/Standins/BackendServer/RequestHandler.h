#pragma once

#include <functional>
#include <httplib.h>
#include <vector>

#include "BackendStandin.h"
#include "ExecutionLog.h"

namespace Currantfall::BackendStandin {

using Servers = std::vector<BackendStandin *>;

/// Adds the routes of one backend server: its work on every path, `/_health`, and `/_control/`
/// with `behaviour`, `cancel` and `executions`. `servers` returns all servers of the process.
void addRoutes(httplib::Server &http, BackendStandin &server, const ExecutionLog &log,
               std::function<const Servers &()> servers);

} // namespace Currantfall::BackendStandin
