#include "StoreWorker.h"

#include <exception>
#include <utility>

#include <absl/time/time.h>

#include "HttpStream/BoundedClient.h"
#include "platform/StoreCalls.h"

namespace Currantfall::Entry {

namespace {

using Common::ErrorCode;

// A reachable store answers a call within a few milliseconds, and within 0.4 s when it is slow.
constexpr absl::Duration connectTimeout = absl::Milliseconds(700);
constexpr absl::Duration responseTimeout = absl::Milliseconds(900);
// Longest time of one answer, however it arrives. The largest rows take over a second on the
// smallest links.
constexpr absl::Duration maxAnswerTime = absl::Seconds(10);
// A page has a megabyte, or one row that is larger.
constexpr std::size_t maxAnswerBytes = std::size_t { 16 } * 1024 * 1024;
// A read of several pages is started again this often if the store's era changes meanwhile.
constexpr int maxFullReads = 3;

/// A connection to the store that executes calls.
class StoreConnection
{
public:
    explicit StoreConnection(const Platform::HostPort &store)
        : client(store.host, store.port), peer(store.toString())
    {
        this->client.set_keep_alive(true);
        this->client.set_tcp_nodelay(true);
        this->client.set_connection_timeout(absl::ToChronoMicroseconds(connectTimeout));
        this->client.set_write_timeout(absl::ToChronoMicroseconds(responseTimeout));
    }

    StoreResult operator()(const ReadTable &call)
    {
        for (int attempt = 0; attempt < maxFullReads; ++attempt) {
            auto update = this->readAllPages(call);
            if (!update || *update) {
                return update ? StoreResult(std::move(**update)) : tl::unexpected(update.error());
            }
        }
        return Common::failure(ErrorCode::Unavailable, "read store", this->peer,
                               "the era changed during each read");
    }

    StoreResult operator()(const ReadChanges &call)
    {
        Steering::TableUpdate update;
        update.from = call.after;
        update.confirmedAt = Common::monotonicNow();
        const auto page = this->read(
                Adapter::changesTarget(call.table, call.after.version(), call.longPollTimeout),
                call.after.era(), call.longPollTimeout + responseTimeout);
        if (!page) {
            return tl::unexpected(page.error());
        }
        if (page->position.era() != call.after.era()) {
            return Common::failure(ErrorCode::Expired, "read store", this->peer,
                                   "the store is in another era");
        }
        if (call.longPollTimeout > absl::ZeroDuration() && page->rows.empty()) {
            // The store waited for a change until the long poll timed out, so that the table had no
            // changes until shortly before now.
            update.confirmedAt = Common::monotonicNow() - absl::Milliseconds(100);
        }
        // If the store has more changes, this update ends at the position of its last row.
        if (page->hasMore && page->rows.empty()) {
            return Common::failure(ErrorCode::Expired, "read store", this->peer,
                                   "a page of changes without a readable key");
        }
        update.to = page->hasMore ? page->rows.back().position : page->position;
        update.rows = page->rows;
        update.unreadableRows = page->unreadable;
        return update;
    }

    StoreResult operator()(const WriteRow &call)
    {
        return this->write(Adapter::putRowBody(call.table, call.key, call.value));
    }

    StoreResult operator()(const DeleteRow &call)
    {
        return this->write(Adapter::removeRowBody(call.table, call.key));
    }

private:
    /// Returns nothing if the era changed between two pages.
    Common::Result<std::optional<Steering::TableUpdate>> readAllPages(const ReadTable &call)
    {
        Steering::TableUpdate update;
        update.complete = true;
        update.confirmedAt = Common::monotonicNow();
        std::string firstKey;
        bool firstPage = true;
        while (true) {
            const auto page = this->read(Adapter::rowsTarget(call.table, firstKey), call.era,
                                         responseTimeout);
            if (!page) {
                return tl::unexpected(page.error());
            }
            if (!firstPage && page->position.era() != update.to.era()) {
                return std::optional<Steering::TableUpdate>();
            }
            // Pages are read sequentially, so that changes after the first page may be missing. The
            // update therefore has the position of the first page.
            update.to = firstPage ? page->position : update.to;
            firstPage = false;
            update.rows.insert(update.rows.end(), page->rows.begin(), page->rows.end());
            update.unreadableRows += page->unreadable;
            if (!page->hasMore) {
                return std::optional(std::move(update));
            }
            if (page->rows.empty()) {
                // Without a key to continue from, the other rows would count as removed.
                return Common::failure(ErrorCode::InvalidInput, "read store", this->peer,
                                       "a page without a readable key");
            }
            // The smallest key after the last one.
            firstKey = page->rows.back().key + '\0';
        }
    }

