#include "RequestMemory.h"

namespace Currantfall::Entry {

namespace {

// Memory of a header field besides its text: the library's links and the allocator's own use.
constexpr std::size_t perField = 112;

} // namespace

std::size_t headerMemory(const Adapter::HttpRequest &request)
{
    std::size_t bytes = request.target().size();
    for (const auto &field : request) {
        bytes += field.name_string().size() + field.value().size() + perField;
    }
    return bytes;
}

} // namespace Currantfall::Entry
