// Counts the bytes that clients and targets make an event loop hold, and makes room when there are too many.

#pragma once

#include <LibNet/MemoryPressure.h>

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <limits>

namespace Wisteria {

// A connection whose bytes are counted and that may be asked to end.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;
    [[nodiscard]] virtual MemoryHolding holding(absl::Time now) = 0;
    // Rejects the request or closes the connection. The holder may be destroyed within the call.
    virtual void shed(ShedReason) = 0;
};

// All calls are made by the thread of the event loop.
class MemoryAccount
{
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    // A holder of no more than this may use the reserve, too: ordinary requests and answers.
    static constexpr std::size_t smallBytes = std::size_t{64} << 10U;
    // The fraction of the capacity that holders of more share. The rest is the reserve.
    static constexpr std::size_t reserveDivisor = 4;
    // Room is made for this fraction of the capacity at once, so that the search for it, which looks at all
    // connections, is rare.
    static constexpr std::size_t roomDivisor = 16;

    static constexpr absl::Duration searchInterval = absl::Milliseconds(100);

    // The account of the calling thread, which runs one event loop.
    [[nodiscard]] static MemoryAccount &ofThread();

    void setCapacity(std::size_t bytes) { m_capacity = bytes; }
    [[nodiscard]] std::size_t capacity() const { return m_capacity; }
    [[nodiscard]] std::size_t used() const { return m_used; }
    [[nodiscard]] std::size_t peak() const { return m_peak; }

    // Whether a holder of so many bytes may go on. Its bytes are in the account already.
    [[nodiscard]] bool hasRoomFor(std::size_t ownBytes) const { return m_used <= limitFor(ownBytes); }
    // Sheds connections until there is room for the holder, which has an incomplete request, and at last the
    // holder itself. A holder that is almost alone may use the reserve. A call that looks at all connections
    // sheds at least one of them, so that a crowd pays for it with its connections.
    void makeRoomFor(MemoryHolder &, absl::Time now);

    // The same for answers that wait to be received, at most once in each `searchInterval`.
    void makeRoomForAnswers(absl::Time now);

    // One large answer of a target at a time is received from the reserve, so that answers that wait for room
    // can't all wait for each other. It begins only while half of the reserve is free. Returns whether the
    // receiver is the one.
    [[nodiscard]] bool tryReceiveWithoutRoom(const void *receiver);
    void endReceivingWithoutRoom(const void *receiver);

    void add(MemoryHolder &holder) { m_holders.insert(&holder); }
    void remove(MemoryHolder &holder) { m_holders.erase(&holder); }

private:
    [[nodiscard]] std::size_t limitFor(std::size_t ownBytes) const
    {
        return ownBytes <= smallBytes ? m_capacity : m_capacity - m_capacity / reserveDivisor;
    }

    // Sheds connections until no more than so many bytes are used, or none may be shed.
    void shedUntil(std::size_t maxUsed, absl::Time now);
    // The others hold no more than the reserve, and the capacity suffices.
    [[nodiscard]] bool isAlone(std::size_t ownBytes) const;

    std::size_t m_capacity{unlimited};
    std::size_t m_used{0};
    std::size_t m_peak{0};
    absl::flat_hash_set<MemoryHolder *> m_holders;
    absl::Time m_nextSearchAt{absl::InfinitePast()};
    // Null if there is none.
    const void *m_receiverWithoutRoom{nullptr};

    friend class MemoryReservation;
};

// Bytes in the account for as long as this lives.
class MemoryReservation
{
public:
    explicit MemoryReservation(MemoryAccount &account = MemoryAccount::ofThread()) : m_account(account) { }
    ~MemoryReservation() { resize(0); }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    // Never fails: the bytes have been allocated.
    void resize(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    MemoryAccount &m_account;
    std::size_t m_bytes{0};
};

} // namespace Wisteria
