// Start-time fair queueing over workspaces.

#include <LibRouting/AdmissionQueue.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

template <typename Lanes>
auto earliestLane(Lanes &lanes)
{
    auto best = lanes.end();
    for (auto it = lanes.begin(); it != lanes.end(); ++it) {
        if (it->second.items.empty())
            continue;
        if (best == lanes.end() || it->second.start < best->second.start)
            best = it;
    }
    return best;
}

} // namespace detail

void AdmissionQueue::push(const ServiceName &service, WaitingRank rank, const WorkspaceName &workspace,
                          double weight, const GenerationId &generation)
{
    constexpr double leastWeight = 0.001;
    RankQueue &queue = m_services[service][rank];
    Lane &lane = queue.lanes[workspace];
    if (lane.items.empty())
        lane.start = std::max(lane.start, queue.now);
    lane.items.push_back(Item{generation, 1 / std::max(weight, leastWeight)});
    ++m_sizes[rank];
}

std::optional<GenerationId> AdmissionQueue::front(const ServiceName &service, WaitingRank rank) const
{
    const RankQueue *queue = find(service, rank);
    if (!queue)
        return std::nullopt;
    auto it = detail::earliestLane(queue->lanes);
    if (it == queue->lanes.end())
        return std::nullopt;
    return it->second.items.front().generation;
}

void AdmissionQueue::pop(const ServiceName &service, WaitingRank rank)
{
    RankQueue &queue = m_services.at(service).at(rank);
    Lane &lane = detail::earliestLane(queue.lanes)->second;
    queue.now = lane.start;
    lane.start += lane.items.front().cost;
    lane.items.pop_front();
    --m_sizes[rank];
    dropIfEmpty(service);
}

void AdmissionQueue::remove(const ServiceName &service, const GenerationId &generation)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    for (auto &[rank, queue] : found->second) {
        for (auto &[workspace, lane] : queue.lanes)
            m_sizes[rank] -=
                std::erase_if(lane.items, [&](const Item &item) { return item.generation == generation; });
    }
    dropIfEmpty(service);
}

std::vector<ServiceName> AdmissionQueue::services() const
{
    std::vector<ServiceName> out;
    for (const auto &[service, queue] : m_services)
        out.push_back(service);
    return out;
}

std::size_t AdmissionQueue::size(WaitingRank rank) const
{
    auto it = m_sizes.find(rank);
    return it == m_sizes.end() ? 0 : it->second;
}

std::size_t AdmissionQueue::sizeUpTo(const ServiceName &service, WaitingRank rank) const
{
    std::size_t n = 0;
    for (auto it : {WaitingRank::Urgent, WaitingRank::Resume, WaitingRank::Patient}) {
        const RankQueue *queue = it <= rank ? find(service, it) : nullptr;
        if (!queue)
            continue;
        for (const auto &[workspace, lane] : queue->lanes)
            n += lane.items.size();
    }
    return n;
}

const AdmissionQueue::RankQueue *AdmissionQueue::find(const ServiceName &service, WaitingRank rank) const
{
    auto it = m_services.find(service);
    if (it == m_services.end())
        return nullptr;
    auto found = it->second.find(rank);
    return found == it->second.end() ? nullptr : &found->second;
}

void AdmissionQueue::dropIfEmpty(const ServiceName &service)
{
    auto it = m_services.find(service);
    const bool empty = std::ranges::all_of(it->second, [](const auto &entry) {
        return detail::earliestLane(entry.second.lanes) == entry.second.lanes.end();
    });
    if (empty)
        m_services.erase(it);
}

} // namespace Wisteria
