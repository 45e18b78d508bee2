// Start-time fair queueing over workspaces.

#include <LibRouting/AdmissionQueue.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

template <typename Flows>
auto flowWithEarliestStart(Flows &flows)
{
    auto best = flows.end();
    for (auto it = flows.begin(); it != flows.end(); ++it) {
        if (it->second.items.empty())
            continue;
        if (best == flows.end() || it->second.startTag < best->second.startTag)
            best = it;
    }
    return best;
}

} // namespace detail

void AdmissionQueue::push(const ServiceName &service, QueuePriority priority, const WorkspaceName &workspace,
                          double weight, const GenerationId &generation)
{
    constexpr double minWeight = 0.001;
    FairQueue &queue = m_services[service][priority];
    Flow &flow = queue.flows[workspace];
    if (flow.items.empty())
        flow.startTag = std::max(flow.startTag, queue.virtualTime);
    flow.items.push_back(Item{generation, 1 / std::max(weight, minWeight)});
    ++m_sizes[priority];
}

std::optional<GenerationId> AdmissionQueue::front(const ServiceName &service, QueuePriority priority) const
{
    const FairQueue *queue = find(service, priority);
    if (!queue)
        return std::nullopt;
    auto it = detail::flowWithEarliestStart(queue->flows);
    if (it == queue->flows.end())
        return std::nullopt;
    return it->second.items.front().generation;
}

void AdmissionQueue::pop(const ServiceName &service, QueuePriority priority)
{
    FairQueue &queue = m_services.at(service).at(priority);
    Flow &flow = detail::flowWithEarliestStart(queue.flows)->second;
    queue.virtualTime = flow.startTag;
    flow.startTag += flow.items.front().cost;
    flow.items.pop_front();
    --m_sizes[priority];
    eraseIfEmpty(service);
}

void AdmissionQueue::remove(const ServiceName &service, const GenerationId &generation)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    for (auto &[priority, queue] : found->second) {
        for (auto &[workspace, flow] : queue.flows)
            m_sizes[priority] -=
                std::erase_if(flow.items, [&](const Item &item) { return item.generation == generation; });
    }
    eraseIfEmpty(service);
}

std::vector<ServiceName> AdmissionQueue::services() const
{
    std::vector<ServiceName> out;
    for (const auto &[service, queue] : m_services)
        out.push_back(service);
    return out;
}

std::size_t AdmissionQueue::size(QueuePriority priority) const
{
    auto it = m_sizes.find(priority);
    return it == m_sizes.end() ? 0 : it->second;
}

std::size_t AdmissionQueue::sizeAtOrAbove(const ServiceName &service, QueuePriority priority) const
{
    std::size_t n = 0;
    for (auto it : {QueuePriority::Urgent, QueuePriority::Resume, QueuePriority::Patient}) {
        const FairQueue *queue = it <= priority ? find(service, it) : nullptr;
        if (!queue)
            continue;
        for (const auto &[workspace, flow] : queue->flows)
            n += flow.items.size();
    }
    return n;
}

const AdmissionQueue::FairQueue *AdmissionQueue::find(const ServiceName &service,
                                                      QueuePriority priority) const
{
    auto it = m_services.find(service);
    if (it == m_services.end())
        return nullptr;
    auto found = it->second.find(priority);
    return found == it->second.end() ? nullptr : &found->second;
}

void AdmissionQueue::eraseIfEmpty(const ServiceName &service)
{
    auto it = m_services.find(service);
    const bool empty = std::ranges::all_of(it->second, [](const auto &entry) {
        return detail::flowWithEarliestStart(entry.second.flows) == entry.second.flows.end();
    });
    if (empty)
        m_services.erase(it);
}

} // namespace Wisteria
