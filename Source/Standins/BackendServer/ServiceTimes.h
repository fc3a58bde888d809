#pragma once

#include <cstdint>
#include <string>

#include "Behaviour.h"

namespace Currantfall::BackendStandin {

/// What chance decides for one request.
struct Draw
{
    absl::Duration serviceTime;
    bool truncate = false;
    bool hang = false;
    bool closeAfterRun = false;
    bool mismatch = false;
};

/// The draw of the request number `sequence` of a server. Depends only on its arguments, so that a
/// run can be repeated. `warmth` is 0 directly after a start and 1 when the server is warm.
Draw draw(const Behaviour &behaviour, std::uint64_t seed, std::uint64_t sequence, double warmth);

/// Whether the server refuses its request number `arrival` and asks for a pause. Independent of
/// draw(), which numbers only the requests that start.
bool drawPause(const Behaviour &behaviour, std::uint64_t seed, std::uint64_t arrival);

/// A seed for each server, so that the servers of one process do not act in step.
std::uint64_t serverSeed(std::uint64_t seed, const std::string &server);

} // namespace Currantfall::BackendStandin
