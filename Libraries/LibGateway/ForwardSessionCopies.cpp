// Executes the actions of KvCopyManager, which maintains copies of a running generation.

#include <LibGateway/ForwardSession.h>

#include <LibPlatform/MonotonicClock.h>

#include <boost/asio/post.hpp>

#include <absl/cleanup/cleanup.h>

namespace Wisteria {

namespace detail {

// Timeout of a copy request. Copying a whole generation takes milliseconds, but it may be queued behind other
// copies.
constexpr absl::Duration copyTimeout = absl::Milliseconds(1500);

std::string_view copyOutcomeName(CopyOutcome outcome)
{
    switch (outcome) {
    case CopyOutcome::Made:
        return "made";
    case CopyOutcome::Refused:
        return "refused";
    case CopyOutcome::Impossible:
        return "impossible";
    }
    return "unknown";
}

} // namespace detail

std::optional<CopySource> ForwardSession::findUsableCopy() const
{
    const auto &copy = m_copies.copy();
    if (!copy || !m_gatewayContext.targets.isHealthy(copy->holder, monotonicNow())
        || m_runStopper.isStopping(copy->holder))
        return std::nullopt;
    const auto *holder = m_gatewayContext.targets.find(copy->holder);
    if (!mayResumeAt(*holder))
        return std::nullopt;
    return CopySource{copy->handle.empty() ? holder->address : m_run->process().address, copy->handle};
}

void ForwardSession::sendControlRequest(const ForwardingTarget &record, const ControlRequest &request,
                                        HttpCallHandler handler)
{
    const auto now = monotonicNow();
    if (m_gatewayContext.targets.isBackingOff(record.id, now)
        || m_gatewayContext.targets.limitOf(record.id)) {
        boost::asio::post(m_gatewayContext.context, [handler = std::move(handler)] {
            handler(tl::unexpected(HttpFailure::NotConnected));
        });
        return;
    }
    sendPermittedControlRequest(record, request, std::move(handler));
}

void ForwardSession::sendPermittedControlRequest(const ForwardingTarget &record,
                                                 const ControlRequest &request, HttpCallHandler handler)
{
    m_gatewayContext.connections.sendControlRequest(
        record, request, detail::copyTimeout,
        [notices = std::weak_ptr(m_gatewayContext.notices), process = record.process(),
         sentAt = monotonicNow(), handler = std::move(handler)](HttpCallResult result) {
            if (const auto recorder = notices.lock(); recorder && result)
                recorder->record(process, result->head, sentAt, monotonicNow());
            handler(std::move(result));
        });
}

void ForwardSession::handleCopyEvent(const KvCopyEvent &event)
{
    for (const auto &it : m_copies.handle(event, monotonicNow()))
        std::visit([this](const auto &action) { perform(action); }, it);
}

void ForwardSession::perform(const KvCopyActions::CreateCopy &action)
{
    const auto now = monotonicNow();
    auto holder = action.holder;
    if (m_run) {
        const auto requirements = copyRequirements(m_run->target());
        const auto *known = holder ? m_gatewayContext.targets.find(*holder) : nullptr;
        if (!known || !m_gatewayContext.targets.isHealthy(*holder, now)
            || !requirements.versions.allows(known->version))
            holder = m_gatewayContext.targets.chooseCopyHolder(requirements, m_run->target(), now);
    }
    const auto *to = holder ? m_gatewayContext.targets.find(*holder) : nullptr;
    const auto *from = m_run ? m_gatewayContext.targets.find(m_run->target()) : nullptr;
    // A target that copies can't be asked to stop the run.
    if (!to || !from || m_run->hasEnded()) {
        boost::asio::post(m_gatewayContext.context, [self = shared_from_this(), call = action.callId] {
            self->handleCopyEvent(KvCopyEvents::CopyFailed{call});
        });
        return;
    }
    m_run->reserveCopy(holder, m_routed.request.size.memoryTokens());
    const auto controlRequest = m_gatewayContext.dialect.makeCopyRequest(m_routed.request.id, to->address);
    m_copyingProcesses.push_back(from->process());
    sendControlRequest(
        *from, controlRequest,
        [self = shared_from_this(), process = from->process(), holder = *holder,
         number = action.callId](const HttpCallResult &result) {
            if (self->m_forwardedRequest.isFinished())
                return;
            const absl::Cleanup copyEnded = [&] {
                std::erase(self->m_copyingProcesses, process);
                self->handleStopEvent(RunStopEvents::CopyEnded{process});
            };
            const auto answer =
                result ? self->m_gatewayContext.dialect.parseCopyResponse(*result) : CopyResponse{};
            self->log("copy",
                      {{"holder", holder.value()},
                       {"outcome", detail::copyOutcomeName(answer.outcome)},
                       {"handle", answer.handle},
                       {"status", result ? result->head.status : 0}});
            if (answer.outcome == CopyOutcome::Made)
                self->handleCopyEvent(KvCopyEvents::CopyCreated{number, holder, answer.handle});
            else if (answer.outcome == CopyOutcome::Impossible)
                self->handleCopyEvent(KvCopyEvents::CopyUnsupported{number});
            else
                self->handleCopyEvent(KvCopyEvents::CopyFailed{number});
        });
}

void ForwardSession::perform(const KvCopyActions::DeleteCopy &action)
{
    const auto *from = m_run ? m_gatewayContext.targets.find(m_run->target()) : nullptr;
    if (!from)
        return;
    // NOTE: The response is ignored because a copy that is not released expires on its own.
    sendControlRequest(*from, m_gatewayContext.dialect.makeCopyReleaseRequest(action.handle),
                       [](const HttpCallResult &) {});
}

void ForwardSession::perform(const KvCopyActions::SetTimer &action)
{
    m_copyTimer.expires_after(
        absl::ToChronoNanoseconds(std::max(action.at - monotonicNow(), absl::ZeroDuration())));
    m_copyTimer.async_wait([weak = weak_from_this()](const auto &ec) {
        if (auto self = weak.lock(); self && !ec)
            self->handleCopyEvent(KvCopyEvents::Tick{});
    });
}

} // namespace Wisteria
