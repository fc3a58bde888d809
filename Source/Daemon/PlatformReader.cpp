#include "PlatformReader.h"

#include <utility>

#include "currantfall/Configuration/DocumentReader.h"

namespace Currantfall::Daemon {

namespace {

constexpr absl::Duration oftenInterval = absl::Seconds(1);
constexpr absl::Duration seldomInterval = absl::Seconds(30);
// Up to this part of an interval is added, so that the reads of many VMs spread out.
constexpr double jitterPart = 0.25;
constexpr std::size_t fetchRingSize = 16;
constexpr std::uint64_t jitterSteps = 1000;

LoadedDocument loadDocument(std::string content)
{
    LoadedDocument loaded;
    loaded.hash = Configuration::contentHash(content);
    auto parsed = Configuration::parseEnvironment(content);
    if (parsed) {
        loaded.environment = std::make_shared<const Configuration::Environment>(std::move(*parsed));
    } else {
        loaded.fault = parsed.error().empty() ? "unreadable" : parsed.error().front().toString();
    }
    loaded.content = std::move(content);
    return loaded;
}

} // namespace

PlatformReader::PlatformReader(Platform::PlatformClient client, std::string environment,
                               std::uint64_t seed, Hooks hooks)
    : client(std::move(client)), environment(std::move(environment)), hooks(std::move(hooks)),
      log(Common::Log::forComponent("platform")), fetches(fetchRingSize), jitter(seed % jitterSteps)
{
    this->thread = std::thread([this] { this->run(); });
}

PlatformReader::~PlatformReader()
{
    this->stopping = true;
    this->fetches.close();
    this->thread.join();
}

void PlatformReader::fetch(const std::string &hash)
{
    std::string copy = hash;
    if (!this->fetches.tryPush(std::move(copy))) {
        this->log.warn("too many documents are being fetched");
    }
}

std::int64_t PlatformReader::lastAnswerAgeMs() const
{
    const std::int64_t last = this->lastAnswerMs;
    if (last < 0) {
        return -1;
    }
    return absl::ToInt64Milliseconds(Common::monotonicNow().sinceOrigin()) - last;
}

void PlatformReader::run()
{
    Common::Instant due = Common::monotonicNow();
    while (!this->stopping) {
        const Common::Instant now = Common::monotonicNow();
        if (now >= due) {
            this->readRow();
            this->readVms();
            due = Common::monotonicNow() + this->interval();
        }
        // The wait is short enough to notice soon that this VM has become a frequent reader.
        const absl::Duration wait = std::min(due - Common::monotonicNow(), oftenInterval);
        if (const auto hash = this->fetches.popWithin(std::max(wait, absl::ZeroDuration()))) {
            this->fetchDocument(*hash);
        }
        if (this->readsOften && due > Common::monotonicNow() + 2 * oftenInterval) {
            due = Common::monotonicNow();
        }
    }
}

void PlatformReader::readRow()
{
    const auto row = this->client.readRow(Platform::environmentsTable, this->environment);
    if (!row) {
        if (row.error().code() == make_error_code(Common::ErrorCode::NotFound)) {
            this->noteAnswer();
        } else {
            this->noteFailure(row.error());
        }
        return;
    }
    this->noteAnswer();
    auto parsed = Platform::EnvironmentRow::fromJson(row->value);
    if (!parsed) {
        this->log.error(parsed.error().toString(), this->client.address());
        return;
    }
    this->haveRow = true;
    this->hooks.onRow(std::move(*parsed));
}

void PlatformReader::readVms()
{
    auto vms = this->client.listVms();
    if (!vms) {
        this->noteFailure(vms.error());
        return;
    }
    this->noteAnswer();
    this->hooks.onVms(std::move(*vms));
}

void PlatformReader::fetchDocument(const std::string &hash)
{
    auto content = this->client.getObject(hash);
    if (!content) {
        this->noteFailure(content.error());
        return;
    }
    this->noteAnswer();
    LoadedDocument loaded = loadDocument(std::move(*content));
    if (loaded.hash != hash) {
        this->log.error("the object store returned other content for " + hash,
                        this->client.address());
        return;
    }
    this->hooks.onDocument(std::move(loaded));
}

void PlatformReader::noteAnswer()
{
    if (this->failing) {
        this->log.info("the platform answers again", this->client.address());
    }
    this->failing = false;
    this->lastAnswerMs = absl::ToInt64Milliseconds(Common::monotonicNow().sinceOrigin());
}

void PlatformReader::noteFailure(const Common::Error &error)
{
    if (!this->failing) {
        this->log.warn(error.toString(), this->client.address());
    }
    this->failing = true;
}

absl::Duration PlatformReader::interval() const
{
    const bool often = this->readsOften || !this->haveRow;
    const absl::Duration base = often ? oftenInterval : seldomInterval;
    const double part = jitterPart * static_cast<double>(this->jitter) / jitterSteps;
    return base * (1.0 + part);
}

DocumentLoader::DocumentLoader(std::function<void(LoadedDocument)> onDocument)
    : onDocument(std::move(onDocument)), contents(fetchRingSize)
{
    this->thread = std::thread([this] { this->run(); });
}

DocumentLoader::~DocumentLoader()
{
    this->contents.close();
    this->thread.join();
}

void DocumentLoader::load(std::string content)
{
    // A dropped document is fetched again by the caller's timer.
    static_cast<void>(this->contents.tryPush(std::move(content)));
}

void DocumentLoader::run()
{
    while (auto content = this->contents.popWithin(absl::InfiniteDuration())) {
        this->onDocument(loadDocument(std::move(*content)));
    }
}

} // namespace Currantfall::Daemon
