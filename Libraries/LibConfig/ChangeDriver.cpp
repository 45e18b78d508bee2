// The steps of one change. The names of the phases are those of Specs/Configuration.pml.

#include <LibConfig/ChangeDriver.h>
#include <LibConfig/Quorum.h>

#include <algorithm>

namespace Wisteria::detail {

namespace {

constexpr std::size_t maxQueuedChanges = 64;
// How long a change may take from its request to its answer.
constexpr absl::Duration changeTimeout = absl::Seconds(10);
// A store call without an outcome is repeated after this long.
constexpr absl::Duration storeCallTimeout = absl::Seconds(2);
// Routers that have not acknowledged a push are pushed to again.
constexpr absl::Duration pushInterval = absl::Milliseconds(700);

} // namespace

void ChangeDriver::request(const ConfigurationChange &change, absl::Time now, KeeperActions &actions)
{
    const auto isSame = [&](const Entry &it) { return it.change.changeId == change.changeId; };
    // A duplicate of a change under way shares its answer.
    if ((m_active && isSame(m_active->entry)) || std::any_of(m_queue.begin(), m_queue.end(), isSame))
        return;
    if (m_queue.size() >= maxQueuedChanges) {
        actions.emplace_back(
            AnswerChange{change.changeId, makeError(ErrorCode::Overloaded, "changes", changeTimeout)});
        return;
    }
    m_queue.push_back({change, now + changeTimeout});
    startNext(now, actions);
}

void ChangeDriver::startNext(absl::Time now, KeeperActions &actions)
{
    if (m_active || m_queue.empty())
        return;
    m_active = Active{.entry = std::move(m_queue.front())};
    m_queue.pop_front();
    read(ChangePhase::Reading, now, actions);
}

void ChangeDriver::read(ChangePhase phase, absl::Time now, KeeperActions &actions)
{
    m_active->phase = phase;
    m_active->calledAt = now;
    actions.emplace_back(ReadConfiguration{});
}

bool ChangeDriver::isWaitingForStore() const
{
    return m_active && m_active->phase != ChangePhase::Acknowledging
        && m_active->phase != ChangePhase::AcknowledgingBase;
}

void ChangeDriver::storeRead(const ConfigurationRead &event, const FleetConfiguration &held, absl::Time now,
                             KeeperActions &actions)
{
    if (!isWaitingForStore() || m_active->phase == ChangePhase::Writing)
        return;
    const auto base = event.configuration.value_or(FleetConfiguration{});
    // A store that is behind this router's copy is no base for a change: a version number would be used
    // twice.
    if (base.version < held.version)
        return;
    if (base.versionOfChange(m_active->entry.change.changeId)) {
        acknowledge(ChangePhase::Acknowledging, base, now, actions);
        return;
    }
    const bool mayStillLand =
        m_active->phase == ChangePhase::ReadingBack && event.objectVersion <= m_active->expected;
    if (mayStillLand) {
        // The lost write may yet take effect. Repeating the same conditional update lets at most one land.
        write(now, actions);
        return;
    }
    m_active->mayBeWritten = false;
    applyTo(base, event.objectVersion, now, actions);
}

void ChangeDriver::applyTo(const FleetConfiguration &base, ObjectVersion version, absl::Time now,
                           KeeperActions &actions)
{
    auto next = applyChange(base, m_active->entry.change);
    if (!next) {
        answer(tl::unexpected(std::move(next).error()), now, actions);
        return;
    }
    m_active->next = std::move(*next);
    m_active->expected = version;
    if (changesCountedList(m_active->entry.change.edit) && m_active->acknowledgedBase != base.version)
        acknowledge(ChangePhase::AcknowledgingBase, base, now, actions);
    else
        write(now, actions);
}

void ChangeDriver::readFailed(absl::Time now, KeeperActions &actions)
{
    // A read-back is repeated until the change's deadline, since its write may have taken effect.
    if (m_active && m_active->phase == ChangePhase::Reading)
        answer(makeError(ErrorCode::StoreUnavailable, "read", storeCallTimeout), now, actions);
}

void ChangeDriver::write(absl::Time now, KeeperActions &actions)
{
    m_active->phase = ChangePhase::Writing;
    m_active->calledAt = now;
    ++m_openWrites[m_active->entry.change.changeId];
    actions.emplace_back(
        WriteConfiguration{m_active->entry.change.changeId, m_active->next, m_active->expected});
}

bool ChangeDriver::closeWrite(const std::string &changeId)
{
    auto it = m_openWrites.find(changeId);
    if (it == m_openWrites.end())
        return true;
    if (--it->second > 0)
        return false;
    m_openWrites.erase(it);
    return true;
}

std::optional<FleetConfiguration> ChangeDriver::written(const ConfigurationWritten &event, absl::Time now,
                                                        KeeperActions &actions)
{
    const bool isLast = closeWrite(event.changeId);
    if (!m_active || m_active->phase != ChangePhase::Writing
        || m_active->entry.change.changeId != event.changeId)
        return std::nullopt;
    if (event.result)
        return m_active->next;
    const auto ec = event.result.error().code;
    // With another write on its way, a failure may be the result of either.
    if (ec == ErrorCode::StoreOutcomeUnknown || !isLast)
        m_active->mayBeWritten = true;
    if (ec == ErrorCode::StoreUnavailable && !m_active->mayBeWritten) {
        answer(makeError(ec, "write", storeCallTimeout), now, actions);
        return std::nullopt;
    }
    // Even a conflict is read back: an earlier try of this change may be what the update met.
    read(ChangePhase::ReadingBack, now, actions);
    return std::nullopt;
}

void ChangeDriver::beginAcknowledging(absl::Time now, KeeperActions &actions)
{
    acknowledge(ChangePhase::Acknowledging, FleetConfiguration(m_active->next), now, actions);
}

void ChangeDriver::acknowledge(ChangePhase phase, const FleetConfiguration &configuration, absl::Time now,
                               KeeperActions &actions)
{
    m_active->phase = phase;
    m_active->toAcknowledge = configuration;
    m_active->holders = {m_self};
    m_active->roundBegan = now;
    push(now, actions);
    checkAcknowledged(now, actions);
}

void ChangeDriver::push(absl::Time now, KeeperActions &actions)
{
    auto routers = acknowledgingRouters(m_active->toAcknowledge);
    std::erase_if(routers, [&](const auto &it) { return m_active->holders.contains(it.id); });
    m_active->pushedAt = now;
    if (!routers.empty())
        actions.emplace_back(PushConfiguration{m_active->toAcknowledge, std::move(routers), now});
}

void ChangeDriver::acknowledged(const PushAcknowledged &event, absl::Time now, KeeperActions &actions)
{
    if (!m_active || isWaitingForStore() || event.held < m_active->toAcknowledge.version)
        return;
    // An answer to an earlier round may come from a router that has restarted since.
    if (event.began < m_active->roundBegan)
        return;
    m_active->holders.insert(event.from);
    checkAcknowledged(now, actions);
}

void ChangeDriver::checkAcknowledged(absl::Time now, KeeperActions &actions)
{
    // Acknowledgements that are older than the window may have been forgotten by a restart.
    if (now - m_active->roundBegan > acknowledgementWindow)
        return;
    if (!isAcknowledged(m_active->toAcknowledge, m_active->holders))
        return;
    if (m_active->phase == ChangePhase::AcknowledgingBase) {
        m_active->acknowledgedBase = m_active->toAcknowledge.version;
        write(now, actions);
        return;
    }
    answer(*m_active->toAcknowledge.versionOfChange(m_active->entry.change.changeId), now, actions);
}

void ChangeDriver::answer(ErrorOr<ConfigVersion> result, absl::Time now, KeeperActions &actions)
{
    actions.emplace_back(AnswerChange{m_active->entry.change.changeId, std::move(result)});
    m_active.reset();
    startNext(now, actions);
}

void ChangeDriver::answerTimeout(absl::Time now, KeeperActions &actions)
{
    if (!isWaitingForStore())
        answer(makeError(ErrorCode::NotAcknowledged, "retry with the same change id", changeTimeout), now,
               actions);
    else if (m_active->mayBeWritten || m_active->phase == ChangePhase::Writing)
        answer(makeError(ErrorCode::StoreOutcomeUnknown, "retry with the same change id", changeTimeout), now,
               actions);
    else
        answer(makeError(ErrorCode::StoreUnavailable, "no effect", changeTimeout), now, actions);
}

void ChangeDriver::tick(absl::Time now, KeeperActions &actions)
{
    while (m_active && now >= m_active->entry.deadline)
        answerTimeout(now, actions);
    if (!m_active)
        return;
    if (isWaitingForStore()) {
        if (now - m_active->calledAt < storeCallTimeout)
            return;
        // NOTE: A write whose outcome never arrived counts as lost and is read back.
        if (m_active->phase == ChangePhase::Writing)
            m_active->mayBeWritten = true;
        const bool isReading = m_active->phase == ChangePhase::Reading;
        read(isReading ? ChangePhase::Reading : ChangePhase::ReadingBack, now, actions);
        return;
    }
    if (now - m_active->roundBegan > acknowledgementWindow)
        answerTimeout(now, actions);
    else if (now - m_active->pushedAt >= pushInterval)
        push(now, actions);
}

absl::Time ChangeDriver::nextWakeUp() const
{
    if (!m_active)
        return absl::InfiniteFuture();
    const auto next =
        isWaitingForStore() ? m_active->calledAt + storeCallTimeout : m_active->pushedAt + pushInterval;
    return std::min(next, m_active->entry.deadline);
}

} // namespace Wisteria::detail
