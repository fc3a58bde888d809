#pragma once

#include <cstdint>
#include <string>

#include <absl/time/time.h>

#include "FileDescriptor.h"
#include "currantfall/Common/Error.h"

namespace Currantfall::Peering {

/// An Error from errno.
Common::Error systemError(std::string step, std::string peer = {});

/// "address:port".
std::string endpointText(const std::string &address, std::uint16_t port);

/// A non-blocking listening socket. Port 0 selects a free port.
Common::Result<FileDescriptor> listenOn(const std::string &address, std::uint16_t port);

/// The port to which the socket is bound.
Common::Result<std::uint16_t> localPort(const FileDescriptor &socket);

/// Starts a non-blocking connect from `sourceAddress`; the socket becomes writable when it ends.
Common::Result<FileDescriptor> startConnect(const std::string &sourceAddress,
                                            const std::string &address, std::uint16_t port);

/// The result of a connect whose socket became writable.
Common::Result<void> connectResult(const FileDescriptor &socket, const std::string &peer);

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that unacknowledged data in the kernel's buffer also
/// fails after `writeTimeout`.
Common::Result<void> configureLink(const FileDescriptor &socket, absl::Duration writeTimeout);

} // namespace Currantfall::Peering
