#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "currantfall/Platform/EnvironmentRow.h"

#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// A document that has been read and checked, or the reason why it can't be used.
struct LoadedDocument
{
    std::string hash;
    std::string content;
    std::shared_ptr<const Configuration::Environment> environment; ///< Null if unusable.
    std::string fault;
};

/// Adopts revisions, never a lower one; tells peers of new ones at once and fetches documents from
/// peers first, then from the object store.
class ConfigurationFlow
{
public:
    struct Hooks
    {
        /// Fetches a document from the object store; ends in onDocument().
        std::function<void(const std::string &hash)> fetch;
        /// Reads and checks a document on another thread; ends in onDocument().
        std::function<void(std::string content)> load;
        std::function<void()> onAdopted;
    };

    ConfigurationFlow(SteeringContext &context, Hooks hooks);

    /// `source` is the peer that sent the row; empty for the platform.
    void onRow(Platform::EnvironmentRow row, const Common::VmName &source);
    void onDocument(LoadedDocument document);
    void onDocumentRequest(const Common::VmName &from, const std::string &hash);
    void onDocumentReply(const Common::VmName &from, const std::string &hash, bool found,
                         std::string content);
    void onLinkUp(const Common::VmName &peer);
    /// A heartbeat of the peer names a revision.
    void onPeerRevision(const Common::VmName &peer, Common::Revision revision);

private:
    /// Asks for the pending document. A peer repeats its notice every second, so that a request
    /// that could not be sent because the bulk link was not up yet is made again.
    bool askPeer(const Common::VmName &source);
    void obtainDocument(const Common::VmName &source);
    void fetchFromStore();
    void adoptIfReady();
    void notify(const Common::VmName &peer);
    void notifyAll();

    SteeringContext &context;
    Hooks hooks;
    std::optional<Platform::EnvironmentRow> inForce;
    std::optional<Platform::EnvironmentRow> pending;
    std::optional<LoadedDocument> document; // Of the row in force, or newer.
    std::string contentArrived;             // Hash of the last document that a peer delivered.
    Common::Revision fetching = 0; // Revision whose document is being fetched from the store.
    std::map<Common::VmName, Common::Instant> lastNotice;
};

} // namespace Currantfall::Daemon
