#pragma once

#include <hornbeam/ratelimits/ratelimitnode.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * The tolerance that users state: in a window of this length, the requests of an account that are admitted are at most
 * (rate * window + burst) * (1 + overage) + slack.
 */
struct QuotaTerms
{
    static constexpr double windowSeconds = 5;
    static constexpr double overage = 0.1;
    static constexpr double slack = 20;

    static double largest(const AccountLimit &limit)
    {
        return (limit.ratePerSecond * windowSeconds + limit.burst) * (1 + overage) + slack;
    }
};

/** What an account asked and got, with one exact token bucket beside it that sees all requests. */
class AccountRecord
{
public:
    void setLimit(const AccountLimit &limit, TimePoint now)
    {
        if (m_limit.ratePerSecond == 0) {
            m_tokens = std::max(1.0, limit.burst);
            m_updated = now;
        }
        m_limit = limit;
    }

    void record(TimePoint now, bool wasAdmitted)
    {
        const double passed = std::chrono::duration<double>(now - m_updated).count();
        m_updated = now;
        m_tokens = std::min(m_tokens + passed * m_limit.ratePerSecond, std::max(1.0, m_limit.burst));
        const bool expected = m_tokens >= 1;
        m_tokens -= expected ? 1 : 0;
        ++asked;
        permitted += expected ? 1 : 0;
        admitted += wasAdmitted ? 1 : 0;
        if (wasAdmitted) {
            m_window.push_back(now);
        }
        while (!m_window.empty() && m_window.front() + std::chrono::seconds(5) <= now) {
            m_window.pop_front();
        }
        largestWindow = std::max(largestWindow, m_window.size());
    }

    /** Starts a new measurement; the exact bucket and the window of the last 5 s stay. */
    void restart()
    {
        asked = 0;
        permitted = 0;
        admitted = 0;
        largestWindow = 0;
    }

    /** Forgets the admitted requests, for a limit that binds a window later. */
    void clearWindow()
    {
        m_window.clear();
        largestWindow = 0;
    }

    std::size_t asked = 0;
    std::size_t permitted = 0; ///< By the exact bucket.
    std::size_t admitted = 0;
    std::size_t largestWindow = 0; ///< Largest number that was admitted in any 5 s.

private:
    AccountLimit m_limit;
    double m_tokens = 0;
    TimePoint m_updated;
    std::deque<TimePoint> m_window;
};

/** Nodes in zones with delayed and lossy messages in virtual time, and callers that send at given rates. */
class RateLimitFleet : public RateLimitEvents
{
public:
    using Choose = std::function<std::size_t(TimePoint now)>;

    RateLimitFleet(std::size_t nodes, std::size_t zones, std::uint64_t seed)
        : m_random(seed)
        , m_zoneCount(zones)
    {
        m_nodes.resize(nodes);
        for (std::size_t i = 0; i < nodes; ++i) {
            startNode(i);
        }
        publishMembers();
    }

    void setLimits(const std::vector<AccountLimit> &limits)
    {
        m_limits = limits;
        for (auto &it : m_nodes) {
            if (it.running) {
                it.node->setLimits(limits, m_now);
            }
        }
        for (const auto &limit : limits) {
            records[limit.name].setLimit(limit, m_now);
        }
    }

    /** Sets the demand of an account; @p choose gives the index of the node that each request reaches. */
    void setDemand(const std::string &account, double perSecond, Choose choose = {})
    {
        m_demands[account] = {.perSecond = perSecond, .choose = std::move(choose)};
    }

    void run(double seconds)
    {
        const auto end = m_now + toDuration(seconds);
        while (m_now < end) {
            m_now += step;
            deliver();
            for (auto &it : m_nodes) {
                if (it.running && !it.paused && it.nextTick <= m_now) {
                    it.nextTick = m_now + RateLimitNode::tickPeriod;
                    if (heardOther(it)) {
                        it.node->memberHeard(m_now);
                    }
                    it.node->tick(m_now);
                }
            }
            arrive();
        }
    }

    /** Ends a process; the others learn of it after detectionTime, or when publishMembers() is called. */
    void kill(std::size_t index)
    {
        m_nodes[index].running = false;
    }

    /** Starts a new process on a host. */
    void startNode(std::size_t index)
    {
        auto &it = m_nodes[index];
        it.id = "node-" + std::to_string(index) + "-" + std::to_string(++m_started);
        it.zone = index % m_zoneCount;
        it.limiter = std::make_unique<AccountLimiter>(m_random());
        const auto send = [this, index](const std::string &member, const std::string &bytes) {
            this->send(index, member, bytes);
        };
        it.node = std::make_unique<RateLimitNode>(
            RateLimitNodeOptions{.id = it.id, .zone = zoneName(it.zone)}, *it.limiter, *this, send);
        it.node->setExpectedNodes(m_nodes.size());
        it.node->setLimits(m_limits, m_now);
        it.nextTick = m_now + toDuration(std::uniform_real_distribution<double>(0, 0.2)(m_random));
        it.running = true;
        it.paused = false;
    }

