#include "SiteEndpoints.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/services/DocumentMemory.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <algorithm>
#include <cstdio>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusAccepted = 202;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusUnauthorized = 401;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;

    /// Retry-After of requests that failed because the store or the configuration was unavailable.
    constexpr milliseconds dependencyRetryAfter { 300 };
    /// Longest time for which the beginning of a stream waits for the store to record the software that began it.
    constexpr milliseconds maximumRecordWait { 1000 };
    /// Retry-After of requests that this host refuses because it stops; other hosts serve them.
    constexpr milliseconds stoppingRetryAfter { 1 };
    /// A repeatable request is taken while this host stops if so many times the route's target latency are left.
    constexpr int latencyObjectivesBeforeEnd = 2;
    /// Retry-After of submissions for which there is no memory.
    constexpr milliseconds overloadRetryAfter { 1000 };
    /// A submission is held as decoded items and, until the store has answered, as the record, in the transaction, and in the call's body in base64.
    constexpr std::size_t copiesOfSubmission = 6;
    /// Limit on the text in one page of results; the platform allows 1 MB of results.
    constexpr std::size_t maximumPageBytes = std::size_t { 900 } << 10U;

    /// The same text as for a submission that does not exist.
    constexpr std::string_view noSubmission = "no such submission";

    std::string formatSeconds(Duration duration)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::max(0.0, std::chrono::duration<double>(duration).count()));
        return text.data();
    }

    HttpResponse jsonResponse(std::string body)
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

    /// Whether the submissions of an authority need no key. Their later calls do not name the route.
    bool hasPublicSubmissions(const SiteView& view, std::string_view authority)
    {
        const auto& routes = view.configuration.routes;
        return std::any_of(routes.begin(), routes.end(), [&](const auto& route) { return route.isPublic && route.kind == RequestKind::Submission && route.authority == authority; });
    }

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

    std::string ageText(std::optional<Duration> age)
    {
        return age ? std::to_string(std::chrono::duration_cast<milliseconds>(*age).count()) : "unknown";
    }

} // namespace

SiteEndpoints::SiteEndpoints(SiteEndpointsOptions options, SiteDirectory& directory, const SiteProtocol& protocol, RequestForwarder& forwarder, SubmissionIntake& intake, ResultReader& reader, StreamOrigins& streamOrigins, Metrics& metrics, const Clock& clock, RequestRelay* relay)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_protocol(protocol)
    , m_forwarder(forwarder)
    , m_intake(intake)
    , m_reader(reader)
    , m_streamOrigins(streamOrigins)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_relay(relay)
    , m_keyChecks(directory, protocol, m_options.keyValidity)
    , m_random(m_options.seed)
{
}

SiteEndpoints::EndpointResult SiteEndpoints::makeRefusal(unsigned status, std::string reason, Duration retryAfter) const
{
    EndpointResult result;
    result.response.status = status;
    result.response.fields.emplace_back("Content-Type", "text/plain");
    if (retryAfter > Duration::zero())
        result.response.fields.emplace_back("Retry-After", formatSeconds(retryAfter));
    result.response.body = reason + "\n";
    result.reason = std::move(reason);
    return result;
}

Task<void> SiteEndpoints::serve(ServerRequest& request, ServerResponder& responder)
{
    const auto receivedAt = request.receivedAt;
    auto message = toHttpRequest(request);
    const auto call = m_protocol.callerRequest(message);
    if (call.kind == CallerRequestKind::Ready) {
        HttpResponse response;
        response.status = isReady() ? statusOk : statusUnavailable;
        co_await responder.send(std::move(response));
        co_return;
    }
    auto result = co_await dispatch(message, call, receivedAt, responder);
    recordAnswer(message, call, result, m_clock.now() - receivedAt);
    co_await responder.send(std::move(result.response));
}

