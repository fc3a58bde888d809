#include "BackendConnection.h"

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>

#include "HttpHeaders.h"

namespace Currantfall::Daemon {

namespace {

using Common::Outcome;
using Common::Reason;

constexpr auto connectTimeout = std::chrono::milliseconds(500);
constexpr auto cancelTimeout = std::chrono::milliseconds(200);
// The backend server gets its deadline with the request; the connection waits a little longer, so
// that an answer sent at the deadline still arrives.
constexpr absl::Duration answerGrace = absl::Milliseconds(50);
// As large as the largest body of a request. An answer goes to the VM of its caller in one frame of
// at most 20 MiB.
constexpr std::size_t maxAnswerBytes = std::size_t { 16 } * 1024 * 1024;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusUnavailable = 503;
// Upper limit of the retry time that callers are given: a pause concerns one server, and others may
// take the retry.
constexpr absl::Duration maxRetryAfter = absl::Seconds(1);

// Addresses are "IP:PORT".
std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

/// Returns 0, to which no connection can be made, if there is no port.
int portOf(const std::string &address)
{
    int port = 0;
    const auto colon = address.rfind(':');
    return colon != std::string::npos && absl::SimpleAtoi(address.substr(colon + 1), &port) ? port
                                                                                            : 0;
}

/// False if the end of the answer can't be told from a lost connection.
bool hasVerifiableEnd(const httplib::Request &request, const httplib::Response &response)
{
    return response.has_header("Content-Length")
           || response.get_header_value("Transfer-Encoding") == "chunked"
           || response.status == statusNoContent || response.status == statusNotModified
           || request.method == "HEAD";
}

httplib::Request makeRequest(const std::string &attempt, const Request &request,
                             absl::Duration remaining)
{
    httplib::Request out;
    out.method = request.method;
    out.path = request.path;
    out.body = request.body;
    for (const Common::Header &header : request.headers) {
        out.headers.emplace(header.name, header.value);
    }
    out.headers.emplace("Currantfall-Attempt", attempt);
    out.headers.emplace("Currantfall-Deadline-Ms",
                        std::to_string(absl::ToInt64Milliseconds(remaining)));
    if (!request.key.empty()) {
        out.headers.emplace("Idempotency-Key", request.key);
    }
    return out;
}

BackendResult unusableResult(const std::string &message)
{
    BackendResult result;
    result.verdict = ServerVerdict::Failed;
    result.answer = Common::outcomeUnknown(Reason::BackendServerFailed, message);
    return result;
}

BackendResult failedResult(httplib::Error error, const std::string &address, bool cancelled)
{
    const std::string message = address + ": " + httplib::to_string(error);
    BackendResult result = unusableResult(message);
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress) {
        // No byte was sent.
        result.answer = Common::notRun(Reason::BackendServerFailed, message);
    } else if (cancelled) {
        result.answer = Common::outcomeUnknown(Reason::Cancelled, message);
    }
    if (cancelled) {
        result.verdict = ServerVerdict::Unjudged;
    }
    return result;
}

/// What the answer says of the attempt to which it belongs.
enum class Attribution {
    Missing,
    This,
    Other, ///< Another attempt, or several.
};

Attribution attributionOf(const httplib::Response &response, const std::string &attempt)
{
    const std::size_t count = response.get_header_value_count("Currantfall-Attempt");
    if (count == 0) {
        return Attribution::Missing;
    }
    const bool same = response.get_header_value("Currantfall-Attempt") == attempt;
    return count == 1 && same ? Attribution::This : Attribution::Other;
}

bool isShed(const httplib::Response &response)
{
    return response.get_header_value("Currantfall-Shed") == "not-run";
}

std::vector<std::string> valuesOf(const httplib::Response &response, const std::string &name)
{
    std::vector<std::string> values;
    const auto range = response.headers.equal_range(name);
    for (auto header = range.first; header != range.second; ++header) {
        values.push_back(header->second);
    }
    return values;
}

absl::Time serverStartOf(const httplib::Response &response)
{
    std::int64_t milliseconds = 0;
    const bool valid
            = absl::SimpleAtoi(response.get_header_value("Currantfall-Started-Ms"), &milliseconds)
              && milliseconds > 0;
    return valid ? absl::FromUnixMillis(milliseconds) : absl::UnixEpoch();
}

Steering::ServerNotice noticeOf(const httplib::Response &response, absl::Time serverStart)
{
    // Without a start, nothing would show when the next process serves at the address.
    const bool named = serverStart > absl::UnixEpoch();
    return Steering::ServerNotice::read(
            named ? valuesOf(response, "Currantfall-Leaving") : std::vector<std::string>(),
            valuesOf(response, "Retry-After"), response.status == statusUnavailable);
}

BackendResult answeredResult(httplib::Response &response)
{
    BackendResult result;
    result.serverStart = serverStartOf(response);
    result.notice = noticeOf(response, result.serverStart);
    if (isShed(response)) {
        result.verdict = ServerVerdict::Shed;
        result.answer
                = Common::notRun(Reason::BackendServerShed, "the backend server shed the request",
                                 std::min(result.notice.pause(), maxRetryAfter));
        return result;
    }
    result.verdict = ServerVerdict::Answered;
    result.answer.outcome = Outcome::Answered;
    result.answer.status = response.status;
    result.answer.headers = endToEndHeaders(response.headers);
    result.answer.body = std::move(response.body);
    return result;
}

} // namespace

