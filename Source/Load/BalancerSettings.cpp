#include "Load/BalancerSettings.h"

#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace Currantfall::Load {

namespace {

using Strings = std::vector<std::string>;

constexpr std::size_t maxBalancers = 64;

} // namespace

Common::Result<BalancerGroup> BalancerGroup::parse(const std::string &text)
{
    const Strings parts = absl::StrSplit(text, absl::MaxSplits('=', 1));
    const Strings names = absl::StrSplit(parts.front(), '/');
    BalancerGroup group;
    if (parts.size() != 2 || names.size() != 2 || names[0].empty()
        || !absl::SimpleAtoi(names[1], &group.balancers) || group.balancers == 0
        || group.balancers > maxBalancers) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read balancers", {},
                               "expected SERVICE/BALANCERS=IP:PORT,IP:PORT with 1 to 64 "
                               "balancers, found "
                                       + text);
    }
    group.service = names[0];
    for (const std::string &server : Strings(absl::StrSplit(parts[1], ','))) {
        const Common::Result<Endpoint> endpoint = Endpoint::parse(server);
        if (!endpoint) {
            return tl::unexpected<Common::Error>(endpoint.error());
        }
        group.servers.push_back(*endpoint);
    }
    return group;
}

} // namespace Currantfall::Load