    /// Reads one page. An answer that states no era is taken for one of `assumedEra`.
    Common::Result<Adapter::RowPage> read(const std::string &target, Steering::StoreEra assumedEra,
                                          absl::Duration timeout)
    {
        this->client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
        const Common::Instant start = Common::monotonicNow();
        this->client.setDeadline(start + timeout + maxAnswerTime);
        const auto answer = this->client.getBounded(target, maxAnswerBytes);
        if (const auto checked = this->checkResponse(answer, "read store"); !checked) {
            return tl::unexpected(checked.error());
        }
        const auto era = Adapter::readEra(answer->get_header_value(Adapter::eraHeader));
        return Adapter::readRows(answer->body, era.value_or(assumedEra), start);
    }

    StoreResult write(const std::string &body)
    {
        this->client.set_read_timeout(absl::ToChronoMicroseconds(responseTimeout));
        this->client.setDeadline(Common::monotonicNow() + maxAnswerTime);
        const auto answer = this->client.Post(Adapter::writeTarget, body, Adapter::jsonContentType);
        if (const auto checked = this->checkResponse(answer, "write store"); !checked) {
            return tl::unexpected(checked.error());
        }
        return Steering::TableUpdate();
    }

    Common::Result<void> checkResponse(const httplib::Result &answer, const char *operation)
    {
        if (!answer) {
            return Common::failure(ErrorCode::Unavailable, operation, this->peer,
                                   httplib::to_string(answer.error()));
        }
        switch (Adapter::storeAnswer(answer->status)) {
        case Adapter::StoreAnswer::Done:
            return {};
        case Adapter::StoreAnswer::HistoryGone:
            return Common::failure(ErrorCode::Expired, operation, this->peer,
                                   "history since the requested version is no longer available");
        case Adapter::StoreAnswer::ConditionFailed:
            return Common::failure(ErrorCode::Conflict, operation, this->peer,
                                   "transaction condition failed");
        case Adapter::StoreAnswer::Refused:
            break;
        }
        return Common::failure(ErrorCode::Refused, operation, this->peer,
                               "HTTP status " + std::to_string(answer->status));
    }

    HttpStream::BoundedClient client;
    std::string peer;
};

/// An unexpected error fails the call, not the process.
StoreResult execute(StoreConnection &connection, const StoreCall &call)
{
    try {
        return std::visit(connection, call);
    } catch (const std::exception &error) {
        return Common::failure(ErrorCode::InvalidInput, "call store", {}, error.what());
    }
}

} // namespace

StoreWorker::StoreWorker(Platform::HostPort store, std::size_t maxQueuedCalls)
    : store(std::move(store)), jobs(maxQueuedCalls), thread([this] { this->run(); })
{ }

StoreWorker::~StoreWorker()
{
    this->jobs.close();
    this->thread.join();
}

bool StoreWorker::submit(StoreCall call, Callback callback)
{
    return this->jobs.tryPush({ std::move(call), std::move(callback) });
}

void StoreWorker::run()
{
    StoreConnection connection(this->store);
    while (true) {
        auto job = this->jobs.popWithin(absl::Seconds(60));
        if (job) {
            job->callback(execute(connection, job->call));
        } else if (this->jobs.closed()) {
            return;
        }
    }
}

} // namespace Currantfall::Entry
