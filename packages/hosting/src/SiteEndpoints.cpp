#include "SiteEndpoints.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <algorithm>
#include <cstdio>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusAccepted = 202;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;

    /// When a request that found the store or the configuration away may come back.
    constexpr milliseconds dependencyRetryAfter { 300 };
    /// Results in one answer, in bytes of text: the platform allows a megabyte of results.
    constexpr std::size_t pageBytes = std::size_t { 900 } << 10U;

    std::string secondsText(Duration duration)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::max(0.0, std::chrono::duration<double>(duration).count()));
        return text.data();
    }

    HttpResponse jsonAnswer(std::string body)
    {
        HttpResponse response;
        response.status = statusOk;
        response.fields.emplace_back("Content-Type", "application/json");
        response.body = std::move(body);
        return response;
    }

    HttpRequest toHttpRequest(ServerRequest& request)
    {
        HttpRequest message;
        message.method = std::move(request.method);
        message.target = std::move(request.path);
        if (!request.query.empty())
            message.target += "?" + request.query;
        message.fields = std::move(request.fields);
        message.body = std::move(request.body);
        return message;
    }

    std::string_view authorityOf(const HttpRequest& request) { return fieldIn(request.fields, "Host"); }

    RunState runStateOf(ForwardState state)
    {
        switch (state) {
        case ForwardState::Answered:
            return RunState::Answered;
        case ForwardState::NotRun:
            return RunState::NotSent;
        case ForwardState::Unknown:
        case ForwardState::Abandoned:
            return RunState::Unknown;
        }
        return RunState::Unknown;
    }

} // namespace

SiteEndpoints::SiteEndpoints(SiteEndpointsOptions options, SiteDirectory& directory, const SiteProtocol& protocol, RequestForwarder& forwarder, SubmissionIntake& intake, ResultReader& reader, Metrics& metrics, const Clock& clock)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_protocol(protocol)
    , m_forwarder(forwarder)
    , m_intake(intake)
    , m_reader(reader)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_random(m_options.seed)
{
}

SiteEndpoints::Served SiteEndpoints::refused(unsigned status, std::string reason, Duration retryAfter) const
{
    Served served;
    served.response.status = status;
    served.response.fields.emplace_back("Content-Type", "text/plain");
    if (retryAfter > Duration::zero())
        served.response.fields.emplace_back("Retry-After", secondsText(retryAfter));
    served.response.body = reason + "\n";
    served.reason = std::move(reason);
    return served;
}

Task<void> SiteEndpoints::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto receivedAt = request.receivedAt;
    const auto message = toHttpRequest(request);
    const auto call = m_protocol.callerCall(message);
    if (call.kind == CallerCallKind::Ready) {
        HttpResponse response;
        response.status = isReady() ? statusOk : statusUnavailable;
        co_await responder.send(std::move(response));
        co_return;
    }
    auto served = co_await answer(message, call, receivedAt, responder);
    recordAnswer(message, call, served, m_clock.now() - receivedAt);
    co_await responder.send(std::move(served.response));
}

void SiteEndpoints::recordAnswer(const HttpRequest& request, const CallerCall& call, const Served& served, Duration latency)
{
    const auto view = m_directory.view();
    const auto id = call.kind == CallerCallKind::Routed ? m_protocol.attemptId(request.fields).value() : call.submission.value();
    const bool isRoutineRead = call.kind == CallerCallKind::ReadResults && served.response.status == statusOk;
    logEvent(isRoutineRead ? Event::ResultsServed : Event::RequestAnswered,
        { { "id", id }, { "method", request.method }, { "target", request.target }, { "route", served.route.value() },
            { "configuration", view ? std::to_string(view->configuration.version) : "none" }, { "status", std::to_string(served.response.status) },
            { "run-state", std::string(name(served.runState)) }, { "attempts", std::to_string(served.attempts) },
            { "ms", std::to_string(std::chrono::duration_cast<milliseconds>(latency).count()) }, { "reason", served.reason } });
    m_metrics.countRequest({ served.route, served.response.status, served.runState, latency });
}

Task<SiteEndpoints::Served> SiteEndpoints::answer(const HttpRequest& request, const CallerCall& call, TimePoint receivedAt, ServerResponder& responder)
{
    switch (call.kind) {
    case CallerCallKind::ReadResults:
        return readResults(call);
    case CallerCallKind::ReadItem:
        return readItem(call);
    case CallerCallKind::EndSubmission:
        return endSubmission(call);
    case CallerCallKind::Ready:
    case CallerCallKind::Routed:
        break;
    }
    return routed(request, receivedAt, responder);
}

Task<SiteEndpoints::Served> SiteEndpoints::routed(const HttpRequest& request, TimePoint receivedAt, ServerResponder& responder)
{
    const auto view = m_directory.view();
    if (!view)
        co_return refused(statusUnavailable, "this host knows no configuration yet", dependencyRetryAfter);
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto* route = view->routes.find(authorityOf(request), path);
    if (!route)
        co_return refused(statusNotFound, "no route has this authority and path", {});
    Served served;
    if (route->kind == RequestKind::Submission && request.method == "POST")
        served = co_await submit(request, *route);
    else
        served = co_await forward(request, view, *route, receivedAt, responder);
    served.route = route->name;
    co_return served;
}

