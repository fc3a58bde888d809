#pragma once

#include <cstddef>
#include <string>

#include "BackendStandin.h"

namespace Currantfall::BackendStandin {

/// What a request said about itself.
struct RequestFacts
{
    std::string method;
    std::string target; ///< Path and query as received.
    std::string body;
    std::string request; ///< Currantfall-Request.
    std::string attempt; ///< Currantfall-Attempt.
    std::size_t contentBytes = 0;
};

/// The body of an answer: a line of JSON that describes server and request, followed by
/// `contentBytes` bytes that depend on target and request only. The line has the XXH3-64 of the
/// request's body and of the content, so that a caller can verify the whole answer.
std::string answerBody(const ServerIdentity &server, const RequestFacts &facts);

} // namespace Currantfall::BackendStandin
