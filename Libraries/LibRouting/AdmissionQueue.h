// Requests that wait for a slot, by service. Urgent ones go first, then generations that lost their stream,
// then patient requests. Within a rank, workspaces take turns by their weight (start-time fair queueing).

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
    // The generation that is served next. It stays in the queue.
    [[nodiscard]] std::optional<GenerationId> front(const ServiceName &, QueuePriority) const;
    // Takes the front out and charges its workspace.
    void pop(const ServiceName &, QueuePriority);
    // Takes a generation out without charge. Unknown ones are ignored.
    void remove(const ServiceName &, const GenerationId &);

    [[nodiscard]] std::vector<ServiceName> services() const;
    [[nodiscard]] std::size_t size(QueuePriority) const;
    // Requests of the service that are served before a new one of the rank, as far as ranks decide.
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
        // Virtual time at which the lane's front may start. An empty lane keeps it, so that a workspace
        // cannot shed its charge by asking for one thing at a time.
        double startTag{0};
    };
    struct FairQueue
    {
        std::map<WorkspaceName, Flow> flows;
        // Virtual time: the start of the item served last. A workspace that was idle begins here.
        double virtualTime{0};
    };
    using ServiceQueue = std::map<QueuePriority, FairQueue>;

    [[nodiscard]] const FairQueue *find(const ServiceName &, QueuePriority) const;
    void eraseIfEmpty(const ServiceName &);

    // Invariant: holds a service only while one of its requests waits.
    std::map<ServiceName, ServiceQueue> m_services;
    std::map<QueuePriority, std::size_t> m_sizes;
};

} // namespace Wisteria
