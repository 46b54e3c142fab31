#include "rolloutcluster.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <random>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 25;

/** First of the seeds; HORNBEAM_TEST_SEED replaces the default. */
int firstSeed()
{
    const char *text = std::getenv("HORNBEAM_TEST_SEED");
    return text != nullptr ? std::atoi(text) : 1;
}

/** Plays one roll-out with restarts and faults of the store that come in series and overlap. */
class RestartPlay
{
public:
    explicit RestartPlay(int seed)
        : m_random(static_cast<std::uint32_t>(seed))
        , m_isBad(chance(0.5))
        , m_turnsBad(milliseconds(chance(0.5) ? 9000 : 0))
    {
        m_cluster.order("v2", 10);
        while (m_cluster.sinceOrder() < end && (m_isBad || m_cluster.status() != "completed v2")) {
            pass(milliseconds(450));
            if (m_cluster.sinceOrder() >= lastFault) {
                m_cluster.setFaults({});
            } else if (chance(0.25)) {
                playFault();
            }
        }
    }

    /** What is wrong at the end; empty if nothing is. */
    std::string violation()
    {
        const auto allowed = 0.1 * 15 * RolloutCluster::nodeCount * RolloutCluster::requestsPerStep * 50 + 50;
        if (m_cluster.served["v3"] > 0) {
            return "requests at a version without an order";
        }
        if (m_cluster.storedStep().stableVersion != "v1") {
            return "stable version is \"" + m_cluster.storedStep().stableVersion + "\"";
        }
        if (m_cluster.status() != (m_isBad ? "rolled_back v2" : "completed v2")) {
            return m_cluster.status();
        }
        if (m_isBad && m_cluster.fresh > allowed) {
            return std::to_string(m_cluster.fresh) + " requests at the bad version";
        }
        if (m_isBad && m_cluster.fiftiethBad != TimePoint::max() && m_cluster.lastFresh > m_cluster.fiftiethBad + 5s) {
            return "a request later than 5 s after the 50th bad response";
        }
        return {};
    }

private:
    static constexpr Duration end = 30s;
    static constexpr Duration lastFault = 12s;

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    Duration milliseconds(int longest)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, longest)(m_random));
    }

    void pass(Duration duration)
    {
        m_cluster.bad = m_isBad && m_cluster.sinceOrder() >= m_turnsBad;
        m_cluster.pass(duration);
    }

    void playFault()
    {
        switch (std::uniform_int_distribution<int>(0, 5)(m_random)) {
        case 0:
            m_cluster.killAll();
            pass(milliseconds(2500));
            m_cluster.startNodes();
            break;
        case 1:
            for (std::size_t i = 0; i < m_cluster.nodes.size(); ++i) {
                if (chance(0.5)) {
                    m_cluster.restart(i);
                }
            }
            break;
        case 2:
            if (const auto *decider = m_cluster.decider()) {
                m_cluster.restart(static_cast<std::size_t>(decider->number));
            }
            break;
        case 3:
            m_cluster.setFaults({.unavailable = true});
            pass(milliseconds(2500));
            m_cluster.setFaults({});
            break;
        case 4:
            m_cluster.setFaults({.answerDelay = milliseconds(900)});
            break;
        default:
            m_cluster.setFaults({.loseAnswers = 2});
        }
        // The hosts of all targets of the stable version come back last.
        m_cluster.hear({"v2", "v3"});
        pass(milliseconds(1500));
        m_cluster.hear({"v1", "v2", "v3"});
        if (chance(0.5)) {
            m_cluster.setFaults({});
        }
    }

    std::mt19937 m_random;
    RolloutCluster m_cluster;
    const bool m_isBad;
    const Duration m_turnsBad;
};

} // namespace

TEST_GROUP(RolloutRestarts){};

// Guards against orders of events that the tests of single faults do not play.
TEST(RolloutRestarts, keepTheExposureInSeries)
{
    const auto first = firstSeed();
    for (int seed = first; seed < first + seeds; ++seed) {
        const auto violation = RestartPlay(seed).violation();
        CHECK_TEXT(violation.empty(), ("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
}
