#pragma once

#include <hornbeam/config/confighead.h>
#include <hornbeam/config/delta.h>
#include <hornbeam/config/snapshot.h>
#include <hornbeam/store/keyvaluestore.h>

#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** The changes that a watch of ConfigRepository::watchPrefix() reported. */
struct ConfigUpdate
{
    std::optional<ConfigHead> head; ///< The newest head among the changes.
    std::vector<Delta> deltas; ///< Deltas to new versions, ordered by target version.
};

/** A version that is to replace the one described by @c previous. */
struct ConfigProposal
{
    ConfigHead previous; ///< The head as it was read; the compare-and-swap fails if it has changed.
    SnapshotPtr base; ///< The delta is computed from this version.
    SnapshotPtr target;
    std::string planId;
};

/**
 * Reads and writes configuration versions in the store. Key layout:
 *
 *   /hornbeamring/config/version/head             ConfigHead
 *   /hornbeamring/config/version/delta/<version>  encoded Delta to <version>, a number of 20 digits
 *   /hornbeamring/config/piece/<digest>           piece of a content, under the digest of its encoding
 *
 * A watch of version/ receives the head and the delta in one event, without the pieces. Pieces are written before the
 * head that refers to them. No delta is written when it is too large for one value; readers then load the pieces.
 *
 * Store accesses are asynchronous. Control thread only. The store must outlive the repository and its pending calls.
 */
class ConfigRepository
{
public:
    template <typename T>
    using Callback = KeyValueStore::Callback<T>;

    /** Number of versions whose deltas are kept. */
    static constexpr ConfigVersion deltaHistory = 64;

    explicit ConfigRepository(KeyValueStore &store);

    static std::string headKey();
    static std::string deltaKey(ConfigVersion version);
    static std::string pieceKey(const Digest &digest);

    /** Prefix of the head and the deltas, for watches. */
    static std::string watchPrefix();

    /** Decodes the changes that a watch of watchPrefix() reported. Deletions are ignored. */
    static Result<ConfigUpdate> parseChanges(const std::vector<KeyValue> &changes);

    /** Reads the head; ConfigHead::none() when the store has none. */
    void readHead(Callback<ConfigHead> callback);

    /** Reads the delta to @p version. NotFound when the store does not have it. */
    void readDelta(ConfigVersion version, Callback<Delta> callback);

    /**
     * Loads the version that @p head describes. Pieces that @p known also contains are not read from the store.
     * NotFound when a piece has been deleted because a newer head has replaced this one: read the head again.
     */
    void loadSnapshot(const ConfigHead &head, const SnapshotPtr &known, Callback<SnapshotPtr> callback);

    /** Reads the head and loads its version; starts over when the head is replaced in the meantime. */
    void loadNewest(const SnapshotPtr &known, Callback<SnapshotPtr> callback);

    /** Writes the pieces of the proposal that the previous head does not list. Does not change the accepted version. */
    void writePieces(const ConfigProposal &proposal, Callback<bool> callback);

    /**
     * Returns the transaction that accepts the proposal, whose pieces must have been written. Its comparison fails when
     * the head has changed; its first failure operation reads the head. More comparisons and operations may be added.
     */
    static Transaction acceptTransaction(const ConfigProposal &proposal);

    /**
     * Deletes the pieces and deltas that @p head does not need, provided that it is still the head. Pieces newer than
     * the head are kept, since a confirm in progress may have written them. Failed deletions are not retried; the next
     * garbage collection covers them.
     */
    void collectGarbage(const ConfigHead &head);

private:
    KeyValueStore &m_store;
};

} // namespace Hornbeam
