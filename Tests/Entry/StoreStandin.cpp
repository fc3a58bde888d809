#include "StoreStandin.h"

#include <chrono>
#include <stdexcept>
#include <thread>

#include <absl/strings/escaping.h>

namespace Currantfall::Tests {

namespace {

using BackendStandin::ConnectionServer;
using nlohmann::json;

const std::string eraHeader = "Store-Era";
constexpr int statusGone = 410;
constexpr int statusConditionFailed = 412;
constexpr int statusUnavailable = 503;
constexpr std::chrono::milliseconds slowAnswer { 250 };

std::string base64(const std::string &text)
{
    std::string encoded;
    absl::Base64Escape(text, &encoded);
    return encoded;
}

std::string parameter(const httplib::Request &request, const char *name)
{
    return request.has_param(name) ? request.get_param_value(name) : std::string();
}

std::uint64_t number(const httplib::Request &request, const char *name)
{
    const std::string text = parameter(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

StoreStandin::StoreStandin(const std::string &address, int port)
    : server([] { return absl::ZeroDuration(); })
{
    this->addCall("/rows-get", [this](const auto &request, auto &response) {
        this->answerRows(request, response);
    });
    this->addCall("/rows-feed", [this](const auto &request, auto &response) {
        this->answerChanges(request, response);
    });
    this->addCall("/rows-tx", [this](const auto &request, auto &response) {
        this->answerTransaction(request, response);
    });
    if (const auto started = this->server.start(address, port); !started) {
        throw std::runtime_error(started.error().toString());
    }
}

StoreStandin::~StoreStandin()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->server.finish();
}

void StoreStandin::addCall(
        const std::string &path,
        const std::function<void(const httplib::Request &, httplib::Response &)> &answer)
{
    const auto handle
            = [this, answer](const httplib::Request &request, httplib::Response &response) {
                  if (this->admit(response)) {
                      answer(request, response);
                  }
                  const std::lock_guard lock(this->mutex);
                  if (!response.has_header(eraHeader)) {
                      response.set_header(eraHeader, std::to_string(this->era));
                  }
                  if (this->fault == StoreFault::LosesAnswers) {
                      ConnectionServer::closeWithoutAnswer();
                  }
              };
    this->server.Get(path, handle);
    this->server.Post(path, handle);
}

bool StoreStandin::admit(httplib::Response &response)
{
    std::unique_lock lock(this->mutex);
    if (this->fault == StoreFault::Refuses) {
        response.status = statusUnavailable;
        return false;
    }
    if (this->fault == StoreFault::Silent) {
        this->changed.wait(lock,
                           [this] { return this->stopping || this->fault != StoreFault::Silent; });
        // The caller has given up long ago.
        ConnectionServer::closeWithoutAnswer();
        return false;
    }
    const bool slow = this->fault == StoreFault::Slow;
    lock.unlock();
    if (slow) {
        std::this_thread::sleep_for(slowAnswer);
    }
    return true;
}

void StoreStandin::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->write(table, key, value);
}

void StoreStandin::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->write(table, key, std::nullopt);
}

void StoreStandin::write(const std::string &table, const std::string &key,
                         const std::optional<std::string> &value)
{
    const Row row { value.value_or(""), ++this->version, !value };
    this->rows[{ table, key }] = row;
    this->history[this->version] = { { table, key }, row };
    this->changed.notify_all();
}

void StoreStandin::setFault(StoreFault wanted)
{
    const std::lock_guard lock(this->mutex);
    this->fault = wanted;
    this->changed.notify_all();
}

void StoreStandin::forgetHistory()
{
    const std::lock_guard lock(this->mutex);
    this->historyStart = this->version;
}

void StoreStandin::saveCopy()
{
    const std::lock_guard lock(this->mutex);
    this->copiedRows = this->rows;
    this->copiedVersion = this->version;
}

std::vector<StoreStandin::LostWrite> StoreStandin::restoreCopy()
{
    const std::lock_guard lock(this->mutex);
    std::vector<LostWrite> lost;
    for (const auto &[key, row] : this->rows) {
        const bool fromOutside = key.first == "op" || key.first == "servers";
        if (fromOutside && row.version > this->copiedVersion) {
            lost.push_back({ key.first, key.second,
                             row.deleted ? std::nullopt : std::optional(row.value) });
        }
    }
    this->rows = this->copiedRows;
    this->version = this->copiedVersion;
    this->history.erase(this->history.upper_bound(this->version), this->history.end());
    ++this->era;
    this->changed.notify_all();
    return lost;
}

void StoreStandin::writeAgain(const std::vector<LostWrite> &lost)
{
    const std::lock_guard lock(this->mutex);
    for (const LostWrite &write : lost) {
        const auto row = this->rows.find({ write.table, write.key });
        if (row == this->rows.end() || row->second.version <= this->copiedVersion) {
            this->write(write.table, write.key, write.value);
        }
    }
}

std::optional<std::string> StoreStandin::value(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    const auto row = this->rows.find({ table, key });
    const bool exists = row != this->rows.end() && !row->second.deleted;
    return exists ? std::optional(row->second.value) : std::nullopt;
}

std::uint64_t StoreStandin::currentVersion()
{
    const std::lock_guard lock(this->mutex);
    return this->version;
}

std::size_t StoreStandin::transactions()
{
    const std::lock_guard lock(this->mutex);
    return this->transactionCount;
}

void StoreStandin::answer(httplib::Response &response, const json &body)
{
    response.set_header(eraHeader, std::to_string(this->era));
    response.set_content(body.dump(), "application/json");
}

json StoreStandin::describe(const Key &key, const Row &row) const
{
    json entry { { "table", key.first }, { "part", "" }, { "key", key.second } };
    entry["ver"] = row.version;
    if (row.deleted) {
        entry["deleted"] = true;
    } else {
        entry["value"] = base64(row.value);
    }
    return entry;
}

void StoreStandin::answerRows(const httplib::Request &request, httplib::Response &response)
{
    const std::string table = parameter(request, "table");
    const std::string from = parameter(request, "from");
    const std::uint64_t limit = number(request, "limit");
    json found = json::array();
    bool more = false;
    const std::lock_guard lock(this->mutex);
    for (const auto &[key, row] : this->rows) {
        if (key.first != table || key.second < from || row.deleted) {
            continue;
        }
        if (limit > 0 && found.size() == limit) {
            more = true;
            break;
        }
        found.push_back(this->describe(key, row));
    }
    this->answer(
            response,
            { { "rows", found }, { "has_more", more }, { "ver", this->version }, { "now_ms", 0 } });
}

void StoreStandin::answerChanges(const httplib::Request &request, httplib::Response &response)
{
    const std::string table = parameter(request, "table");
    const std::uint64_t after = number(request, "after");
    const std::chrono::milliseconds wait(number(request, "wait_ms"));
    json found = json::array();
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait, [&] {
        found.clear();
        for (auto change = this->history.upper_bound(after); change != this->history.end();
             ++change) {
            const auto &[key, row] = change->second;
            if (key.first == table) {
                found.push_back(this->describe(key, row));
            }
        }
        return this->stopping || !found.empty() || after < this->historyStart
               || after > this->version;
    });
    // A version that this era has not reached yet is one that the store has lost.
    if (after < this->historyStart || after > this->version) {
        response.set_header(eraHeader, std::to_string(this->era));
        response.status = statusGone;
        return;
    }
    this->answer(response, { { "rows", found }, { "ver", this->version }, { "now_ms", 0 } });
}

void StoreStandin::answerTransaction(const httplib::Request &request, httplib::Response &response)
{
    const json body = json::parse(request.body);
    const auto keyOf = [](const json &entry) {
        return Key { entry.at("table").get<std::string>(), entry.at("key").get<std::string>() };
    };
    const std::lock_guard lock(this->mutex);
    ++this->transactionCount;
    for (const json &entry : body.at("expected")) {
        const auto row = this->rows.find(keyOf(entry));
        const bool exists = row != this->rows.end() && !row->second.deleted;
        if (entry.at("ver") != (exists ? row->second.version : 0)) {
            response.status = statusConditionFailed;
            this->answer(response, { { "rows", json::array() }, { "ver", this->version } });
            return;
        }
    }
    for (const json &entry : body.at("puts")) {
        std::string value;
        absl::Base64Unescape(entry.at("value").get<std::string>(), &value);
        this->write(entry.at("table"), entry.at("key"), value);
    }
    for (const json &entry : body.at("remove")) {
        this->write(entry.at("table"), entry.at("key"), std::nullopt);
    }
    this->answer(response, { { "ver", this->version }, { "now_ms", 0 } });
}

} // namespace Currantfall::Tests
