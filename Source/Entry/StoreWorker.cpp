#include "StoreWorker.h"

#include <utility>

#include <absl/time/time.h>
#include <httplib.h>

#include "platform/StoreCalls.h"

namespace Currantfall::Entry {

namespace {

using Common::ErrorCode;

// A reachable store answers a call within a few milliseconds, and within 0.4 s when it is slow.
constexpr absl::Duration connectTimeout = absl::Milliseconds(700);
constexpr absl::Duration responseTimeout = absl::Milliseconds(900);

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
        Steering::TableUpdate update;
        update.complete = true;
        update.confirmedAt = Common::monotonicNow();
        std::string firstKey;
        bool firstPage = true;
        while (true) {
            const auto page = this->read(Adapter::rowsTarget(call.table, firstKey), responseTimeout,
                                         update.era);
            if (!page) {
                return tl::unexpected(page.error());
            }
            // Pages are read sequentially, so that changes after the first page may be missing. The
            // update therefore has the version of the first page.
            update.to = firstPage ? page->version : update.to;
            firstPage = false;
            update.rows.insert(update.rows.end(), page->rows.begin(), page->rows.end());
            if (!page->hasMore || page->rows.empty()) {
                return update;
            }
            // The smallest key after the last one.
            firstKey = page->rows.back().key + '\0';
        }
    }

    StoreResult operator()(const ReadChanges &call)
    {
        Steering::TableUpdate update;
        update.from = call.after;
        update.confirmedAt = Common::monotonicNow();
        const auto page
                = this->read(Adapter::changesTarget(call.table, call.after, call.longPollTimeout),
                             call.longPollTimeout + responseTimeout, update.era);
        if (!page) {
            return tl::unexpected(page.error());
        }
        if (call.longPollTimeout > absl::ZeroDuration() && page->rows.empty()) {
            // The store waited for a change until the long poll timed out, so that the table had no
            // changes until shortly before now.
            update.confirmedAt = Common::monotonicNow() - absl::Milliseconds(100);
        }
        // If the store has more changes, this update ends at the version of its last row.
        update.to
                = page->hasMore && !page->rows.empty() ? page->rows.back().version : page->version;
        update.rows = page->rows;
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
    /// Reads one page, and the era of the answer into `era`.
    Common::Result<Adapter::RowPage> read(const std::string &target, absl::Duration timeout,
                                          std::optional<Steering::StoreEra> &era)
    {
        this->client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
        const Common::Instant start = Common::monotonicNow();
        const auto answer = this->client.Get(target);
        if (const auto checked = this->checkResponse(answer, "read store"); !checked) {
            return tl::unexpected(checked.error());
        }
        era = Adapter::readEra(answer->get_header_value(Adapter::eraHeader));
        return Adapter::readRows(answer->body, start);
    }

    StoreResult write(const std::string &body)
    {
        this->client.set_read_timeout(absl::ToChronoMicroseconds(responseTimeout));
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

    httplib::Client client;
    std::string peer;
};

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
            job->callback(std::visit(connection, job->call));
        } else if (this->jobs.closed()) {
            return;
        }
    }
}

} // namespace Currantfall::Entry
