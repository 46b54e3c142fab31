#include <hornbeam/membership/targetregistry.h>

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Hornbeam {

namespace {

constexpr std::size_t maxNameBytes = 128;
constexpr std::uint32_t maxSlots = 10000;
constexpr auto maxTimeToLive = std::chrono::hours(1);

// An announcement that was delayed by a partition arrives within minutes or not at all.
constexpr auto tombstoneLifetime = std::chrono::minutes(10);

// More than the number of target starts on one host within the lifetime of a tombstone.
constexpr std::size_t maxTombstones = 256;

// Estimated bytes of the numbers, addresses and field tags of an encoded target.
constexpr std::size_t fixedBytesPerTarget = 48;
constexpr std::size_t fixedBytesPerLabel = 6;

std::size_t estimatedEncodedBytes(const Target &target)
{
    std::size_t n =
        fixedBytesPerTarget + target.service.size() + target.zone.size() + target.name.size() + target.version.size();
    n += target.isBehindGateway() ? target.gateway.toString().size() : 0;
    for (const auto &label : target.labels) {
        n += fixedBytesPerLabel + label.name.size() + label.value.size();
    }
    return n;
}

/** Whether @p text is UTF-8 without control characters. Other nodes cannot decode a datagram with any other text. */
bool isValidText(const std::string &text)
{
    using Traits = boost::locale::utf::utf_traits<char>;
    for (auto it = text.begin(); it != text.end();) {
        const auto code = Traits::decode(it, text.end());
        if (code == boost::locale::utf::illegal || code == boost::locale::utf::incomplete || code < ' ') {
            return false;
        }
    }
    return text.size() <= maxNameBytes;
}

bool isValidName(const std::string &name)
{
    return !name.empty() && isValidText(name);
}

bool hasValidLabels(const Target &target)
{
    return std::all_of(target.labels.begin(), target.labels.end(), [](const Label &label) {
        return isValidName(label.name) && isValidText(label.value);
    });
}

} // namespace

bool TargetRegistry::Entry::isSameInstance(const Target &announced) const
{
    const bool bothNumbered = numbered && announced.instance != 0;
    return target.name == announced.name && (!bothNumbered || target.instance == announced.instance);
}

TargetRegistry::TargetRegistry(TimerService &timers, Listener listener)
    : m_timers(timers)
    , m_listener(std::move(listener))
    // Starting at the wall clock time avoids numbers that an earlier process of this node has assigned.
    , m_lastInstance(
          std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
{
}

TargetRegistry::~TargetRegistry() = default;

Result<Target> TargetRegistry::announce(Target target, Duration timeToLive, std::uint64_t sequence)
{
    std::sort(target.labels.begin(), target.labels.end());
    if (auto valid = validate(target, timeToLive); !valid) {
        return valid;
    }
    if (isStale(target, sequence)) {
        return makeError(ErrorCode::Conflict,
                         "a later announcement or a withdrawal of the target was already received");
    }
    const auto it = m_entries.find(target.address);
    const bool known = it != m_entries.end();
    const bool sameInstance = known && it->second.isSameInstance(target);
    if (known && !sameInstance) {
        recordDeparture({.name = it->second.target.name, .instance = it->second.target.instance});
    }
    const bool numbered = target.instance != 0;
    if (!numbered) {
        target.instance = sameInstance ? it->second.target.instance : nextInstance();
    }
    const bool changed = !known || it->second.suspended || it->second.target != target;
    const bool wasLeaving = sameInstance && it->second.target.state == TargetState::Leaving;
    m_entries[target.address] = {
        .target = target, .expiry = m_timers.now() + timeToLive, .sequence = sequence, .numbered = numbered};
    scheduleExpiry();
    if (target.state == TargetState::Leaving && !wasLeaving && numbered && sequence > 0) {
        recordDeparture({.name = target.name, .instance = target.instance, .sequence = sequence - 1});
    }
    if (changed) {
        m_listener(targets());
    }
    return target;
}

Result<Target> TargetRegistry::withdraw(const Endpoint &address)
{
    const auto it = m_entries.find(address);
    if (it == m_entries.end()) {
        return makeError(ErrorCode::NotFound, "no target is announced at " + address.toString());
    }
    auto target = it->second.target;
    recordDeparture({.name = target.name, .instance = target.instance});
    m_entries.erase(it);
    scheduleExpiry();
    m_listener(targets());
    return target;
}

Result<Target> TargetRegistry::withdraw(const std::string &name, std::uint64_t lastInstance)
{
    const auto it = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const auto &entry) { return entry.second.target.name == name; });
    if (name.empty() || it == m_entries.end()) {
        recordDeparture({.name = name, .instance = lastInstance});
        return makeError(ErrorCode::NotFound, "no target with the name " + name + " is announced");
    }
    if (lastInstance != 0 && it->second.target.instance > lastInstance) {
        return makeError(ErrorCode::Conflict, "a later run of the target " + name + " is announced");
    }
    return withdraw(Endpoint(it->first));
}

