// Requests waiting for a slot, grouped by service. Urgent requests are served first, then generations that
// lost their stream, then patient requests. Within a priority, workspaces share capacity by weight
// (start-time fair queueing), except that resumed generations all have weight 1.

#pragma once

#include <LibCore/Ids.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Wisteria {

// In the order in which they are served.
enum class QueuePriority { Urgent, Resume, Patient };

class AdmissionQueue
{
public:
    void push(const ServiceName &, QueuePriority, const WorkspaceName &, double weight, const GenerationId &);
    // Returns the generation to serve next without removing it.
    [[nodiscard]] std::optional<GenerationId> front(const ServiceName &, QueuePriority) const;
    // Removes the front and charges its cost to its workspace.
    void pop(const ServiceName &, QueuePriority);
    // Removes a generation without charging its workspace. Ignores unknown generations.
    void remove(const ServiceName &, const GenerationId &);

    [[nodiscard]] std::vector<ServiceName> services() const;
    [[nodiscard]] std::size_t size(QueuePriority) const;
    // Number of requests of the service at this priority or above. Fair queueing may still serve a new
    // request of the same priority before some of them.
    [[nodiscard]] std::size_t sizeAtOrAbove(const ServiceName &, QueuePriority) const;
    [[nodiscard]] bool isEmpty() const { return m_services.empty(); }

private:
    struct Item
    {
        GenerationId generation;
        double cost{1};
    };
    struct Flow
    {
        std::deque<Item> items;
        // Virtual start time of the front item. It is kept while the flow is empty, so that a workspace can't
        // avoid its charge by queueing one request at a time. It is discarded once no request of the
        // service is queued.
        double startTag{0};
    };
    struct FairQueue
    {
        std::map<WorkspaceName, Flow> flows;
        // Start tag of the item served last. A workspace that becomes active again starts here.
        double virtualTime{0};
    };
    using ServiceQueue = std::map<QueuePriority, FairQueue>;

    [[nodiscard]] const FairQueue *find(const ServiceName &, QueuePriority) const;
    void eraseIfEmpty(const ServiceName &);

    // Invariant: contains a service only while one of its requests is queued.
    std::map<ServiceName, ServiceQueue> m_services;
    std::map<QueuePriority, std::size_t> m_sizes;
};

} // namespace Wisteria
