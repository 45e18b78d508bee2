// Random numbers are handed in, so that a decision replays bit for bit from its seed.

#pragma once

#include <cstdint>
#include <random>

namespace Wisteria {

class RandomSource
{
public:
    virtual ~RandomSource() = default;

    // A uniformly distributed 64-bit number.
    [[nodiscard]] virtual std::uint64_t next() = 0;

    // A uniformly distributed number in [0, bound). The bound must be positive.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    // A uniformly distributed number in [0, 1).
    [[nodiscard]] double fraction()
    {
        // As many of the upper bits as a double holds exactly.
        return static_cast<double>(next() >> 11U) * 0x1p-53;
    }
};

// A Mersenne Twister with a seed chosen by the host.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }

    [[nodiscard]] std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Wisteria
