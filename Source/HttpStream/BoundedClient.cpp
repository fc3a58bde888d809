#include "HttpStream/BoundedClient.h"

#include <string_view>
#include <utility>

namespace Currantfall::HttpStream {

namespace {

// Heads of responses have some hundred bytes.
constexpr std::size_t maxBytesWithoutBody = std::size_t { 64 } * 1024;
// The library matches a status line with a regular expression that recurses for each character.
constexpr std::size_t maxStatusLineBytes = 1024;
constexpr std::string_view statusLineStart = "HTTP/";

/// Passes on the operations of the library's stream.
class BoundedStream : public httplib::Stream
{
public:
    BoundedStream(httplib::Stream &stream, ReadBounds &bounds) : stream(stream), bounds(bounds) { }

    // NOLINTBEGIN(readability-identifier-naming)
    bool is_readable() const override { return this->stream.is_readable(); }
    bool is_writable() const override { return this->stream.is_writable(); }
    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        this->stream.get_remote_ip_and_port(ip, port);
    }
    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        this->stream.get_local_ip_and_port(ip, port);
    }
    // NOLINTEND(readability-identifier-naming)
    socket_t socket() const override { return this->stream.socket(); }

    ssize_t read(char *data, std::size_t size) override
    {
        if (this->bounds.bytesWithoutBody >= maxBytesWithoutBody
            || Common::monotonicNow() > this->bounds.deadline) {
            return -1;
        }
        const ssize_t received = this->stream.read(data, size);
        if (received > 0) {
            this->bounds.bytesWithoutBody += static_cast<std::size_t>(received);
        }
        // Lines are read byte by byte.
        return received != 1 || this->continueLine(*data) ? received : -1;
    }
    ssize_t write(const char *data, std::size_t size) override
    {
        return this->stream.write(data, size);
    }

private:
    /// Returns false if the line is a status line that is too long.
    bool continueLine(char next)
    {
        if (next == '\n') {
            this->lineBytes = 0;
            return true;
        }
        if (this->lineBytes < statusLineStart.size()) {
            const bool matches = next == statusLineStart[this->lineBytes];
            this->isStatusLine = matches && (this->lineBytes == 0 || this->isStatusLine);
        }
        ++this->lineBytes;
        return !this->isStatusLine || this->lineBytes <= maxStatusLineBytes;
    }

    httplib::Stream &stream;
    ReadBounds &bounds;
    std::size_t lineBytes = 0;
    bool isStatusLine = false;
};

} // namespace

httplib::Result BoundedClient::getBounded(const std::string &path, std::size_t maxBodyBytes)
{
    std::string body;
    httplib::Result result = this->Get(path, [&](const char *data, std::size_t size) {
        if (body.size() + size > maxBodyBytes) {
            return false;
        }
        body.append(data, size);
        this->noteBodyReceived();
        return true;
    });
    if (result) {
        result->body = std::move(body);
    }
    return result;
}

bool BoundedClient::process_socket(const Socket &socket,
                                   std::function<bool(httplib::Stream &stream)> callback)
{
    this->bounds.bytesWithoutBody = 0;
    return httplib::detail::process_client_socket(
            socket.sock, this->read_timeout_sec_, this->read_timeout_usec_,
            this->write_timeout_sec_, this->write_timeout_usec_,
            [this, &callback](httplib::Stream &stream) {
                BoundedStream bounded(stream, this->bounds);
                return callback(bounded);
            });
}

} // namespace Currantfall::HttpStream
