#pragma once

#include "cicadalb/transport/HttpListener.h"

#include <functional>

namespace cicadalb {

/// @brief Keeps the response, and lets a test disconnect the caller.
class RecordingResponder final : public ServerResponder {
public:
    HttpResponse response;
    std::function<void()> disconnect;

    Task<bool> send(HttpResponse sent) override
    {
        response = std::move(sent);
        co_return true;
    }
    Task<bool> beginStream(HttpResponse) override { co_return false; }
    Task<bool> writeChunk(std::string_view) override { co_return false; }
    Task<bool> endStream(HttpFields) override { co_return false; }
    bool hasBegun() const noexcept override { return false; }
    void onCallerDisconnected(std::function<void()> handler) override { disconnect = std::move(handler); }
};

} // namespace cicadalb
