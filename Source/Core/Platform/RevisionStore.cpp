#include "currantfall/Platform/RevisionStore.h"

#include <cstdint>

#include <absl/random/random.h>
#include <absl/strings/str_format.h>

namespace Currantfall::Platform {

std::string newOperationId()
{
    absl::BitGen generator;
    const auto high = absl::Uniform<std::uint64_t>(generator);
    const auto low = absl::Uniform<std::uint64_t>(generator);
    return absl::StrFormat("%016x%016x", high, low);
}

} // namespace Currantfall::Platform