Task<SiteEndpoints::Served> SiteEndpoints::forward(const HttpRequest& request, std::shared_ptr<const SiteView>, const SiteRoute& route, TimePoint receivedAt, ServerResponder& responder)
{
    ForwardRequest forwarded;
    forwarded.id = m_protocol.attemptId(request.fields);
    if (forwarded.id.isEmpty())
        co_return refused(statusBadRequest, "the request has no id", {});
    forwarded.route = &route;
    forwarded.pool = choosePool(route, randomUnit(m_random));
    // A host receives few requests for each target, and a new connection for each of them would take a place of the target for a while.
    forwarded.affinity = placementHash(m_options.host.value());
    const auto patience = m_protocol.callerPatience(request.fields).value_or(route.timeout);
    forwarded.deadline = receivedAt + (route.timeout.count() > 0 ? std::min(patience, route.timeout) : patience);
    forwarded.message = [this, &request](const AttemptTerms& terms) { return m_protocol.forwarded(request, terms); };
    forwarded.cancellation = std::make_shared<HttpCancellation>();
    responder.onCallerGone([cancellation = forwarded.cancellation] { cancellation->cancel(); });
    auto outcome = co_await m_forwarder.run(std::move(forwarded));
    Served served;
    if (outcome.state == ForwardState::Answered) {
        served.response.status = outcome.answer.status;
        served.response.fields = m_protocol.answerFields(outcome.answer.fields);
        served.response.body = std::move(outcome.answer.body);
    } else if (outcome.state == ForwardState::NotRun) {
        served = refused(statusUnavailable, "not run: " + outcome.cause, std::max<Duration>(outcome.retryAfter, milliseconds(1)));
    } else {
        const bool isTimeout = m_clock.now() >= receivedAt + patience;
        served = refused(isTimeout ? statusGatewayTimeout : statusBadGateway, "it may have run: " + outcome.cause, {});
    }
    served.runState = runStateOf(outcome.state);
    served.attempts = outcome.attempts;
    co_return served;
}

Task<SiteEndpoints::Served> SiteEndpoints::submit(const HttpRequest& request, const SiteRoute& route)
{
    auto submission = m_protocol.submission(request);
    if (!submission)
        co_return refused(statusBadRequest, submission.error().message, {});
    auto& accepted = submission.value();
    if (accepted.id.isEmpty() || accepted.id.value().size() > maximumIdLength)
        co_return refused(statusBadRequest, "the submission's id is missing or too long", {});
    accepted.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
    const auto outcome = co_await m_intake.accept(accepted);
    recordIntake(accepted, route, outcome);
    if (outcome == IntakeOutcome::NotAccepted)
        co_return refused(statusUnavailable, "the store did not take the submission", dependencyRetryAfter);
    if (outcome == IntakeOutcome::Unknown)
        co_return refused(statusGatewayTimeout, "the submission may be stored", {});
    Served served;
    served.response.status = statusAccepted;
    served.runState = RunState::Answered;
    co_return served;
}

void SiteEndpoints::recordIntake(const Submission& submission, const SiteRoute& route, IntakeOutcome outcome) const
{
    logEvent(outcome == IntakeOutcome::Accepted ? Event::SubmissionAccepted : Event::SubmissionRefused,
        { { "id", submission.id.value() }, { "route", route.name.value() }, { "model", submission.model.value() }, { "step", std::to_string(submission.step) },
            { "items", std::to_string(submission.items.size()) }, { "oldest-version", std::to_string(submission.oldestVersion) }, { "outcome", std::string(name(outcome)) } });
}

Task<SiteEndpoints::Served> SiteEndpoints::readResults(const CallerCall& call)
{
    const auto patience = m_isStopping ? milliseconds(0) : call.patience;
    const auto known = co_await m_reader.results(call.submission, call.position, patience);
    if (!known) {
        if (known.error().code == ErrorCode::StepUnknown)
            co_return refused(statusNotFound, known.error().message, {});
        co_return refused(statusUnavailable, known.error().message, dependencyRetryAfter);
    }
    const auto& entry = *known.value();
    std::vector<const SampleResult*> page;
    std::size_t bytes = 0;
    for (auto index = call.position; index < entry.results.size(); ++index) {
        bytes += entry.results[index].text.size();
        if (!page.empty() && bytes > pageBytes)
            break;
        page.push_back(&entry.results[index]);
    }
    Served served;
    served.response = jsonAnswer(m_protocol.resultsPage(entry.total.value_or(0), call.position, page));
    served.runState = RunState::Answered;
    co_return served;
}

Task<SiteEndpoints::Served> SiteEndpoints::readItem(const CallerCall& call)
{
    const auto submission = co_await m_reader.submission(call.submission);
    if (!submission) {
        const bool isAbsent = submission.error().code == ErrorCode::StepUnknown;
        co_return refused(isAbsent ? statusNotFound : statusUnavailable, submission.error().message, isAbsent ? milliseconds(0) : dependencyRetryAfter);
    }
    const auto& items = submission.value()->items;
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.id == call.item; });
    if (found == items.end())
        co_return refused(statusNotFound, "no such item", {});
    Served served;
    served.response.status = statusOk;
    served.response.fields.emplace_back("Content-Type", "application/octet-stream");
    served.response.body = found->body;
    served.runState = RunState::Answered;
    co_return served;
}

Task<SiteEndpoints::Served> SiteEndpoints::endSubmission(const CallerCall& call)
{
    const auto ended = co_await m_intake.end(call.submission);
    if (!ended) {
        // The mark may be written later, which does no harm: the trainer wants it.
        const bool isUnknown = ended.error().code == ErrorCode::OutcomeUnknown;
        co_return refused(isUnknown ? statusGatewayTimeout : statusUnavailable, ended.error().message, dependencyRetryAfter);
    }
    Served served;
    served.response.status = statusOk;
    served.runState = RunState::Answered;
    co_return served;
}

} // namespace cicadalb
