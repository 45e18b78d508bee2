// Sums and the search for room.

#include <LibNet/MemoryAccount.h>

#include <algorithm>
#include <vector>

namespace Wisteria {

namespace detail {

// What the one answer that is received without room may add to a full account: a string of 4 MiB, the largest
// answer, that has doubled its capacity. Small requests are still taken then.
constexpr std::size_t answerOverdraftBytes = std::size_t{8} << 20U;

} // namespace detail

MemoryAccount &MemoryAccount::ofThread()
{
    static thread_local MemoryAccount account;
    return account;
}

void MemoryAccount::makeRoomFor(MemoryHolder &holder, absl::Time now)
{
    const auto ownBytes = holder.holding(now).bytes;
    if (hasRoomFor(ownBytes) || isAlone(ownBytes))
        return;
    if (ownBytes <= smallBytes && m_used - m_capacity <= detail::answerOverdraftBytes)
        return;
    shedUntil(limitFor(ownBytes) - m_capacity / roomDivisor, now);
    if (!m_holders.contains(&holder))
        return;
    const auto bytesLeft = holder.holding(now).bytes;
    if (!hasRoomFor(bytesLeft) && !isAlone(bytesLeft))
        holder.shed(ShedReason::LargeRequest);
}

void MemoryAccount::makeRoomForAnswers(absl::Time now)
{
    if (now < m_nextSearchAt)
        return;
    m_nextSearchAt = now + searchInterval;
    shedUntil(limitFor(unlimited) - m_capacity / roomDivisor, now);
}

void MemoryAccount::shedUntil(std::size_t maxUsed, absl::Time now)
{
    if (m_used <= maxUsed)
        return;
    const std::vector<MemoryHolder *> holders(m_holders.begin(), m_holders.end());
    std::vector<MemoryHolding> holdings;
    holdings.reserve(holders.size());
    for (auto *it : holders)
        holdings.push_back(it->holding(now));
    for (const auto &it : MemoryPressure::choose(holdings, m_used - maxUsed, now)) {
        // An end may have ended others.
        if (m_holders.contains(holders[it.holding]))
            holders[it.holding]->shed(it.reason);
    }
}

bool MemoryAccount::isAlone(std::size_t ownBytes) const
{
    return m_used <= m_capacity && m_used - std::min(m_used, ownBytes) <= m_capacity / reserveDivisor;
}

bool MemoryAccount::tryReceiveWithoutRoom(const void *receiver)
{
    if (!m_receiverWithoutRoom && m_used <= m_capacity - m_capacity / (2 * reserveDivisor))
        m_receiverWithoutRoom = receiver;
    return m_receiverWithoutRoom == receiver;
}

void MemoryAccount::endReceivingWithoutRoom(const void *receiver)
{
    if (m_receiverWithoutRoom == receiver)
        m_receiverWithoutRoom = nullptr;
}

void MemoryReservation::resize(std::size_t bytes)
{
    m_account.m_used += bytes - m_bytes;
    m_account.m_peak = std::max(m_account.m_peak, m_account.m_used);
    m_bytes = bytes;
}

} // namespace Wisteria
