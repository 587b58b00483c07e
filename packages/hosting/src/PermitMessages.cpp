#include "PermitMessages.h"

#include "cicadalb/base/CborRecord.h"

#include <cmath>

namespace cicadalb {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

} // namespace

std::string encodePermitRequest(const PermitRequest& request)
{
    return toCbor({ { "host", request.host.value() }, { "target", request.target.id.value() }, { "started-at", request.target.startedAt }, { "requests-per-second", request.requestsPerSecond },
        { "maximum-wait-ms", request.maximumWait.count() } });
}

Result<PermitRequest> decodePermitRequest(std::string_view body)
{
    return readCbor<PermitRequest>(body, "permit message", [](const Json& json) -> Result<PermitRequest> {
        PermitRequest request;
        request.host = HostId(json.at("host").get<std::string>());
        request.target = { TargetId(json.at("target").get<std::string>()), json.at("started-at").get<Incarnation>() };
        request.requestsPerSecond = json.at("requests-per-second").get<double>();
        if (!std::isfinite(request.requestsPerSecond) || request.requestsPerSecond < 0)
            return failure(ErrorCode::RecordInvalid, "the rate is not a finite number of at least 0", "permit message");
        request.maximumWait = milliseconds(json.at("maximum-wait-ms").get<std::int64_t>());
        return request;
    });
}

std::string encodePermitReply(const PermitReply& reply)
{
    return toCbor({ { "granting", reply.isGranting }, { "permits", reply.permits }, { "wait-ms", reply.wait.count() }, { "hosts", reply.hosts } });
}

Result<PermitReply> decodePermitReply(std::string_view body)
{
    return readCbor<PermitReply>(body, "permit message", [](const Json& json) {
        PermitReply reply;
        reply.isGranting = json.at("granting").get<bool>();
        reply.permits = json.at("permits").get<unsigned>();
        reply.wait = milliseconds(json.at("wait-ms").get<std::int64_t>());
        reply.hosts = json.at("hosts").get<unsigned>();
        return reply;
    });
}

} // namespace cicadalb