void TargetRegistry::suspend(const Endpoint &address, std::uint64_t instance)
{
    const auto it = m_entries.find(address);
    if (it != m_entries.end() && it->second.target.instance == instance && !it->second.suspended) {
        it->second.suspended = true;
        m_listener(targets());
    }
}

bool TargetRegistry::isStale(const Target &target, std::uint64_t sequence) const
{
    const auto tombstone = m_tombstones.find(target.name);
    if (tombstone != m_tombstones.end() && tombstone->second.departure.covers(target.instance, sequence)) {
        return true;
    }
    const auto it = m_entries.find(target.address);
    if (it == m_entries.end()) {
        return false;
    }
    const auto &entry = it->second;
    if (entry.numbered != (target.instance != 0)) {
        // What does not say which run it is of cannot be ordered, and changes nothing that is known of a numbered run.
        return entry.numbered;
    }
    if (entry.numbered && target.instance < entry.target.instance) {
        return true;
    }
    return entry.isSameInstance(target) && sequence != 0 && sequence < entry.sequence;
}

void TargetRegistry::hideTargets()
{
    m_hidden = true;
}

void TargetRegistry::restore(const std::vector<Departure> &departures)
{
    for (const auto &departure : departures) {
        addTombstone(departure);
    }
    const auto removed =
        std::erase_if(m_entries, [this](const auto &it) { return isStale(it.second.target, it.second.sequence); });
    scheduleExpiry();
    if (std::exchange(m_hidden, false) || removed > 0) {
        m_listener(targets());
    }
}

std::vector<Departure> TargetRegistry::departures() const
{
    std::vector<Departure> list;
    for (const auto &[name, tombstone] : m_tombstones) {
        if (tombstone.expiry > m_timers.now()) {
            list.push_back(tombstone.departure);
        }
    }
    return list;
}

void TargetRegistry::subscribeDepartures(DepartureListener listener)
{
    m_departureListeners.push_back(std::move(listener));
}

void TargetRegistry::recordDeparture(const Departure &departure)
{
    if (addTombstone(departure)) {
        for (const auto &listener : m_departureListeners) {
            listener();
        }
    }
}

/** Returns false if the departure or a later one of the target is known. */
bool TargetRegistry::addTombstone(const Departure &departure)
{
    if (departure.name.empty()) {
        return false;
    }
    const auto now = m_timers.now();
    std::erase_if(m_tombstones, [now](const auto &it) { return it.second.expiry <= now; });
    const auto known = m_tombstones.find(departure.name);
    if (known != m_tombstones.end() && known->second.departure >= departure) {
        return false;
    }
    if (known == m_tombstones.end() && m_tombstones.size() >= maxTombstones) {
        m_tombstones.erase(m_tombstones.begin());
    }
    m_tombstones[departure.name] = {.departure = departure, .expiry = now + tombstoneLifetime};
    return true;
}

std::vector<Target> TargetRegistry::targets() const
{
    std::vector<Target> list;
    for (const auto &[address, entry] : m_entries) {
        if (!entry.suspended && !m_hidden) {
            list.push_back(entry.target);
        }
    }
    return list;
}

Result<Target> TargetRegistry::validate(const Target &target, Duration timeToLive) const
{
    if (!Endpoint::parse(target.address.toString())) {
        return makeError(ErrorCode::InvalidArgument, "the target's address is not an IP address and port");
    }
    if (!isValidName(target.service) || !isValidText(target.zone) || !isValidText(target.name)
        || !isValidText(target.version) || !hasValidLabels(target)) {
        return makeError(ErrorCode::InvalidArgument,
                         "the target's service, zone, name, version or a label is empty, too long or no text");
    }
    if (target.slots < 1 || target.slots > maxSlots) {
        return makeError(ErrorCode::InvalidArgument, "the target's slots are not in 1..10000");
    }
    if (timeToLive < std::chrono::milliseconds(1) || timeToLive > maxTimeToLive) {
        return makeError(ErrorCode::InvalidArgument, "the time to live is not in 1 ms..1 h");
    }
    std::size_t count = 1;
    std::size_t bytes = estimatedEncodedBytes(target);
    for (const auto &[address, entry] : m_entries) {
        if (address != target.address) {
            ++count;
            bytes += estimatedEncodedBytes(entry.target);
        }
    }
    if (count > maxTargets || bytes > maxEncodedBytes) {
        return makeError(ErrorCode::Overloaded,
                         "the targets of this node are too many or do not fit into one membership datagram");
    }
    return target;
}

std::uint64_t TargetRegistry::nextInstance()
{
    return ++m_lastInstance;
}

void TargetRegistry::expire()
{
    const auto now = m_timers.now();
    const auto removed = std::erase_if(m_entries, [now](const auto &item) { return item.second.expiry <= now; });
    scheduleExpiry();
    if (removed > 0) {
        m_listener(targets());
    }
}

void TargetRegistry::scheduleExpiry()
{
    m_expiryTimer.reset();
    const auto next = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
        return a.second.expiry < b.second.expiry;
    });
    if (next != m_entries.end()) {
        m_expiryTimer = m_timers.once(next->second.expiry - m_timers.now(), [this] { expire(); });
    }
}

} // namespace Hornbeam
