#include "cicadalb/rollout/StepCursor.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>
#include <vector>

namespace cicadalb {

std::string toHex(const SampleBitmap& bitmap)
{
    std::vector<std::uint8_t> bytes;
    boost::to_block_range(bitmap, std::back_inserter(bytes));
    std::string hex;
    boost::algorithm::hex_lower(bytes, std::back_inserter(hex));
    return hex;
}

Result<SampleBitmap> bitmapFromHex(std::string_view hex, std::size_t size)
{
    std::vector<std::uint8_t> bytes;
    try {
        boost::algorithm::unhex(hex.begin(), hex.end(), std::back_inserter(bytes));
    } catch (const boost::algorithm::hex_decode_error&) {
        return failure(ErrorCode::CursorInvalid, "the bitmap is not hexadecimal", "cursor.received");
    }
    SampleBitmap bitmap(bytes.begin(), bytes.end());
    if (bytes.size() != (size + 7) / 8 || bitmap.find_next(size - 1) != SampleBitmap::npos)
        return failure(ErrorCode::CursorInvalid, "the bitmap's length does not match the number of samples", "cursor.received");
    bitmap.resize(size);
    return bitmap;
}

} // namespace cicadalb
