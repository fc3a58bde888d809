#pragma once

#include <string>

namespace Currantfall::Standins {

/// Ends the server side of the connection from the client at `remoteAddress`:`remotePort`. What the
/// server sends afterwards is lost. cpp-httplib gives handlers no access to the socket, so it is
/// looked up among the descriptors of the process.
void dropConnection(const std::string &remoteAddress, int remotePort);

/// Ends all established connections of the process, so that threads that wait for a next request
/// on an idle connection return at once.
void dropAllConnections();

} // namespace Currantfall::Standins