BackendConnection::BackendConnection(const std::string &address)
    : address(address), client(hostOf(address), portOf(address))
{
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
    this->client.set_url_encode(false);
    this->client.set_decompress(false);
    this->client.set_follow_location(false);
    this->client.set_connection_timeout(connectTimeout);
    this->client.set_socket_options(
            [this](socket_t descriptor) { this->replaceSocket(descriptor); });
}

BackendConnection::~BackendConnection()
{
    this->replaceSocket(-1);
}

BackendResult BackendConnection::execute(const std::string &attempt, const Request &request)
{
    const Common::Instant start = Common::monotonicNow();
    const absl::Duration remaining = request.deadline - start;
    if (remaining <= absl::ZeroDuration()) {
        BackendResult result;
        result.answer = Common::notRun(Reason::TimedOut, "the deadline passed before the start");
        return result;
    }
    {
        const Common::MutexLock lock(&this->mutex);
        this->current = attempt;
    }
    if (this->wasCancelled(attempt)) {
        BackendResult result;
        result.answer = Common::notRun(Reason::Cancelled, "cancelled before the start");
        return result;
    }
    BackendResult result = this->exchange(attempt, request, remaining);
    result.serviceTime = Common::monotonicNow() - start;
    if (result.verdict == ServerVerdict::Failed && result.serviceTime >= remaining) {
        result.verdict = ServerVerdict::TimedOut;
    }
    {
        const Common::MutexLock lock(&this->mutex);
        this->current.clear();
    }
    if (result.answer.outcome == Outcome::OutcomeUnknown) {
        this->requestCancellation(attempt);
    }
    return result;
}

void BackendConnection::cancel(const std::string &attempt)
{
    const Common::MutexLock lock(&this->mutex);
    this->cancelled = attempt;
    if (this->current == attempt && this->socket >= 0) {
        ::shutdown(this->socket, SHUT_RDWR);
    }
}

void BackendConnection::replaceSocket(int descriptor)
{
    const Common::MutexLock lock(&this->mutex);
    if (this->socket >= 0) {
        ::close(this->socket);
    }
    this->socket = descriptor < 0 ? -1 : ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    ++this->socketsUsed;
}

BackendResult BackendConnection::exchange(const std::string &attempt, const Request &request,
                                          absl::Duration remaining)
{
    this->client.set_read_timeout(absl::ToChronoMicroseconds(remaining + answerGrace));
    this->client.set_write_timeout(absl::ToChronoMicroseconds(remaining + answerGrace));
    httplib::Request out = makeRequest(attempt, request, remaining);
    std::string body;
    // Without these limits a server could send bytes until the memory of this VM is used up.
    out.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (body.size() + size > maxAnswerBytes
            || Common::monotonicNow() > request.deadline + answerGrace) {
            return false;
        }
        body.append(data, size);
        this->client.noteBodyReceived();
        return true;
    };
    this->client.setDeadline(request.deadline + answerGrace);
    httplib::Response response;
    auto error = httplib::Error::Success;
    const std::uint64_t socketsBefore = this->socketCount();
    if (!this->client.send(out, response, error)) {
        return failedResult(error, this->address, this->wasCancelled(attempt));
    }
    response.body = std::move(body);
    const bool firstOnSocket = this->socketCount() != socketsBefore;
    if (!hasVerifiableEnd(out, response)) {
        return unusableResult(this->address
                              + ": the answer has neither a length nor chunked encoding");
    }
    // A connection that got out of step delivers the answer to another request.
    const Attribution attribution = attributionOf(response, attempt);
    if (attribution == Attribution::Other) {
        return unusableResult(this->address + ": the answer belongs to another attempt");
    }
    // A refusal of an earlier attempt that comes once more would say "not run" of one that runs.
    if (isShed(response) && attribution == Attribution::Missing && !firstOnSocket) {
        return unusableResult(this->address + ": the refusal may belong to an earlier attempt");
    }
    return answeredResult(response);
}

void BackendConnection::requestCancellation(const std::string &attempt)
{
    // Frees the slot at the backend server early. Its failure is harmless, because the backend
    // server ends the request at its deadline.
    this->client.stop();
    this->client.set_read_timeout(cancelTimeout);
    this->client.setDeadline(Common::monotonicNow() + absl::FromChrono(cancelTimeout));
    this->client.Post("/_control/cancel?attempt=" + attempt);
}

std::uint64_t BackendConnection::socketCount() const
{
    const Common::MutexLock lock(&this->mutex);
    return this->socketsUsed;
}

bool BackendConnection::wasCancelled(const std::string &attempt) const
{
    const Common::MutexLock lock(&this->mutex);
    return this->cancelled == attempt;
}

} // namespace Currantfall::Daemon
