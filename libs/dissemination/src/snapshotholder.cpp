#include <hornbeam/dissemination/snapshotholder.h>

#include <hornbeam/base/metrics.h>

#include <utility>

namespace Hornbeam {

namespace {

constexpr auto rejectionHelp = "Configuration versions that were not applied, by reason.";

void countRejection(MetricsRegistry &metrics, const char *reason)
{
    metrics.counter("hornbeam_config_rejected_total", rejectionHelp, {{.name = "reason", .value = reason}}).add();
}

} // namespace

SnapshotHolder::SnapshotHolder(MetricsRegistry &metrics)
    : m_metrics(metrics)
    , m_current(Snapshot::empty())
{
}

ApplyResult SnapshotHolder::apply(const SnapshotPtr &snapshot)
{
    if (snapshot->version() < m_current->version()) {
        countRejection(m_metrics, "older");
        return ApplyResult::Older;
    }
    if (snapshot->version() == m_current->version()) {
        if (snapshot->contentDigest() == m_current->contentDigest()) {
            return ApplyResult::AlreadyCurrent;
        }
        countRejection(m_metrics, "conflict");
        m_lastRejection =
            "version " + std::to_string(snapshot->version()) + " has different content than the applied one";
        return ApplyResult::ConflictingContent;
    }
    m_current = snapshot;
    m_metrics.gauge("hornbeam_config_version", "The applied configuration version.")
        .set(static_cast<std::int64_t>(snapshot->version()));
    // A listener may apply another version. The remaining listeners are then called for that version first and for this
    // one afterwards.
    const auto applied = m_current;
    for (const auto &listener : m_listeners) {
        listener(applied);
    }
    return ApplyResult::Applied;
}

ApplyResult SnapshotHolder::apply(const Delta &delta)
{
    if (delta.targetVersion() < m_current->version()) {
        countRejection(m_metrics, "older");
        return ApplyResult::Older;
    }
    if (delta.targetVersion() == m_current->version()) {
        if (delta.targetDigest() == m_current->contentDigest()) {
            return ApplyResult::AlreadyCurrent;
        }
        countRejection(m_metrics, "conflict");
        m_lastRejection =
            "version " + std::to_string(delta.targetVersion()) + " has different content than the applied one";
        return ApplyResult::ConflictingContent;
    }
    const auto target = delta.applyTo(*m_current);
    if (target) {
        return apply(*target);
    }
    if (target.error().code() == ErrorCode::Conflict) {
        return ApplyResult::WrongBase;
    }
    recordRejection(delta.targetVersion(), target.error().message());
    return ApplyResult::Invalid;
}

void SnapshotHolder::recordRejection(ConfigVersion version, const std::string &reason)
{
    countRejection(m_metrics, "invalid");
    m_lastRejection = "version " + std::to_string(version) + ": " + reason;
}

void SnapshotHolder::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

} // namespace Hornbeam
