// How a gateway divides the memory and the descriptors of its machine. Pure.

#pragma once

#include <LibGateway/ListenerRoles.h>

#include <cstddef>
#include <cstdint>

namespace Wisteria {

// Bytes that clients and targets may make the process hold (MemoryAccount), of a machine with so many MB.
// Unlimited for zero.
[[nodiscard]] std::size_t memoryAccountCapacity(double limitMb);

// Open connections of a listener with these roles, of a process with so many descriptors. Unlimited for zero.
[[nodiscard]] std::size_t maxListenerConnections(std::uint32_t descriptors, const ListenerRoles &);

// Connections to targets beyond which idle ones are closed. Unlimited for zero.
[[nodiscard]] std::size_t maxKeptTargetConnections(std::uint32_t descriptors);

} // namespace Wisteria
