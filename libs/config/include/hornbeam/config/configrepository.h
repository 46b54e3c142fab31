#pragma once

#include <hornbeam/config/confighead.h>
#include <hornbeam/config/delta.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/store/keyvaluestore.h>

#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** What a watch of ConfigRepository::watchPrefix() reported. */
struct ConfigUpdate
{
    std::optional<ConfigHead> head; ///< The newest head among the changes.
    std::vector<Delta> deltas; ///< Deltas that lead to new versions, in the order of the versions.
};

/** A version to be accepted in place of @c previous. */
struct ConfigProposal
{
    ConfigHead previous; ///< The head as read; the compare-and-swap fails when it has changed since.
    SnapshotPtr base; ///< What the difference is computed from.
    SnapshotPtr target;
    std::string planId;
};

/**
 * The configuration's layout in the store:
 *
 *   /hornbeamring/config/version/head             ConfigHead
 *   /hornbeamring/config/version/delta/<version>  encoded Delta that leads to the version; 20 digits
 *   /hornbeamring/config/piece/<digest>           piece of a content, under the digest of its encoding
 *
 * A watch of version/ receives the head and the difference in one event, without the pieces. Pieces are written before
 * the head that refers to them. A difference too large for one value is left out; readers then load the pieces.
 *
 * All functions are asynchronous and belong to the control thread. The store outlives the repository and its calls.
 */
class ConfigRepository
{
public:
    template <typename T>
    using Callback = KeyValueStore::Callback<T>;

    /** Versions whose deltas are kept. */
    static constexpr ConfigVersion deltaHistory = 64;

    explicit ConfigRepository(KeyValueStore &store);

    static std::string headKey();
    static std::string deltaKey(ConfigVersion version);
    static std::string pieceKey(const Digest &digest);

    /** Prefix that a watcher watches. */
    static std::string watchPrefix();

    /** Interprets the changes that a watch of watchPrefix() reported. Deletions are left out. */
    static Result<ConfigUpdate> parseChanges(const std::vector<KeyValue> &changes);

    /** Reads the head; ConfigHead::none() when the store has none. */
    void readHead(Callback<ConfigHead> callback);

    /** Reads the difference that leads to @p version. NotFound when it is not kept. */
    void readDelta(ConfigVersion version, Callback<Delta> callback);

    /**
     * Loads the version that @p head describes. Pieces that @p known shares with it are not transferred again. NotFound
     * when a piece is gone, because a newer head has replaced this one: read the head again.
     */
    void loadSnapshot(const ConfigHead &head, const SnapshotPtr &known, Callback<SnapshotPtr> callback);

    /** Reads the head and loads its version, again from the start when the head is replaced meanwhile. */
    void loadNewest(const SnapshotPtr &known, Callback<SnapshotPtr> callback);

    /** Writes the pieces of the proposal that the previous head lacks. Has no effect on the accepted version. */
    void writePieces(const ConfigProposal &proposal, Callback<bool> callback);

    /**
     * Returns the transaction that accepts the proposal, whose pieces have been written. It fails when the head has
     * changed; its first failure operation reads the head. Callers may add further comparisons and operations.
     */
    static Transaction acceptance(const ConfigProposal &proposal);

    /**
     * Deletes the pieces and deltas that @p head does not need, as long as it is the head. A piece that a confirm in
     * progress has just written is newer than the head and stays. Failures are left to the next collection.
     */
    void collectGarbage(const ConfigHead &head);

private:
    KeyValueStore &m_store;
};

} // namespace Hornbeam
