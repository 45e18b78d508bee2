// Bounds the bytes of an answer outside its body: status line, fields, interim answers, chunk sizes and
// extensions, and trailers.

#pragma once

#include <algorithm>
#include <cstddef>

namespace Wisteria {

class FramingLimit
{
public:
    // Framing bytes that need no body.
    static constexpr std::size_t maxFramingBytes = std::size_t{64} << 10U;
    // Framing bytes that come with each byte of body. The shortest chunk has five for its one byte.
    static constexpr std::size_t framingBytesPerBodyByte = 8;
    static constexpr int maxInterimAnswers = 32;

    void add(std::size_t framingBytes, std::size_t bodyBytes)
    {
        m_excessBytes += framingBytes;
        // Body bytes don't allow for framing bytes that follow later.
        m_excessBytes -= std::min(m_excessBytes, bodyBytes * framingBytesPerBodyByte);
    }
    void addInterimAnswer() { ++m_interimAnswers; }
    // `bufferedBytes` were read and wait for the rest of their line.
    [[nodiscard]] bool isExceeded(std::size_t bufferedBytes) const
    {
        return m_excessBytes + bufferedBytes > maxFramingBytes || m_interimAnswers > maxInterimAnswers;
    }

private:
    std::size_t m_excessBytes{0};
    int m_interimAnswers{0};
};

} // namespace Wisteria
