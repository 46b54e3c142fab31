#include <hornbeam/config/configrepository.h>

#include "snapshotpieces.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace Hornbeam {

namespace {

constexpr std::string_view root = "/hornbeamring/config/";
constexpr std::string_view versionDirectory = "version/";
constexpr std::string_view deltaDirectory = "version/delta/";
constexpr std::string_view pieceDirectory = "piece/";

// Limits of one transaction. The store accepts 128 operations; requests far below its size limit are fast.
constexpr std::size_t maxBatchBytes = 256U << 10;
constexpr std::size_t maxBatchWrites = 64;
constexpr std::size_t piecesPerRead = 16;
constexpr std::size_t deletesPerTransaction = 100;

// The store refuses values above 1 MB; forwarding a delta above this size is slower than loading the pieces.
constexpr std::size_t maxDeltaBytes = 512U << 10;

constexpr int maxLoadAttempts = 4;
constexpr int maxWriteAttempts = 3;

std::string keyUnder(std::string_view directory, std::string_view name)
{
    std::string key(root);
    key.append(directory);
    key.append(name);
    return key;
}

/** Reports a read with unknown outcome as Unavailable, since reads have no effect. */
Error readError(const Error &error)
{
    return error.code() == ErrorCode::OutcomeUnknown ? Error(ErrorCode::Unavailable, error.message()) : error;
}

std::optional<ConfigVersion> deltaVersionOf(std::string_view key)
{
    const auto prefix = keyUnder(deltaDirectory, "");
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto digits = key.substr(prefix.size());
    ConfigVersion version = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (status != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return version;
}

/** Loads the missing pieces of a head in several reads. Keeps itself alive until its callback has run. */
class LoadSnapshotOperation : public std::enable_shared_from_this<LoadSnapshotOperation>
{
public:
    LoadSnapshotOperation(KeyValueStore &store, ConfigHead head, ConfigRepository::Callback<SnapshotPtr> callback)
        : m_store(store)
        , m_head(std::move(head))
        , m_callback(std::move(callback))
    {
    }

    void start(const SnapshotPtr &known)
    {
        if (known) {
            for (auto &piece : splitIntoPieces(known->content())) {
                m_pieces.emplace(piece.digest, std::move(piece));
            }
        }
        for (const auto &digest : m_head.pieceDigests) {
            if (!m_pieces.contains(digest)) {
                m_missing.push_back(digest);
            }
        }
        readNext();
    }

private:
    void readNext()
    {
        if (m_missing.empty()) {
            finish();
            return;
        }
        Transaction read;
        const auto n = std::min(piecesPerRead, m_missing.size());
        for (std::size_t i = 0; i < n; ++i) {
            read.success.push_back(Operation::get(ConfigRepository::pieceKey(m_missing[i])));
        }
        m_store.commit(std::move(read), [self = shared_from_this(), n](Result<TransactionResult> result) {
            self->received(n, std::move(result));
        });
    }

    void received(std::size_t n, Result<TransactionResult> result)
    {
        if (!result) {
            m_callback(tl::unexpected(readError(result.error())));
            return;
        }
        for (std::size_t i = 0; i < n; ++i) {
            const auto &digest = m_missing[i];
            const auto &entries = result->results.at(i).entries;
            if (entries.empty()) {
                m_callback(makeError(ErrorCode::NotFound, "the store does not have a piece of the configuration"));
                return;
            }
            auto piece = unpackPiece(entries.front().value, digest);
            if (!piece) {
                m_callback(tl::unexpected(piece.error()));
                return;
            }
            m_pieces.emplace(digest, *std::move(piece));
        }
        m_missing.erase(m_missing.begin(), m_missing.begin() + static_cast<std::ptrdiff_t>(n));
        readNext();
    }

    void finish()
    {
        SnapshotContent content;
        for (const auto &digest : m_head.pieceDigests) {
            const auto appended = appendPiece(m_pieces.at(digest), content);
            if (!appended) {
                m_callback(tl::unexpected(appended.error()));
                return;
            }
        }
        auto snapshot = Snapshot::make(m_head.version, std::move(content));
        if (snapshot && (*snapshot)->contentDigest() != m_head.contentDigest) {
            m_callback(makeError(ErrorCode::InvalidArgument,
                                 "the content of the pieces does not match the digest in the configuration head"));
            return;
        }
        m_callback(std::move(snapshot));
    }

    KeyValueStore &m_store;
    ConfigHead m_head;
    ConfigRepository::Callback<SnapshotPtr> m_callback;
    std::map<Digest, SnapshotPiece> m_pieces;
    std::vector<Digest> m_missing;
};

/**
 * Writes pieces in several transactions. A write with unknown outcome is repeated, since its value is the same. Keeps
 * itself alive until its callback has run.
 */
class WritePiecesOperation : public std::enable_shared_from_this<WritePiecesOperation>
{
public:
    WritePiecesOperation(KeyValueStore &store,
                         std::vector<Transaction> batches,
                         ConfigRepository::Callback<bool> callback)
        : m_store(store)
        , m_batches(std::move(batches))
        , m_callback(std::move(callback))
    {
    }

    void writeNext()
    {
        if (m_batches.empty()) {
            m_callback(true);
            return;
        }
        m_store.commit(m_batches.back(), [self = shared_from_this()](Result<TransactionResult> result) {
            self->written(std::move(result));
        });
    }

private:
    void written(Result<TransactionResult> result)
    {
        if (result) {
            m_batches.pop_back();
            m_attempts = 0;
            writeNext();
            return;
        }
        const bool unknown = result.error().code() == ErrorCode::OutcomeUnknown;
        if (unknown && ++m_attempts < maxWriteAttempts) {
            writeNext();
            return;
        }
        // Pieces that no head refers to have no effect, so an unknown outcome is reported as Unavailable.
        m_callback(unknown ? makeError(ErrorCode::Unavailable, result.error().message())
                           : tl::unexpected(result.error()));
    }

    KeyValueStore &m_store;
    std::vector<Transaction> m_batches;
    ConfigRepository::Callback<bool> m_callback;
    int m_attempts = 0;
};

/** Returns transactions that write the @p pieces that are not @p present. */
std::vector<Transaction> batchesOf(const std::vector<SnapshotPiece> &pieces, const std::set<Digest> &present)
{
    std::vector<Transaction> batches;
    std::size_t bytes = 0;
    std::set<Digest> added;
    for (const auto &piece : pieces) {
        if (present.contains(piece.digest) || !added.insert(piece.digest).second) {
            continue;
        }
        auto value = piece.pack();
        if (batches.empty() || bytes + value.size() > maxBatchBytes
            || batches.back().success.size() >= maxBatchWrites) {
            batches.emplace_back();
            bytes = 0;
        }
        bytes += value.size();
        batches.back().success.push_back(Operation::put(ConfigRepository::pieceKey(piece.digest), std::move(value)));
    }
    return batches;
}

bool isNeeded(const KeyValue &entry, const ConfigHead &head, const std::set<std::string> &neededKeys)
{
    if (const auto version = deltaVersionOf(entry.key)) {
        return *version + ConfigRepository::deltaHistory > head.version;
    }
    return neededKeys.contains(entry.key) || entry.modRevision >= head.modRevision;
}

/** Deletes @p entries in transactions that fail if the head or one of their entries has changed since it was read. */
void deleteEntries(KeyValueStore &store, const ConfigHead &head, const std::vector<KeyValue> &entries)
{
    for (std::size_t begin = 0; begin < entries.size(); begin += deletesPerTransaction) {
        Transaction transaction;
        transaction.compares.push_back(
            {.key = ConfigRepository::headKey(), .field = Compare::Field::ModRevision, .revision = head.modRevision});
        const auto end = std::min(entries.size(), begin + deletesPerTransaction);
        for (std::size_t i = begin; i < end; ++i) {
            const auto &entry = entries[i];
            transaction.compares.push_back(
                {.key = entry.key, .field = Compare::Field::ModRevision, .revision = entry.modRevision});
            transaction.success.push_back(Operation::remove(entry.key));
        }
        store.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
    }
}

/** Deletes the entries with the key prefix @p prefix that @p head does not need. */
void collectGarbageUnder(KeyValueStore &store, const std::string &prefix, const ConfigHead &head)
{
    RangeRequest request{.key = prefix, .prefix = true, .limit = 0, .keysOnly = true};
    store.range(std::move(request), [&store, head](const Result<RangeResult> &result) {
        if (!result) {
            return;
        }
        std::set<std::string> needed;
        for (const auto &digest : head.pieceDigests) {
            needed.insert(ConfigRepository::pieceKey(digest));
        }
        std::vector<KeyValue> garbage;
        for (const auto &entry : result->entries) {
            if (!isNeeded(entry, head, needed)) {
                garbage.push_back(entry);
            }
        }
        deleteEntries(store, head, garbage);
    });
}

} // namespace

ConfigRepository::ConfigRepository(KeyValueStore &store)
    : m_store(store)
{
}

std::string ConfigRepository::headKey()
{
    return keyUnder(versionDirectory, "head");
}

std::string ConfigRepository::deltaKey(ConfigVersion version)
{
    // With leading zeros, the keys sort by version.
    constexpr std::size_t digitCount = 20;
    const auto digits = std::to_string(version);
    return keyUnder(deltaDirectory, std::string(digitCount - digits.size(), '0') + digits);
}

std::string ConfigRepository::pieceKey(const Digest &digest)
{
    return keyUnder(pieceDirectory, digest.hex());
}

std::string ConfigRepository::watchPrefix()
{
    return keyUnder(versionDirectory, "");
}

Result<ConfigUpdate> ConfigRepository::parseChanges(const std::vector<KeyValue> &changes)
{
    ConfigUpdate update;
    for (const auto &change : changes) {
        if (change.value.empty()) {
            continue;
        }
        if (change.key == headKey()) {
            auto head = ConfigHead::decode(change.value, change.modRevision);
            if (!head) {
                return tl::unexpected(head.error());
            }
            update.head = *std::move(head);
        } else if (deltaVersionOf(change.key)) {
            auto delta = Delta::decode(change.value);
            if (!delta) {
                return tl::unexpected(delta.error());
            }
            update.deltas.push_back(*std::move(delta));
        }
    }
    std::sort(update.deltas.begin(), update.deltas.end(), [](const Delta &a, const Delta &b) {
        return a.targetVersion() < b.targetVersion();
    });
    return update;
}

void ConfigRepository::readHead(Callback<ConfigHead> callback)
{
    m_store.range({.key = headKey()}, [callback = std::move(callback)](const Result<RangeResult> &result) {
        if (!result) {
            callback(tl::unexpected(result.error()));
            return;
        }
        if (result->entries.empty()) {
            auto none = ConfigHead::none();
            none.generation = result->generation;
            callback(std::move(none));
            return;
        }
        auto head = ConfigHead::decode(result->entries.front().value, result->entries.front().modRevision);
        if (head) {
            head->generation = result->generation;
        }
        callback(std::move(head));
    });
}

void ConfigRepository::readDelta(ConfigVersion version, Callback<Delta> callback)
{
    m_store.range({.key = deltaKey(version)}, [callback = std::move(callback)](const Result<RangeResult> &result) {
        if (!result) {
            callback(tl::unexpected(result.error()));
            return;
        }
        if (result->entries.empty()) {
            callback(makeError(ErrorCode::NotFound, "the store does not have the delta to this version"));
            return;
        }
        callback(Delta::decode(result->entries.front().value));
    });
}

void ConfigRepository::loadSnapshot(const ConfigHead &head, const SnapshotPtr &known, Callback<SnapshotPtr> callback)
{
    std::make_shared<LoadSnapshotOperation>(m_store, head, std::move(callback))->start(known);
}

void ConfigRepository::loadNewest(const SnapshotPtr &known, Callback<SnapshotPtr> callback)
{
    struct LoadNewestOperation : std::enable_shared_from_this<LoadNewestOperation>
    {
        LoadNewestOperation(ConfigRepository repository, SnapshotPtr knownSnapshot, Callback<SnapshotPtr> done)
            : repository(repository)
            , known(std::move(knownSnapshot))
            , callback(std::move(done))
        {
        }

        void start()
        {
            repository.readHead([self = shared_from_this()](const Result<ConfigHead> &head) {
                if (!head) {
                    self->callback(tl::unexpected(head.error()));
                } else if (self->known && head->describes(*self->known)) {
                    self->callback(self->known);
                } else {
                    self->load(*head);
                }
            });
        }

        void load(const ConfigHead &head)
        {
            repository.loadSnapshot(head, known, [self = shared_from_this()](Result<SnapshotPtr> snapshot) {
                const bool replaced = !snapshot && snapshot.error().code() == ErrorCode::NotFound;
                if (replaced && ++self->attempts < maxLoadAttempts) {
                    self->start();
                    return;
                }
                self->callback(std::move(snapshot));
            });
        }

        ConfigRepository repository;
        SnapshotPtr known;
        Callback<SnapshotPtr> callback;
        int attempts = 0;
    };
    std::make_shared<LoadNewestOperation>(*this, known, std::move(callback))->start();
}

void ConfigRepository::writePieces(const ConfigProposal &proposal, Callback<bool> callback)
{
    const auto &present = proposal.previous.pieceDigests;
    auto batches = batchesOf(splitIntoPieces(proposal.target->content()), {present.begin(), present.end()});
    std::make_shared<WritePiecesOperation>(m_store, std::move(batches), std::move(callback))->writeNext();
}

Transaction ConfigRepository::acceptTransaction(const ConfigProposal &proposal)
{
    const auto &target = *proposal.target;
    ConfigHead head{.version = target.version(),
                    .planId = proposal.planId,
                    .contentDigest = target.contentDigest(),
                    .pieceDigests = {},
                    .modRevision = 0};
    for (const auto &piece : splitIntoPieces(target.content())) {
        head.pieceDigests.push_back(piece.digest);
    }
    Transaction transaction;
    transaction.compares.push_back(
        {.key = headKey(), .field = Compare::Field::ModRevision, .revision = proposal.previous.modRevision});
    transaction.success.push_back(Operation::put(headKey(), head.encode()));
    auto delta = Delta::between(*proposal.base, target).encode();
    if (delta.size() <= maxDeltaBytes) {
        transaction.success.push_back(Operation::put(deltaKey(target.version()), std::move(delta)));
    }
    if (target.version() > deltaHistory) {
        transaction.success.push_back(Operation::remove(deltaKey(target.version() - deltaHistory)));
    }
    transaction.failure.push_back(Operation::get(headKey()));
    return transaction;
}

void ConfigRepository::collectGarbage(const ConfigHead &head)
{
    collectGarbageUnder(m_store, keyUnder(pieceDirectory, ""), head);
    collectGarbageUnder(m_store, keyUnder(deltaDirectory, ""), head);
}

} // namespace Hornbeam
