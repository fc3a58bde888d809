#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <httplib.h>

namespace Currantfall::HttpStream {

/// A connection as a cpp-httplib server reads and writes it. The library's own class is internal,
/// can't leave out an answer, and its server wakes up for every idle connection each 11 ms.
class SocketStream : public httplib::Stream
{
public:
    /// A caller that stalls within a request for longer than `stallTimeout` loses its connection.
    SocketStream(socket_t descriptor, absl::Duration stallTimeout);

    bool is_readable() const override; // NOLINT(readability-identifier-naming)
    bool is_writable() const override; // NOLINT(readability-identifier-naming)
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    // NOLINTNEXTLINE(readability-identifier-naming)
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    // NOLINTNEXTLINE(readability-identifier-naming)
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return this->descriptor; }

    /// True if received bytes have not been read yet.
    bool hasBuffered() const { return this->position < this->filled; }

    /// The next bytes are the head of a request. The library bounds neither a line nor the number
    /// of header fields, so that the stream does: a caller that exceeds a limit loses its
    /// connection.
    void beginRequest();

    static constexpr std::size_t maxLineBytes = std::size_t { 16 } * 1024;
    static constexpr std::size_t maxHeadBytes = std::size_t { 64 } * 1024;

    /// Drops everything that is written from now on.
    void discardOutput() { this->discarding = true; }
    bool discardsOutput() const { return this->discarding; }

private:
    bool waitFor(short events) const;
    /// Counts a byte of a line. Returns false if the line or the head is too long.
    bool continueLine(char next);

    socket_t descriptor;
    int stallTimeoutMs;
    std::vector<char> buffer;
    std::size_t position = 0;
    std::size_t filled = 0;
    bool discarding = false;
    bool inHead = false;
    std::size_t lineBytes = 0;
    std::size_t headBytes = 0;
};

} // namespace Currantfall::HttpStream
