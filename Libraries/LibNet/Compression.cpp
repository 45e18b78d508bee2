// Whole buffers through zlib.

#include <LibNet/Compression.h>

#include <LibCore/Verify.h>

#include <zlib.h>

#include <algorithm>

namespace Wisteria {

namespace detail {

// Ends an inflation on each way out.
class Inflation
{
public:
    Inflation() { VERIFY(inflateInit(&m_stream) == Z_OK); }
    ~Inflation() { inflateEnd(&m_stream); }
    Inflation(const Inflation &) = delete;
    Inflation &operator=(const Inflation &) = delete;

    z_stream &stream() { return m_stream; }

private:
    z_stream m_stream{};
};

const Bytef *inputBytes(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *outputBytes(char *data)
{
    return reinterpret_cast<Bytef *>(data);
}

} // namespace detail

std::string compressBytes(std::string_view bytes)
{
    auto size = compressBound(bytes.size());
    std::string out(size, '\0');
    VERIFY(compress2(detail::outputBytes(out.data()), &size, detail::inputBytes(bytes), bytes.size(),
                     Z_BEST_SPEED)
           == Z_OK);
    out.resize(size);
    return out;
}

ErrorOr<std::string> expandBytes(std::string_view bytes, std::size_t maxBytes)
{
    detail::Inflation inflation;
    auto &stream = inflation.stream();
    stream.next_in = const_cast<Bytef *>(detail::inputBytes(bytes));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string out;
    std::string buf(std::size_t{64} << 10U, '\0');
    int result = Z_OK;
    while (result == Z_OK) {
        stream.next_out = detail::outputBytes(buf.data());
        stream.avail_out = static_cast<uInt>(buf.size());
        result = inflate(&stream, Z_NO_FLUSH);
        out.append(buf, 0, buf.size() - stream.avail_out);
        if (out.size() > maxBytes)
            return makeError(ErrorCode::InvalidRequest, "expanded bytes are too many");
    }
    if (result != Z_STREAM_END)
        return makeError(ErrorCode::InvalidRequest, "damaged or incomplete compressed bytes");
    return out;
}

} // namespace Wisteria
