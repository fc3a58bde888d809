#pragma once

#include <string>

#include <httplib.h>

#include "currantfall/Common/Outcome.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Daemon {

constexpr const char *outcomeHeader = "Currantfall-Outcome";
constexpr int statusPayloadTooLarge = 413;

/// The HTTP status for an answer that no backend server gave.
int statusOf(const Common::Answer &answer);

/// Writes an answer with the headers and the JSON body of the caller interface.
void writeAnswer(const Common::Answer &answer, const std::string &requestId,
                 httplib::Response &out);

/// The tenant that the request names, or the first of the document if it names none or an unknown
/// one.
Common::TenantName tenantOf(const httplib::Request &in,
                            const Configuration::Environment &environment);

} // namespace Currantfall::Daemon
