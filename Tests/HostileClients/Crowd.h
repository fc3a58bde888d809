#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Currantfall::Tests {

/// What one client of a crowd sends: a beginning, a part that is repeated, and an end.
struct ClientScript
{
    std::string beginning;
    std::string repeated;
    std::size_t repetitions = 0;
    std::string end;
};

/// Clients that send more than they should, read nothing and keep their connections open. They send
/// at the same time, each as fast as the VM accepts it.
class Crowd
{
public:
    /// Connects all clients to `host` and `port`. Throws if one can't connect.
    Crowd(const std::string &host, int port, std::vector<ClientScript> scripts);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends until each client has sent everything or lost its connection, or until the VM accepts
    /// no more bytes of anyone.
    void send();
    /// Number of bytes that were sent.
    std::size_t sentBytes() const { return this->sent; }

private:
    struct Client
    {
        int descriptor = -1;
        ClientScript script;
        /// Position in the whole text of the script.
        std::size_t position = 0;
        std::size_t length = 0;
        bool open = true;
    };

    /// The next bytes of the script, as far as they lie in one piece.
    static std::string nextBytes(const Client &client);
    void sendSome(Client &client);

    std::vector<Client> clients;
    std::size_t sent = 0;
};

} // namespace Currantfall::Tests
