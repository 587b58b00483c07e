#include "WeightEndpoint.h"

#include "Problem.h"
#include "RunOn.h"

#include "cicadalb/services/DocumentMemory.h"
#include "cicadalb/transport/RequestDispatcher.h"

namespace cicadalb {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr auto retryAfter = std::chrono::seconds(1);

} // namespace

WeightEndpoint::WeightEndpoint(HostId self, boost::asio::any_io_executor controlExecutor, WeightRegistry& registry, const RoutingTable& routing)
    : m_self(std::move(self))
    , m_controlExecutor(std::move(controlExecutor))
    , m_registry(registry)
    , m_routing(routing)
{
}

bool WeightEndpoint::handles(const ServerRequest& request)
{
    return request.path == "/v1/weights" && request.method == "POST";
}

Result<WeightAnnouncement> WeightEndpoint::parseAnnouncement(const ServerRequest& request) const
{
    const auto snapshot = m_routing.snapshot();
    if (!snapshot)
        return failure(ErrorCode::Unavailable, "no configuration has been accepted yet", "host");
    const auto trainer = snapshot->matcher.trainerByToken(bearerToken(request));
    if (!trainer)
        return failure(ErrorCode::TrainerUnknown, "no trainer has this token", "Authorization");
    auto announcement = weightAnnouncementFromJson(request.body);
    if (!announcement)
        return announcement;
    const auto* route = snapshot->matcher.trainerRoute(trainer.value());
    const auto* pool = route ? snapshot->matcher.pool(route->pool) : nullptr;
    if (!pool || pool->model != announcement.value().model)
        return failure(ErrorCode::CallerNotAllowed, "the pool of the trainer's route does not serve this model", "body: model");
    if (announcement.value().isRollback)
        return failure(ErrorCode::CallerNotAllowed, "only an operator may order a rollback to older weights", "body: rollback");
    return announcement;
}

Task<void> WeightEndpoint::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto memory = reserveDocument("weight announcement", jsonDocumentBytes(request.body));
    if (!memory) {
        co_await responder.send(overloadResponse());
        co_return;
    }
    const auto announcement = parseAnnouncement(request);
    Result<WeightRecord> record = WeightRecord {};
    if (announcement) {
        const auto writer = m_self.value() + "-" + std::to_string(request.receivedAt.time_since_epoch().count()) + "-" + std::to_string(m_nextWriterNumber++);
        record = co_await runOn(m_controlExecutor, m_registry.announce(announcement.value(), writer));
    } else {
        record = announcement.as_failure();
    }
    if (!record) {
        ProblemDetails details;
        details.retryAfter = httpStatus(record.error().code) >= 500 ? Duration(retryAfter) : Duration::zero();
        details.runState = record.error().code == ErrorCode::OutcomeUnknown ? RunState::Unknown : RunState::NotSent;
        co_await responder.send(problemResponse(record.error(), details));
        co_return;
    }
    HttpResponse response;
    response.status = statusOk;
    response.fields.emplace_back("Content-Type", "application/json");
    response.fields.emplace_back(runStateField, name(RunState::Answered));
    response.body = toJson(record.value());
    co_await responder.send(std::move(response));
}

} // namespace cicadalb
