#include "cicadalb/base/Hash.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>
#include <iterator>

namespace cicadalb {

namespace {

    std::string hex(const unsigned char* bytes, unsigned length)
    {
        std::string text;
        boost::algorithm::hex_lower(bytes, bytes + length, std::back_inserter(text));
        return text;
    }

} // namespace

std::uint64_t placementHash(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return hex(digest.data(), length);
}

std::string hmacHex(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
    return hex(digest.data(), length);
}

bool equalConstantTime(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace cicadalb
