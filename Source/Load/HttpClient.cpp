#include "Load/HttpClient.h"

namespace Currantfall::Load {

std::unique_ptr<httplib::Client> makeClient(const Endpoint &endpoint, absl::Duration connectTimeout,
                                            absl::Duration timeout)
{
    auto client = std::make_unique<httplib::Client>(endpoint.address, endpoint.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(absl::ToChronoMilliseconds(connectTimeout));
    client->set_read_timeout(absl::ToChronoMilliseconds(timeout));
    client->set_write_timeout(absl::ToChronoMilliseconds(timeout));
    return client;
}

void openConnection(httplib::Client &client)
{
    // No service has this path: an entry VM refuses it, a backend server answers.
    client.Get("/_health");
}

} // namespace Currantfall::Load
