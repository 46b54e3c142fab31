#include "disruptor.h"

#include "soaklog.h"

namespace Hornbeam {

Disruptor::Disruptor(Mesh &mesh, NodeDisruptions &disruptions, std::uint64_t seed)
    : m_mesh(mesh)
    , m_disruptions(disruptions)
    , m_random(seed)
{
}

Disruptor::~Disruptor() = default;

int Disruptor::randomBelow(int n)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(n));
}

void Disruptor::restartNode(int node)
{
    if (const auto started = m_mesh.startNode(node); !started) {
        addError(Mesh::nodeName(node) + " did not start: " + started.error().message());
    }
    m_disruptions.end(node);
}

void Disruptor::addError(std::string text)
{
    logSoakEvent("error: " + text);
    m_errors.push_back(std::move(text));
}

} // namespace Hornbeam
