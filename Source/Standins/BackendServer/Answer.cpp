#include "Answer.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <xxhash.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Currantfall::BackendStandin {

namespace {

std::string hashHex(const std::string &bytes)
{
    return absl::StrCat(absl::Hex(XXH3_64bits(bytes.data(), bytes.size()), absl::kZeroPad16));
}

std::string content(const RequestFacts &facts)
{
    const std::string name = absl::StrCat(facts.request, " ", facts.target);
    const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
    std::string bytes(facts.contentBytes, '\0');
    for (std::size_t offset = 0; offset < bytes.size(); offset += sizeof(std::uint64_t)) {
        const std::uint64_t block = XXH3_64bits_withSeed(&offset, sizeof(offset), seed);
        const std::size_t rest = bytes.size() - offset;
        std::memcpy(bytes.data() + offset, &block, std::min(rest, sizeof(block)));
    }
    return bytes;
}

} // namespace

std::string answerBody(const ServerIdentity &server, const RequestFacts &facts)
{
    const std::string bytes = content(facts);
    const nlohmann::json line {
        { "service", server.service },       { "server", server.server },
        { "method", facts.method },          { "path", facts.target },
        { "body_bytes", facts.body.size() }, { "body_hash", hashHex(facts.body) },
        { "request", facts.request },        { "attempt", facts.attempt },
        { "content_bytes", bytes.size() },   { "content_hash", hashHex(bytes) }
    };
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" + bytes;
}

} // namespace Currantfall::BackendStandin
