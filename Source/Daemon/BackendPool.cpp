#include "BackendPool.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace Currantfall::Daemon {

struct BackendPool::Worker
{
    explicit Worker(const std::string &address) : connection(address) { }

    BackendConnection connection;
    Common::BoundedRing<BackendJob> jobs { 1 };
    bool idle = true; // Belongs to the pool's thread.
    std::atomic<bool> ended { false };
    std::thread thread;
};

BackendPool::BackendPool(CompletionHandler handler) : handler(std::move(handler)) { }

BackendPool::~BackendPool()
{
    this->setServers({});
    for (const std::shared_ptr<Worker> &worker : this->retired) {
        worker->thread.join();
    }
}

void BackendPool::setServers(const std::vector<Configuration::BackendServer> &wanted)
{
    this->reap();
    absl::flat_hash_set<Common::BackendServerName> kept;
    for (const Configuration::BackendServer &settings : wanted) {
        kept.insert(settings.name);
        const auto found = this->servers.find(settings.name);
        if (found != this->servers.end() && found->second.settings == settings) {
            continue;
        }
        if (found != this->servers.end()) {
            this->retire(std::move(found->second));
            this->servers.erase(found);
        }
        this->addServer(settings);
    }
    for (auto server = this->servers.begin(); server != this->servers.end();) {
        const auto next = std::next(server);
        if (!kept.contains(server->first)) {
            this->retire(std::move(server->second));
            this->servers.erase(server);
        }
        server = next;
    }
}

bool BackendPool::start(BackendJob job)
{
    const auto found = this->servers.find(job.server);
    if (found == this->servers.end()) {
        return false;
    }
    for (const std::shared_ptr<Worker> &worker : found->second.workers) {
        if (!worker->idle) {
            continue;
        }
        const std::string attempt = job.attempt;
        if (!worker->jobs.tryPush(std::move(job))) {
            return false;
        }
        worker->idle = false;
        this->busy.emplace(attempt, worker);
        return true;
    }
    return false;
}

void BackendPool::cancel(const std::string &attempt)
{
    const auto found = this->busy.find(attempt);
    if (found != this->busy.end()) {
        found->second->connection.cancel(attempt);
    }
}

void BackendPool::release(const std::string &attempt)
{
    const auto found = this->busy.find(attempt);
    if (found == this->busy.end()) {
        return;
    }
    found->second->idle = true;
    this->busy.erase(found);
}

void BackendPool::run(std::shared_ptr<Worker> worker, CompletionHandler handler)
{
    while (auto job = worker->jobs.popWithin(absl::InfiniteDuration())) {
        BackendCompletion completion;
        completion.attempt = job->attempt;
        completion.server = job->server;
        completion.result = worker->connection.execute(job->attempt, *job->request);
        handler(std::move(completion));
    }
    worker->ended = true;
}

void BackendPool::addServer(const Configuration::BackendServer &settings)
{
    Server server;
    server.settings = settings;
    for (std::size_t slot = 0; slot < settings.slots; ++slot) {
        auto worker = std::make_shared<Worker>(settings.address);
        worker->thread = std::thread(&BackendPool::run, worker, this->handler);
        server.workers.push_back(std::move(worker));
    }
    this->servers.emplace(settings.name, std::move(server));
}

void BackendPool::retire(Server server)
{
    for (const std::shared_ptr<Worker> &worker : server.workers) {
        worker->jobs.close();
        this->retired.push_back(worker);
    }
}

void BackendPool::reap()
{
    const auto ended = [](const std::shared_ptr<Worker> &worker) {
        if (!worker->ended) {
            return false;
        }
        worker->thread.join();
        return true;
    };
    this->retired.erase(std::remove_if(this->retired.begin(), this->retired.end(), ended),
                        this->retired.end());
}

} // namespace Currantfall::Daemon