void SiteEndpoints::recordAnswer(const HttpRequest& request, const CallerRequest& call, const EndpointResult& result, Duration latency)
{
    const auto view = m_directory.view();
    const auto id = call.kind == CallerRequestKind::Routed ? m_protocol.attemptId(request.fields).value() : call.submission.value();
    const bool isRoutineRead = call.kind == CallerRequestKind::ReadResults && result.response.status == statusOk;
    logEvent(isRoutineRead ? Event::ResultsServed : Event::RequestAnswered,
        { { "id", id }, { "method", request.method }, { "target", request.target }, { "route", result.route.value() },
            { "configuration", view ? std::to_string(view->configuration.version) : "none" }, { "configuration-age-ms", ageText(m_directory.configurationAge()) }, { "status", std::to_string(result.response.status) },
            { "run-state", std::string(name(result.runState)) }, { "attempts", std::to_string(result.attempts) },
            { "ms", std::to_string(std::chrono::duration_cast<milliseconds>(latency).count()) }, { "reason", result.reason } });
    m_metrics.countRequest({ result.route, result.response.status, result.runState, latency });
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::dispatch(HttpRequest& request, const CallerRequest& call, TimePoint receivedAt, ServerResponder& responder)
{
    if (call.kind == CallerRequestKind::Routed)
        return handleRouted(request, receivedAt, responder);
    return handleSubmissionCall(request, call);
}

std::optional<SiteEndpoints::EndpointResult> SiteEndpoints::checkKeys(const SiteView& view, bool isPublic, HttpFields& fields, KeyCheck& check)
{
    check = m_keyChecks.take(view, isPublic, fields);
    if (view.keys.areRequired())
        m_metrics.countKeyDecision(name(check.decision));
    if (KeyChecks::isPassed(check))
        return std::nullopt;
    logKeyRefusal(check, view.configuration.version);
    EndpointResult refusal;
    if (check.decision == KeyDecision::Undecided) {
        refusal = makeRefusal(statusUnavailable, "the request was not run: this host cannot know whether the key is valid", dependencyRetryAfter);
    } else {
        refusal = makeRefusal(statusUnauthorized, "the request needs one key of an organisation", {});
        refusal.response.fields.emplace_back("WWW-Authenticate", "Bearer");
    }
    // For the log only: the caller is not told.
    refusal.reason += "; digest=" + std::string(shortKeyDigest(check.digest));
    return refusal;
}

void SiteEndpoints::logKeyRefusal(const KeyCheck& check, std::uint64_t configuration)
{
    const KeyRefusal refusal { std::string(shortKeyDigest(check.digest)), check.decision, configuration };
    const auto line = m_keyRefusalLog.note(refusal, m_clock.now());
    if (!line)
        return;
    logEvent(Event::KeyRefused, { { "digest", refusal.digest }, { "decision", std::string(name(check.decision)) }, { "configuration", std::to_string(configuration) }, { "configuration-age-ms", ageText(m_directory.configurationAge()) }, { "requests", std::to_string(line->requests) }, { "several-keys", line->isOfSeveralKeys ? "yes" : "no" } });
}

bool SiteEndpoints::isOfOther(const SubmissionId& submission, const OrganisationName& owner, const KeyCheck& key) const
{
    const bool isOther = !owner.isEmpty() && owner != key.organisation;
    if (isOther)
        logEvent(Event::SubmissionOfOtherOrganisation, { { "id", submission.value() }, { "digest", std::string(shortKeyDigest(key.digest)) }, { "organisation", key.organisation.value() } });
    return isOther;
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::handleSubmissionCall(HttpRequest& request, const CallerRequest& call)
{
    using Handler = Task<EndpointResult> (SiteEndpoints::*)(const CallerRequest&, const KeyCheck&);
    static constexpr std::array<std::pair<CallerRequestKind, Handler>, 3> handlers { {
        { CallerRequestKind::ReadResults, &SiteEndpoints::readResults },
        { CallerRequestKind::ReadItem, &SiteEndpoints::readItem },
        { CallerRequestKind::EndSubmission, &SiteEndpoints::endSubmission },
    } };
    const auto view = m_directory.view();
    if (!view)
        co_return makeRefusal(statusUnavailable, "this host has not received a configuration yet", dependencyRetryAfter);
    // No submission has such an id. It is not looked up, since the reader keeps what it has looked up for a while.
    if (call.submission.value().size() > maximumIdLength)
        co_return makeRefusal(statusNotFound, std::string(noSubmission), {});
    KeyCheck key;
    if (auto refusal = checkKeys(*view, hasPublicSubmissions(*view, authorityOf(request)), request.fields, key))
        co_return std::move(*refusal);
    const auto handler = std::find_if(handlers.begin(), handlers.end(), [&](const auto& entry) { return entry.first == call.kind; });
    co_return co_await (this->*handler->second)(call, key);
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::handleRouted(HttpRequest& request, TimePoint receivedAt, ServerResponder& responder)
{
    const auto view = m_directory.view();
    if (!view)
        co_return makeRefusal(statusUnavailable, "this host has not received a configuration yet", dependencyRetryAfter);
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto* route = view->routes.find(authorityOf(request), path);
    if (!route && m_directory.mayLackConfiguration())
        co_return makeRefusal(statusUnavailable, "no route matches, and this host's configuration may be out of date", dependencyRetryAfter);
    if (!route)
        co_return makeRefusal(statusNotFound, "no route matches this authority and path", {});
    EndpointResult result;
    KeyCheck key;
    if (auto refusal = checkKeys(*view, route->isPublic, request.fields, key))
        result = std::move(*refusal);
    else if (route->kind == RequestKind::Submission && request.method == "POST")
        result = co_await submit(request, *view, *route, key);
    else
        result = co_await forward(request, view, *route, key, receivedAt, responder);
    result.route = route->name;
    co_return result;
}

Task<Result<std::optional<SoftwareRelease>>> SiteEndpoints::onlyRelease(const SiteRoute& route)
{
    const auto known = co_await m_streamOrigins.readDefault(route);
    if (!known)
        co_return known.as_failure();
    const auto& value = known.value();
    const auto registered = registeredReleases(m_directory.registry(), route);
    const bool isOnly = value && !value->isRetired && std::all_of(registered.begin(), registered.end(), [&](const auto& release) { return release == value->release; });
    if (!isOnly)
        co_return std::nullopt;
    // The registry of this host may lack targets that joined a moment ago, or have left since.
    const auto haveBegunElsewhere = co_await m_streamOrigins.haveBegunElsewhere(route);
    if (!haveBegunElsewhere)
        co_return haveBegunElsewhere.as_failure();
    co_return haveBegunElsewhere.value() ? std::nullopt : std::optional(value->release);
}

Task<std::optional<SiteEndpoints::EndpointResult>> SiteEndpoints::requireOrigin(ForwardRequest& request, const ContinuedStream& continued)
{
    if (!continued.lastEventId)
        co_return makeRefusal(statusBadRequest, "the number of the last event cannot be read", {});
    const bool isNamed = !continued.firstAttempt.isEmpty();
    Result<std::optional<SoftwareRelease>> origin = std::optional<SoftwareRelease>();
    if (isNamed)
        origin = co_await m_streamOrigins.find(*request.route, continued.firstAttempt);
    else
        origin = co_await onlyRelease(*request.route);
    if (!origin)
        co_return makeRefusal(statusUnavailable, "the request was not run: the software that began the stream cannot be looked up: " + origin.error().message, dependencyRetryAfter);
    const auto& release = origin.value();
    if (!release && !isNamed)
        co_return makeRefusal(statusBadRequest, "the request does not name the attempt that began the stream, and targets run several versions of their software", {});
    if (!release || release->version.isEmpty())
        co_return makeRefusal(statusUnavailable, "the request was not run: it is not known which software began the stream", {});
    if (!request.route->hasPool(release->pool))
        co_return makeRefusal(statusUnavailable, "the request was not run: the stream began in a pool that the route no longer has", {});
    request.requiredRelease = *release;
    request.pool = release->pool;
    co_return std::nullopt;
}

bool SiteEndpoints::fitsBeforeEnd(ForwardRequest& request) const
{
    if (!m_endsAt || request.deadline <= *m_endsAt)
        return true;
    const bool mayBeRepeated = request.route->kind == RequestKind::Idempotent;
    if (!mayBeRepeated || *m_endsAt - m_clock.now() < latencyObjectivesBeforeEnd * request.route->latencyObjective)
        return false;
    request.deadline = *m_endsAt;
    return true;
}

milliseconds SiteEndpoints::timeUntilEnd(milliseconds maximum) const
{
    return std::clamp(std::chrono::duration_cast<milliseconds>(*m_endsAt - m_clock.now()), milliseconds(0), maximum);
}

SiteEndpoints::EndpointResult SiteEndpoints::makeUnanswered(const ForwardOutcome& outcome, bool isTimeout) const
{
    const bool hasStopped = m_running.isCancelled();
    const auto cause = hasStopped ? "this host has stopped before a target answered" : outcome.cause;
    if (outcome.state == ForwardState::NotRun || (hasStopped && outcome.isKnownNotRun))
        return makeRefusal(statusUnavailable, "the request was not run: " + cause, std::max<Duration>(outcome.retryAfter, milliseconds(1)));
    return makeRefusal(isTimeout ? statusGatewayTimeout : statusBadGateway, "the request may have run: " + cause, {});
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::forward(const HttpRequest& request, std::shared_ptr<const SiteView> view, const SiteRoute& route, const KeyCheck& key, TimePoint receivedAt, ServerResponder& responder)
{
    auto forwarded = makeForwardRequest(request, route, m_protocol, key.organisation);
    forwarded.priority = key.priority;
    forwarded.mayBeSent = m_keyChecks.condition(key);
    if (forwarded.id.isEmpty())
        co_return makeRefusal(statusBadRequest, "the request has no id", {});
    const auto callerTimeout = m_protocol.callerTimeout(request.fields).value_or(route.timeout);
    forwarded.deadline = receivedAt + (route.timeout.count() > 0 ? std::min(callerTimeout, route.timeout) : callerTimeout);
    if (!fitsBeforeEnd(forwarded))
        co_return makeRefusal(statusUnavailable, "the request was not run: this host is stopping", stoppingRetryAfter);
    forwarded.pool = choosePool(route, randomUnit(m_random));
    const auto continued = route.kind == RequestKind::Stream ? m_protocol.continuedStream(request.fields) : std::nullopt;
    if (continued) {
        auto refusal = co_await requireOrigin(forwarded, *continued);
        if (refusal)
            co_return std::move(*refusal);
    }
    // A host sends few requests to each target, and a new connection for each request would occupy one of the target's connection slots for a while.
    forwarded.affinity = placementHash(m_options.host.value());
    if (m_relay) {
        forwarded.relay = [this, &request, &key, pool = forwarded.pool, version = view->configuration.version, release = forwarded.requiredRelease, deadline = forwarded.deadline,
                              cancellation = forwarded.cancellation](unsigned attemptsLeft) {
            return m_relay->send({ request, pool, version, {}, attemptsLeft, release, key.organisation, key.digest }, deadline, cancellation);
        };
    }
    responder.onCallerDisconnected([cancellation = forwarded.cancellation] { cancellation->cancel(); });
    const RunningRequests::Entry running(m_running, forwarded.cancellation);
    const auto attemptId = forwarded.id;
    auto outcome = co_await m_forwarder.forward(std::move(forwarded));
    EndpointResult result;
    if (outcome.state == ForwardState::Answered) {
        if (route.kind == RequestKind::Stream && !continued && outcome.answer.status == statusOk)
            (void)co_await m_streamOrigins.record(route, attemptId, outcome.release, m_endsAt ? timeUntilEnd(maximumRecordWait) : maximumRecordWait);
        result.response.status = outcome.answer.status;
        result.response.fields = m_protocol.answerFields(outcome.answer.fields);
        result.response.body = std::move(outcome.answer.body);
        result.response.memory = std::move(outcome.answer.memory);
    } else {
        result = makeUnanswered(outcome, m_clock.now() >= receivedAt + callerTimeout);
    }
    result.runState = runStateOf(outcome.state);
    result.attempts = outcome.attempts;
    co_return result;
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::submit(const HttpRequest& request, const SiteView& view, const SiteRoute& route, const KeyCheck& key)
{
    const auto memory = reserveDocument("submission", jsonDocumentBytes(request.body) + copiesOfSubmission * request.body.size());
    if (!memory)
        co_return makeRefusal(statusUnavailable, "this host has no memory left for the submission", overloadRetryAfter);
    auto submission = m_protocol.submission(request);
    if (!submission)
        co_return makeRefusal(statusBadRequest, submission.error().message, {});
    auto& accepted = submission.value();
    if (accepted.id.isEmpty() || accepted.id.value().size() > maximumIdLength)
        co_return makeRefusal(statusBadRequest, "the submission's id is missing or too long", {});
    accepted.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
    accepted.acceptedUnder = view.configuration.version;
    accepted.organisation = key.organisation;
    accepted.acceptedTerms = route.submissionTerms();
    const auto outcome = co_await m_intake.accept(accepted);
    logIntake(accepted, route, outcome);
    if (outcome == IntakeOutcome::NotAccepted)
        co_return makeRefusal(statusUnavailable, "the store did not accept the submission", dependencyRetryAfter);
    if (outcome == IntakeOutcome::OtherOrganisation)
        co_return makeRefusal(statusConflict, "another submission has this id", {});
    if (outcome == IntakeOutcome::Unknown)
        co_return makeRefusal(statusGatewayTimeout, "it is unknown whether the submission was stored", {});
    EndpointResult result;
    result.response.status = statusAccepted;
    result.runState = RunState::Answered;
    co_return result;
}

void SiteEndpoints::logIntake(const Submission& submission, const SiteRoute& route, IntakeOutcome outcome) const
{
    logEvent(outcome == IntakeOutcome::Accepted ? Event::SubmissionAccepted : Event::SubmissionRefused,
        { { "id", submission.id.value() }, { "route", route.name.value() }, { "model", submission.model.value() }, { "step", std::to_string(submission.step) },
            { "items", std::to_string(submission.items.size()) }, { "oldest-version", std::to_string(submission.oldestVersion) }, { "outcome", std::string(name(outcome)) } });
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::readResults(const CallerRequest& call, const KeyCheck& key)
{
    const auto maximumWait = m_endsAt ? milliseconds(0) : call.maximumWait;
    const auto cached = co_await m_reader.readResults(call.submission, call.position, maximumWait);
    if (!cached) {
        if (cached.error().code == ErrorCode::StepUnknown)
            co_return makeRefusal(statusNotFound, cached.error().message, {});
        co_return makeRefusal(statusUnavailable, cached.error().message, dependencyRetryAfter);
    }
    const auto& entry = *cached.value();
    if (isOfOther(call.submission, entry.organisation, key))
        co_return makeRefusal(statusNotFound, std::string(noSubmission), {});
    std::vector<const SampleResult*> page;
    std::size_t bytes = 0;
    for (auto index = call.position; index < entry.results.size(); ++index) {
        bytes += entry.results[index].text.size();
        if (!page.empty() && bytes > maximumPageBytes)
            break;
        page.push_back(&entry.results[index]);
    }
    EndpointResult result;
    result.response = jsonResponse(m_protocol.resultsPage(entry.total.value_or(0), call.position, page));
    result.runState = RunState::Answered;
    co_return result;
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::readItem(const CallerRequest& call, const KeyCheck& key)
{
    const auto submission = co_await m_reader.readSubmission(call.submission);
    if (!submission) {
        const bool isAbsent = submission.error().code == ErrorCode::StepUnknown;
        co_return makeRefusal(isAbsent ? statusNotFound : statusUnavailable, submission.error().message, isAbsent ? milliseconds(0) : dependencyRetryAfter);
    }
    if (isOfOther(call.submission, submission.value()->organisation, key))
        co_return makeRefusal(statusNotFound, std::string(noSubmission), {});
    const auto& items = submission.value()->items;
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.id == call.item; });
    if (found == items.end())
        co_return makeRefusal(statusNotFound, "no such item", {});
    EndpointResult result;
    result.response.status = statusOk;
    result.response.fields.emplace_back("Content-Type", "application/octet-stream");
    result.response.body = found->body;
    result.runState = RunState::Answered;
    co_return result;
}

Task<SiteEndpoints::EndpointResult> SiteEndpoints::endSubmission(const CallerRequest& call, const KeyCheck& key)
{
    if (!key.organisation.isEmpty()) {
        const auto owner = co_await m_reader.readOrganisation(call.submission);
        if (!owner)
            co_return makeRefusal(statusUnavailable, owner.error().message, dependencyRetryAfter);
        if (isOfOther(call.submission, owner.value(), key))
            co_return makeRefusal(statusNotFound, std::string(noSubmission), {});
    }
    const auto ended = co_await m_intake.end(call.submission);
    if (!ended) {
        // The end mark may still be written later, which is harmless, since the trainer has asked for it.
        const bool isUnknown = ended.error().code == ErrorCode::OutcomeUnknown;
        co_return makeRefusal(isUnknown ? statusGatewayTimeout : statusUnavailable, ended.error().message, dependencyRetryAfter);
    }
    EndpointResult result;
    result.response.status = statusOk;
    result.runState = RunState::Answered;
    co_return result;
}

} // namespace cicadalb
