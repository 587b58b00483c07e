#include "PeerProof.h"

#include "cicadalb/base/Hash.h"

#include <boost/algorithm/hex.hpp>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <iterator>

namespace cicadalb::detail {

namespace {

    constexpr std::size_t nonceBytes = 32;

    std::string proof(const char* role, const std::string& secret, const PeerHandshake& handshake)
    {
        const auto text = nlohmann::json::array({ "cicadalb-peer-1", role,
            handshake.listener.host, handshake.listener.incarnation, handshake.listenerNonce,
            handshake.connector.host, handshake.connector.incarnation, handshake.connectorNonce });
        return hmacHex(secret, text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

} // namespace

std::string randomNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        std::abort();
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

std::string connectorProof(const std::string& secret, const PeerHandshake& handshake) { return proof("connector", secret, handshake); }

std::string listenerProof(const std::string& secret, const PeerHandshake& handshake) { return proof("listener", secret, handshake); }

} // namespace cicadalb::detail
