#include "StoreWorker.h"

#include <utility>

#include <absl/time/time.h>
#include <httplib.h>

#include "platform/StoreCalls.h"

namespace Currantfall::Entry {

namespace {

using Common::ErrorCode;

// A store that is in touch answers a call in a few milliseconds, and within 0.4 s when it is slow.
constexpr absl::Duration connectTimeout = absl::Milliseconds(700);
constexpr absl::Duration answerTimeout = absl::Milliseconds(900);

/// The calls of one connection to the store.
class StoreConnection
{
public:
    explicit StoreConnection(const Platform::HostPort &store)
        : client(store.host, store.port), peer(store.toString())
    {
        this->client.set_keep_alive(true);
        this->client.set_tcp_nodelay(true);
        this->client.set_connection_timeout(absl::ToChronoMicroseconds(connectTimeout));
        this->client.set_write_timeout(absl::ToChronoMicroseconds(answerTimeout));
    }

    StoreResult operator()(const ReadTable &call)
    {
        Steering::TableUpdate update;
        update.complete = true;
        update.confirmedAt = Common::monotonicNow();
        std::string from;
        bool first = true;
        while (true) {
            const auto page = this->read(Adapter::rowsTarget(call.table, from), answerTimeout);
            if (!page) {
                return tl::unexpected(page.error());
            }
            // Pages are read one after the other; changes since the first one may be missing.
            update.to = first ? page->version : update.to;
            first = false;
            update.rows.insert(update.rows.end(), page->rows.begin(), page->rows.end());
            if (!page->hasMore || page->rows.empty()) {
                return update;
            }
            // The smallest key after the last one.
            from = page->rows.back().key + '\0';
        }
    }

    StoreResult operator()(const ReadChanges &call)
    {
        Steering::TableUpdate update;
        update.from = call.after;
        update.confirmedAt = Common::monotonicNow();
        const auto page = this->read(Adapter::changesTarget(call.table, call.after, call.wait),
                                     call.wait + answerTimeout);
        if (!page) {
            return tl::unexpected(page.error());
        }
        if (call.wait > absl::ZeroDuration() && page->rows.empty()) {
            // The store has watched the table until it gave up.
            update.confirmedAt = Common::monotonicNow() - absl::Milliseconds(100);
        }
        // An answer with more rows to come ends at its last row.
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
    Common::Result<Adapter::RowPage> read(const std::string &target, absl::Duration timeout)
    {
        this->client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
        const Common::Instant start = Common::monotonicNow();
        const auto answer = this->client.Get(target);
        if (const auto checked = this->check(answer, "read store"); !checked) {
            return tl::unexpected(checked.error());
        }
        return Adapter::readRows(answer->body, start);
    }

    StoreResult write(const std::string &body)
    {
        this->client.set_read_timeout(absl::ToChronoMicroseconds(answerTimeout));
        const auto answer = this->client.Post(Adapter::writeTarget, body, Adapter::jsonContentType);
        if (const auto checked = this->check(answer, "write store"); !checked) {
            return tl::unexpected(checked.error());
        }
        return Steering::TableUpdate();
    }

    Common::Result<void> check(const httplib::Result &answer, const char *step)
    {
        if (!answer) {
            return Common::failure(ErrorCode::Unavailable, step, this->peer,
                                   httplib::to_string(answer.error()));
        }
        switch (Adapter::storeAnswer(answer->status)) {
        case Adapter::StoreAnswer::Done:
            return {};
        case Adapter::StoreAnswer::HistoryGone:
            return Common::failure(ErrorCode::Expired, step, this->peer, "history is gone");
        case Adapter::StoreAnswer::ConditionFailed:
            return Common::failure(ErrorCode::Conflict, step, this->peer, "condition failed");
        case Adapter::StoreAnswer::Refused:
            break;
        }
        return Common::failure(ErrorCode::Refused, step, this->peer,
                               "status " + std::to_string(answer->status));
    }

    httplib::Client client;
    std::string peer;
};

} // namespace

StoreWorker::StoreWorker(Platform::HostPort store, std::size_t queuedCalls)
    : store(std::move(store)), jobs(queuedCalls), thread([this] { this->run(); })
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
