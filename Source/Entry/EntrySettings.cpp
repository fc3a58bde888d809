#include "EntrySettings.h"

#include <fstream>
#include <functional>
#include <optional>
#include <sstream>

#include "currantfall/Common/Json.h"

#include "VmRow.h"

namespace Currantfall::Entry {

namespace {

using Common::ErrorCode;
using nlohmann::json;

constexpr int defaultMetricsPort = 9464;
constexpr std::size_t bytesPerMebibyte = std::size_t { 1024 } * 1024;

/// Reads fields of a JSON document and remembers the first error.
class FieldReader
{
public:
    explicit FieldReader(const json &document) : document(document) { }

    std::string text(const char *pointer)
    {
        const json *found = this->find(pointer);
        if (found == nullptr || !found->is_string() || found->get<std::string>().empty()) {
            this->fail(pointer, "a text that is not empty");
            return {};
        }
        return found->get<std::string>();
    }

    double number(const char *pointer, double minimum, double maximum)
    {
        const json *found = this->find(pointer);
        if (found == nullptr || !found->is_number() || found->get<double>() < minimum
            || found->get<double>() > maximum) {
            std::ostringstream expected;
            expected << "a number from " << minimum << " to " << maximum;
            this->fail(pointer, expected.str());
            return minimum;
        }
        return found->get<double>();
    }

    Platform::HostPort endpoint(const char *pointer)
    {
        const auto parsed = Platform::HostPort::parse(this->text(pointer));
        if (!parsed) {
            this->fail(pointer, "IP:PORT");
            return {};
        }
        return *parsed;
    }

    const json *find(const char *pointer) const
    {
        const json::json_pointer path(pointer);
        return this->document.contains(path) ? &this->document.at(path) : nullptr;
    }

    void fail(const std::string &pointer, const std::string &expected)
    {
        if (!this->error) {
            this->error = Common::Error(make_error_code(ErrorCode::InvalidInput), "read settings",
                                        {}, pointer + ": expected " + expected);
        }
    }

    std::optional<Common::Error> error;

private:
    const json &document;
};

} // namespace

Common::Result<EntrySettings> EntrySettings::parse(const std::string &text)
{
    const json document = Common::parseJson(text);
    if (!document.is_object()) {
        return Common::failure(ErrorCode::InvalidInput, "read settings", {}, "not a JSON object");
    }
    FieldReader reader(document);
    EntrySettings settings;
    settings.vm = Common::VmName(reader.text("/vm"));
    settings.zone = Common::ZoneName(reader.text("/zone"));
    settings.region = Common::RegionName(reader.text("/region"));
    settings.address = reader.text("/address");
    settings.callers = reader.endpoint("/listeners/callers");
    settings.readiness = reader.endpoint("/listeners/readiness");
    settings.directory = reader.endpoint("/listeners/directory");
    settings.peers = reader.endpoint("/listeners/peers");
    settings.metrics = { settings.address, defaultMetricsPort };
    if (reader.find("/listeners/metrics") != nullptr) {
        settings.metrics = reader.endpoint("/listeners/metrics");
    }
    settings.store = reader.endpoint("/store/address");
    settings.memoryBytes
            = static_cast<std::size_t>(reader.number("/memory_mb", 16, 1e6) * bytesPerMebibyte);
    settings.maxDescriptors = static_cast<std::size_t>(reader.number("/max_descriptors", 256, 1e7));
    settings.processorShare
            = reader.number("/processor_share", minProcessorShare, maxProcessorShare);
    settings.shutdownGrace = absl::Seconds(reader.number("/shutdown_grace_s", 0.5, 600));
    if (const json *first = reader.find("/first_start"); first != nullptr) {
        if (!first->is_boolean()) {
            reader.fail("/first_start", "true or false");
        } else {
            settings.firstStart = first->get<bool>();
        }
    }
    settings.lookupTtlMax = absl::Seconds(reader.number("/lookup_ttl_max_s", 0.1, 600));
    // Without a known bound, no request is sent to a server that leaves.
    if (reader.find("/server_drain_ms") != nullptr) {
        settings.serverDrainTime = absl::Milliseconds(reader.number("/server_drain_ms", 0, 3.6e6));
    }
    settings.retries.ratio = reader.number("/retries/ratio", 0, 10);
    settings.retries.extra = reader.number("/retries/extra", 0, 1e6);
    settings.retries.window = absl::Seconds(reader.number("/retries/window_s", 0.1, 3600));
    settings.cold.overage = reader.number("/cold/overage", 0, 100);
    settings.cold.extra = reader.number("/cold/extra", 0, 1e6);
    if (reader.find("/quota") != nullptr) {
        settings.quotaTolerance.window = absl::Seconds(reader.number("/quota/window_s", 0.1, 3600));
        settings.quotaTolerance.overage = reader.number("/quota/overage", 0, 10);
        settings.quotaTolerance.extra = reader.number("/quota/extra", 0, 1e6);
    }
    const json *zones = reader.find("/zones");
    if (zones == nullptr || !zones->is_object()) {
        reader.fail("/zones", "an object of zone names and their regions");
    } else {
        for (const auto &[zone, region] : zones->items()) {
            if (!region.is_string()) {
                reader.fail("/zones/" + zone, "the name of a region");
                continue;
            }
            settings.zones.emplace(Common::ZoneName(zone),
                                   Common::RegionName(region.get<std::string>()));
        }
    }
    const json *seeds = reader.find("/seeds");
    if (seeds != nullptr && seeds->is_array()) {
        for (const json &seed : *seeds) {
            const auto parsed = Platform::HostPort::parse(seed.is_string() ? seed.get<std::string>()
                                                                           : std::string());
            if (!parsed) {
                reader.fail("/seeds", "a list of IP:PORT");
                continue;
            }
            settings.seeds.push_back(*parsed);
        }
    }
    if (reader.error) {
        return tl::unexpected(*reader.error);
    }
    return settings;
}

Common::Result<EntrySettings> EntrySettings::readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Common::failure(ErrorCode::NotFound, "open settings", path, "cannot open the file");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return parse(content.str());
}

} // namespace Currantfall::Entry
