// A body of the parser that holds what has arrived. Beast's string_body allocates the announced length at
// once, which fails for a length that no memory holds.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
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

        void init(const boost::optional<std::uint64_t> &, boost::beast::error_code &ec) { ec = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &ec)
        {
            ec = {};
            std::size_t total = 0;
            for (const auto it : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(it.data()), it.size());
                total += it.size();
            }
            return total;
        }

        void finish(boost::beast::error_code &ec) { ec = {}; }

    private:
        value_type &m_body;
    };
};

} // namespace Wisteria
