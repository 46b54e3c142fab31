#include <hornbeam/ratelimits/limitmessage.h>

#include <hornbeam/base/digest.h>

#include "ratelimits.pb.h"

#include <algorithm>
#include <cmath>

namespace Hornbeam {

namespace Wire = hornbeam::ratelimits::wire;

namespace {

constexpr double shareUnits = 65536;
constexpr double demandUnits = 10;
constexpr double maxDemand = 1e8;
constexpr std::size_t maxZoneBytes = 64;
constexpr std::size_t maxMessageBytes = 1200;

/** Higher counts are corrupt; as a difference they would exclude an account for a long time. */
constexpr std::uint64_t maxCount = 1ULL << 48;

void write(Wire::Message &message, const LimitReport &report)
{
    auto *wire = message.mutable_report();
    wire->set_session(report.session);
    wire->set_sequence(report.sequence);
    for (const auto &it : report.entries) {
        wire->add_accounts(it.account);
        wire->add_asked(it.counts.asked);
        wire->add_admitted(it.counts.admitted);
        wire->add_returned(it.counts.returned);
    }
}

void write(Wire::Message &message, const LimitStatus &status)
{
    auto *wire = message.mutable_status();
    wire->set_session(status.session);
    wire->set_sequence(status.sequence);
    for (const auto &it : status.entries) {
        wire->add_accounts(it.account);
        wire->add_shares(static_cast<std::uint32_t>(std::lround(std::clamp(it.share, 0.0, 1.0) * shareUnits)));
    }
}

void write(Wire::Message &message, const LimitSync &sync)
{
    auto *wire = message.mutable_sync();
    wire->set_sequence(sync.sequence);
    wire->set_active(sync.active);
    wire->set_complete(sync.complete);
    wire->set_age_ms(sync.ageMilliseconds);
    wire->set_zone(sync.zone);
    for (const auto &it : sync.entries) {
        wire->add_accounts(it.account);
        wire->add_spent(it.spent);
        wire->add_demand(static_cast<std::uint32_t>(std::lround(std::clamp(it.demand, 0.0, maxDemand) * demandUnits)));
        wire->add_level(it.level);
    }
}

bool isValidCount(std::uint64_t count)
{
    return count <= maxCount;
}

std::optional<LimitMessage> read(const Wire::Report &wire)
{
    const auto n = wire.accounts_size();
    const bool valid = n <= static_cast<int>(maxAccountsPerMessage) && wire.asked_size() == n
        && wire.admitted_size() == n && wire.returned_size() == n
        && std::all_of(wire.asked().begin(), wire.asked().end(), isValidCount)
        && std::all_of(wire.admitted().begin(), wire.admitted().end(), isValidCount)
        && std::all_of(wire.returned().begin(), wire.returned().end(), isValidCount);
    if (!valid) {
        return std::nullopt;
    }
    LimitReport report{.session = wire.session(), .sequence = wire.sequence(), .entries = {}};
    for (int i = 0; i < n; ++i) {
        report.entries.push_back(
            {.account = wire.accounts(i),
             .counts = {.asked = wire.asked(i), .admitted = wire.admitted(i), .returned = wire.returned(i)}});
    }
    return report;
}

std::optional<LimitMessage> read(const Wire::Status &wire)
{
    const auto n = wire.accounts_size();
    const auto isShare = [](std::uint32_t share) {
        return share <= shareUnits;
    };
    if (n > static_cast<int>(maxAccountsPerMessage) || wire.shares_size() != n
        || !std::all_of(wire.shares().begin(), wire.shares().end(), isShare)) {
        return std::nullopt;
    }
    LimitStatus status{.session = wire.session(), .sequence = wire.sequence(), .entries = {}};
    for (int i = 0; i < n; ++i) {
        status.entries.push_back({.account = wire.accounts(i), .share = wire.shares(i) / shareUnits});
    }
    return status;
}

std::optional<LimitMessage> read(const Wire::Sync &wire)
{
    const auto n = wire.accounts_size();
    const auto isCount = [](std::int64_t count) {
        return count >= -static_cast<std::int64_t>(maxCount) && count <= static_cast<std::int64_t>(maxCount);
    };
    if (n > static_cast<int>(maxAccountsPerMessage) || wire.spent_size() != n || wire.demand_size() != n
        || wire.level_size() != n || wire.zone().empty() || wire.zone().size() > maxZoneBytes
        || !std::all_of(wire.spent().begin(), wire.spent().end(), isCount)
        || !std::all_of(wire.level().begin(), wire.level().end(), isCount)) {
        return std::nullopt;
    }
    LimitSync sync{.sequence = wire.sequence(),
                   .active = wire.active(),
                   .complete = wire.complete(),
                   .ageMilliseconds = wire.age_ms(),
                   .zone = wire.zone(),
                   .entries = {}};
    for (int i = 0; i < n; ++i) {
        sync.entries.push_back({.account = wire.accounts(i),
                                .spent = wire.spent(i),
                                .demand = wire.demand(i) / demandUnits,
                                .level = wire.level(i)});
    }
    return sync;
}

} // namespace

AccountKey accountKey(const std::string &name)
{
    return Digest::of(name).prefix();
}

std::string encode(const LimitMessage &message)
{
    Wire::Message wire;
    std::visit([&wire](const auto &body) { write(wire, body); }, message);
    return wire.SerializeAsString();
}

std::optional<LimitMessage> decodeLimitMessage(std::string_view bytes)
{
    Wire::Message wire;
    if (bytes.size() > maxMessageBytes || !wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    switch (wire.body_case()) {
    case Wire::Message::kReport:
        return read(wire.report());
    case Wire::Message::kStatus:
        return read(wire.status());
    case Wire::Message::kSync:
        return read(wire.sync());
    case Wire::Message::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace Hornbeam