    /** Gives each running node the members that it reaches. */
    void publishMembers()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            std::vector<RateLimitMember> members;
            for (std::size_t j = 0; j < m_nodes.size(); ++j) {
                const auto &other = m_nodes[j];
                if (other.running && (!cut || !cut(j, i))) {
                    members.push_back({.hash = accountKey(other.id), .id = other.id, .zone = zoneName(other.zone)});
                }
            }
            if (m_nodes[i].running) {
                m_nodes[i].node->setMembers(std::move(members), m_now);
            }
        }
    }

    void setPaused(std::size_t index, bool paused)
    {
        m_nodes[index].paused = paused;
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    std::size_t zoneOf(std::size_t index) const
    {
        return m_nodes[index].zone;
    }

    RateLimitNode &node(std::size_t index)
    {
        return *m_nodes[index].node;
    }

    AccountLimiter &limiter(std::size_t index)
    {
        return *m_nodes[index].limiter;
    }

    /** Index of the node to which node @p index reports. */
    std::size_t coordinatorOf(std::size_t index) const
    {
        const auto &id = m_nodes[index].node->reportsTo();
        const auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&id](const Node &node) { return node.id == id; });
        return static_cast<std::size_t>(it - m_nodes.begin());
    }

    std::size_t randomNode()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
    }

    TimePoint now() const
    {
        return m_now;
    }

    std::map<std::string, AccountRecord> records;
    std::function<bool(std::size_t from, std::size_t to)> cut; ///< Links that lose everything; empty for none.
    double loss = 0; ///< Probability that a message is lost.
    std::size_t messages = 0;
    std::size_t bytes = 0;
    std::size_t largestMessage = 0;

private:
    static constexpr auto step = std::chrono::milliseconds(1);
    static constexpr auto delay = std::chrono::milliseconds(2); ///< Of a message, with the time of the process.

    struct Node
    {
        std::string id;
        std::size_t zone = 0;
        std::unique_ptr<AccountLimiter> limiter;
        std::unique_ptr<RateLimitNode> node;
        TimePoint nextTick;
        bool running = false;
        bool paused = false;
    };

    struct Demand
    {
        double perSecond = 0;
        Choose choose;
    };

    struct Delivery
    {
        TimePoint due;
        std::string from;
        std::size_t to = 0;
        std::string toId;
        std::string bytes;
    };

    static Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    static std::string zoneName(std::size_t zone)
    {
        return "zone-" + std::to_string(zone);
    }

    void send(std::size_t from, const std::string &member, const std::string &content)
    {
        const auto it =
            std::find_if(m_nodes.begin(), m_nodes.end(), [&member](const Node &node) { return node.id == member; });
        ++messages;
        bytes += content.size();
        largestMessage = std::max(largestMessage, content.size());
        if (it == m_nodes.end() || std::uniform_real_distribution<double>(0, 1)(m_random) < loss) {
            return;
        }
        const auto to = static_cast<std::size_t>(it - m_nodes.begin());
        if (!cut || !cut(from, to)) {
            m_deliveries.push_back(
                {.due = m_now + delay, .from = m_nodes[from].id, .to = to, .toId = member, .bytes = content});
        }
    }

    /** Whether a probe of the membership gets through to the node. */
    bool heardOther(const Node &node) const
    {
        const auto to = static_cast<std::size_t>(&node - m_nodes.data());
        for (std::size_t from = 0; from < m_nodes.size(); ++from) {
            if (from != to && m_nodes[from].running && loss < 1 && (!cut || !cut(from, to))) {
                return true;
            }
        }
        return false;
    }

    void deliver()
    {
        std::vector<Delivery> due;
        std::erase_if(m_deliveries, [this, &due](Delivery &it) {
            const auto &node = m_nodes[it.to];
            if (it.due > m_now || (node.running && node.paused)) {
                return false;
            }
            due.push_back(std::move(it));
            return true;
        });
        for (const auto &it : due) {
            auto &node = m_nodes[it.to];
            if (node.running && node.id == it.toId) {
                node.node->receive(it.from, it.bytes, m_now);
            }
        }
    }

    void arrive()
    {
        for (auto &[account, demand] : m_demands) {
            const double expected = demand.perSecond * std::chrono::duration<double>(step).count();
            auto count = expected > 0 ? std::poisson_distribution<int>(expected)(m_random) : 0;
            for (; count > 0; --count) {
                const auto index = demand.choose ? demand.choose(m_now) : randomNode();
                auto &node = m_nodes[index];
                if (node.running && !node.paused) {
                    records[account].record(m_now, node.limiter->admit(account, m_now).admitted);
                }
            }
        }
    }

    void accountLimited(const std::string & /*account*/, bool /*limited*/) override {}
    void coordinatorChanged(const std::string & /*member*/, bool /*previousSilent*/) override {}
    void ownShareUsed(bool /*used*/) override {}

    std::mt19937_64 m_random;
    std::size_t m_zoneCount;
    std::size_t m_started = 0;
    TimePoint m_now = TimePoint() + std::chrono::hours(1);
    std::vector<Node> m_nodes;
    std::vector<AccountLimit> m_limits;
    std::map<std::string, Demand> m_demands;
    std::vector<Delivery> m_deliveries;
};

/** Accounts whose demand follows Zipf's law with exponent 1.2, from about 500 requests a second to about 3. */
inline std::vector<AccountLimit> skewedLimits(std::size_t count, std::vector<double> &demands)
{
    std::vector<AccountLimit> limits;
    for (std::size_t i = 0; i < count; ++i) {
        const double demand = 500 / std::pow(static_cast<double>(i + 1), 1.2);
        demands.push_back(demand);
        limits.push_back(
            {.name = "account-" + std::to_string(i), .ratePerSecond = 1.6 * demand, .burst = 1.6 * demand});
    }
    return limits;
}

} // namespace Hornbeam
