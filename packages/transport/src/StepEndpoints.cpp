#include "StepEndpoints.h"

#include "Problem.h"
#include "RunOn.h"

#include "cicadalb/rollout/StepJson.h"
#include "cicadalb/services/DocumentMemory.h"
#include "cicadalb/transport/RequestDispatcher.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view pathPrefix = "/v1/trainers/";
    constexpr unsigned statusOk = 200;
    constexpr auto retryAfter = std::chrono::milliseconds(500);
    /// Longest wait for another host's response: the longest wait of a pull plus the network round trip.
    constexpr auto forwardTimeout = std::chrono::seconds(35);

    PeerRequestKind peerKind(StepOperation operation)
    {
        return operation == StepOperation::Submit ? PeerRequestKind::SubmitStep : PeerRequestKind::PullBatch;
    }

    nlohmann::json toMessage(const StepRequest& request)
    {
        return { { "trainer", request.key.trainer.value() }, { "step", request.key.step }, { "body", request.body } };
    }

    Result<StepRequest> fromMessage(PeerRequestKind kind, const nlohmann::json& message)
    {
        const bool isValid = message.is_object() && message.contains("trainer") && message["trainer"].is_string()
            && message.contains("step") && message["step"].is_number_unsigned() && message.contains("body") && message["body"].is_string();
        if (!isValid)
            return failure(ErrorCode::MessageInvalid, "a required member is missing or has the wrong type", "step request");
        StepRequest request;
        request.operation = kind == PeerRequestKind::SubmitStep ? StepOperation::Submit : StepOperation::Pull;
        request.key = StepKey { TrainerName(message["trainer"].get<std::string>()), message["step"].get<StepNumber>() };
        request.body = message["body"].get<std::string>();
        return request;
    }

    std::string coordinatorKey(const StepKey& key)
    {
        return "step/" + key.trainer.value() + "/" + std::to_string(key.step);
    }

    bool isRetryable(ErrorCode code)
    {
        return httpStatus(code) >= 500;
    }

} // namespace

StepEndpoints::StepEndpoints(HostId self, asio::any_io_executor controlExecutor, StepService& steps, const RoutingTable& routing, AssignmentSource assignment, PeerClient& peers)
    : m_self(std::move(self))
    , m_controlExecutor(std::move(controlExecutor))
    , m_steps(steps)
    , m_routing(routing)
    , m_currentAssignment(std::move(assignment))
    , m_peers(peers)
{
}

bool StepEndpoints::handles(const ServerRequest& request)
{
    return request.path.compare(0, pathPrefix.size(), pathPrefix) == 0;
}

Result<StepRequest> StepEndpoints::parseRequest(const ServerRequest& request) const
{
    std::vector<std::string> parts;
    const auto rest = request.path.substr(pathPrefix.size());
    boost::algorithm::split(parts, rest, boost::algorithm::is_any_of("/"));
    const bool isSubmit = parts.size() == 3 && parts[1] == "steps" && request.method == "PUT";
    const bool isPull = parts.size() == 4 && parts[1] == "steps" && parts[3] == "pull" && request.method == "POST";
    StepRequest step;
    if ((!isSubmit && !isPull) || !boost::conversion::try_lexical_convert(parts[2], step.key.step))
        return failure(ErrorCode::RouteUnknown, "expected PUT .../steps/{number} or POST .../steps/{number}/pull", request.path);
    const auto snapshot = m_routing.snapshot();
    if (!snapshot)
        return failure(ErrorCode::Unavailable, "no configuration has been accepted yet", "host");
    const auto trainer = snapshot->matcher.trainerByToken(bearerToken(request));
    if (!trainer || trainer.value().value() != parts[0])
        return failure(ErrorCode::TrainerUnknown, "the token does not belong to this trainer", "trainer " + parts[0]);
    step.operation = isSubmit ? StepOperation::Submit : StepOperation::Pull;
    step.key.trainer = trainer.value();
    step.body = request.body;
    return step;
}

Task<void> StepEndpoints::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto memory = reserveDocument("step", jsonDocumentBytes(request.body) + request.body.size());
    if (!memory) {
        co_await responder.send(overloadResponse());
        co_return;
    }
    auto step = parseRequest(request);
    Result<std::string> body = std::string();
    if (step)
        body = co_await perform(std::move(step.value()));
    else
        body = step.as_failure();
    if (!body) {
        ProblemDetails details;
        details.retryAfter = isRetryable(body.error().code) ? retryAfter : Duration::zero();
        details.runState = body.error().code == ErrorCode::OutcomeUnknown ? RunState::Unknown : RunState::NotSent;
        co_await responder.send(problemResponse(body.error(), details));
        co_return;
    }
    HttpResponse response;
    response.status = statusOk;
    response.fields.emplace_back("Content-Type", "application/json");
    response.fields.emplace_back(runStateField, name(RunState::Answered));
    response.body = std::move(body.value());
    co_await responder.send(std::move(response));
}

Task<Result<std::string>> StepEndpoints::perform(StepRequest request)
{
    const auto assignment = m_currentAssignment();
    const auto* coordinator = assignment->hostOf(coordinatorKey(request.key));
    if (!coordinator || coordinator->id == m_self) {
        auto result = co_await runOn(m_controlExecutor, performLocally(std::move(request)));
        co_return result;
    }
    auto reply = co_await m_peers.request(coordinator->id, peerKind(request.operation), toMessage(request), forwardTimeout);
    if (!reply)
        co_return reply.as_failure();
    co_return reply.value().get<std::string>();
}

Task<Result<nlohmann::json>> StepEndpoints::serveForwarded(PeerRequestKind kind, nlohmann::json body)
{
    auto request = fromMessage(kind, body);
    if (!request)
        co_return request.as_failure();
    auto result = co_await performLocally(std::move(request.value()));
    if (!result)
        co_return result.as_failure();
    co_return nlohmann::json(std::move(result.value()));
}

Task<Result<std::string>> StepEndpoints::performLocally(StepRequest request)
{
    if (request.operation == StepOperation::Submit)
        return submitLocally(std::move(request));
    return pullLocally(std::move(request));
}

Task<Result<std::string>> StepEndpoints::submitLocally(StepRequest request)
{
    auto spec = stepSpecFromJson(request.key, request.body);
    if (!spec)
        co_return spec.as_failure();
    const auto snapshot = m_routing.snapshot();
    const auto* route = snapshot ? snapshot->matcher.trainerRoute(request.key.trainer) : nullptr;
    if (!route)
        co_return failure(ErrorCode::TrainerUnknown, "no route serves the trainer", "trainer " + request.key.trainer.value());
    StepSchedulingOptions scheduling;
    scheduling.pool = route->pool;
    for (const auto& trainer : snapshot->matcher.tables().trainers) {
        if (trainer.name != request.key.trainer)
            continue;
        scheduling.share = trainer.share;
        scheduling.stalenessWeight = trainer.stalenessWeight;
        spec.value().stalenessBound = std::min(spec.value().stalenessBound, trainer.stalenessBound);
    }
    const auto receipt = m_steps.submit(std::move(spec.value()), scheduling);
    if (!receipt)
        co_return receipt.as_failure();
    co_return toJson(receipt.value());
}

Task<Result<std::string>> StepEndpoints::pullLocally(StepRequest request)
{
    auto pull = pullRequestFromJson(request.key.step, request.body);
    if (!pull)
        co_return pull.as_failure();
    auto batch = co_await m_steps.pull(request.key, std::move(pull.value()));
    if (!batch)
        co_return batch.as_failure();
    co_return toJson(batch.value());
}

} // namespace cicadalb
