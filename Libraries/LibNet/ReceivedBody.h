// A body of the parser that holds what has arrived. Beast's string_body allocates the announced length at
// once, which fails for a length that no memory holds, and lets a peer take up memory by announcing alone.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace Wisteria {

// The nested names are those of Beast's Body and BodyReader.
struct ReceivedBody
{
    // NOLINTNEXTLINE(readability-identifier-naming)
    using value_type = std::string;

    // NOLINTNEXTLINE(readability-identifier-naming)
    class reader
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body) : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &ec)
        {
            if (length)
                m_length = static_cast<std::size_t>(
                    std::min<std::uint64_t>(*length, std::numeric_limits<std::size_t>::max()));
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &ec)
        {
            ec = {};
            std::size_t total = 0;
            for (const auto it : boost::beast::buffers_range_ref(buffers)) {
                grow(it.size());
                m_body.append(static_cast<const char *>(it.data()), it.size());
                total += it.size();
            }
            return total;
        }

        void finish(boost::beast::error_code &ec) { ec = {}; }

    private:
        // Grows by half, but not beyond the announced length. The string itself would double its capacity.
        void grow(std::size_t bytes)
        {
            const auto needed = m_body.size() + bytes;
            if (needed <= m_body.capacity() || needed <= minGrownBytes)
                return;
            const auto half = m_body.capacity() + m_body.capacity() / 2;
            value_type grown;
            grown.reserve(std::max(needed, std::min(half, m_length)));
            grown.append(m_body);
            m_body.swap(grown);
        }

        // Smaller bodies grow as strings do.
        static constexpr std::size_t minGrownBytes = std::size_t{16} << 10U;

        value_type &m_body;
        // Announced length; the largest number if there is none.
        std::size_t m_length{std::numeric_limits<std::size_t>::max()};
    };
};

} // namespace Wisteria
