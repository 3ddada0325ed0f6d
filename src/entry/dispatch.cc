#include "entry/dispatch.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
using base::Millis;
using base::Outcome;

namespace {

constexpr Millis kRetryAfter = base::Seconds(1);
// How long a request waits for a fresh view before it is refused, so that the
// caller can try another entry.
constexpr Millis kFreshViewWait = base::Seconds(1);
constexpr Millis kFreshViewPoll{20};

kernel::HttpRequest ToTargetRequest(const Request& request) {
  kernel::HttpRequest message;
  message.method = "POST";
  message.target = "/run/" + request.service.value;
  message.headers.push_back({"Hemlockward-Request-Id", request.id});
  if (!request.key.empty()) {
    message.headers.push_back({"Idempotency-Key", request.key});
  }
  if (!request.content_type.empty()) {
    message.headers.push_back({"Content-Type", request.content_type});
  }
  message.body = request.body;
  return message;
}

}  // namespace

/// One attempt on one VM. It may outlive the coroutine of its request when that
/// one has answered the caller without waiting for the attempt.
struct Dispatcher::Attempt {
  std::shared_ptr<const Request> request;
  SlotHold hold;
  std::shared_ptr<Signal> ended;
  Millis time_limit;
  // Set before `ended` is notified.
  bool sent = false;
  std::optional<AttemptFailure> failure;
  std::string problem;
  Answer answer;  ///< The target's answer, if it is complete.

  AttemptResult OnError(const kernel::HttpError& error);
  AttemptResult OnAnswer(kernel::HttpResponse response);
};

AttemptResult Dispatcher::Attempt::OnError(const kernel::HttpError& error) {
  problem = error.what;
  switch (error.failure) {
    case kernel::HttpFailure::kNotSent:
    case kernel::HttpFailure::kNoConnection:
      failure = AttemptFailure::kNotSent;
      return error.what == kernel::kNotAllowedToSend
                 ? AttemptResult::kNotStarted
                 : AttemptResult::kFailed;
    case kernel::HttpFailure::kTimeout:
      failure = AttemptFailure::kTimeout;
      return AttemptResult::kFailed;
    case kernel::HttpFailure::kBroken:
      break;
  }
  failure = AttemptFailure::kBroken;
  return AttemptResult::kFailed;
}

// Checks that the response belongs to this request; the HTTP client guarantees
// only that it is complete.
AttemptResult Dispatcher::Attempt::OnAnswer(kernel::HttpResponse response) {
  const std::string_view echoed = response.Header("Hemlockward-Request-Id");
  if (!echoed.empty() && echoed != request->id) {
    failure = AttemptFailure::kBroken;
    problem = "the answer was to another request";
    return AttemptResult::kFailed;
  }
  const bool refused = !response.Header("Hemlockward-Refused").empty();
  if (refused && response.status == 503) {
    failure = AttemptFailure::kRefused;
    problem = "the VM refused the request";
    return AttemptResult::kNotStarted;
  }
  answer.outcome = Outcome::kDone;
  answer.status = response.status;
  answer.content_type = std::string(response.Header("Content-Type"));
  answer.body = std::move(response.body);
  if (response.status < 500) return AttemptResult::kOk;
  failure = AttemptFailure::kServerError;
  problem = "status " + std::to_string(response.status);
  return AttemptResult::kFailed;
}

/// State of a request across its attempts.
struct Dispatcher::Progress {
  std::shared_ptr<const Request> request;
  Millis linger;
  AttemptHistory history;
  std::vector<SlotIndex> failed_on;
  bool may_have_run = false;
  Millis retry_delay;
};

Dispatcher::Dispatcher(kernel::WorkerPool& pool, kernel::HttpClient& http,
                       const base::SystemClock& clock, Dependencies deps,
                       Millis orphan_hold,
                       std::function<void(const base::ServiceId&)> on_waiting)
    : pool_(pool),
      http_(http),
      clock_(clock),
      deps_(deps),
      orphan_hold_(orphan_hold),
      on_waiting_(std::move(on_waiting)) {}

asio::awaitable<Answer> Dispatcher::Run(Request request, Millis linger) {
  const Millis began = clock_.Now();
  if (request.number == 0) request.number = deps_.scheduler.NextNumber();
  Progress progress;
  progress.request = std::make_shared<const Request>(std::move(request));
  progress.linger = linger;
  progress.history.repeatable = progress.request->repeatable;
  while (true) {
    auto hold = co_await AcquireSlot(*progress.request, progress);
    if (!hold) {
      Answer answer = std::move(hold.error());
      if (progress.may_have_run) answer.outcome = Outcome::kUnknown;
      Record(*progress.request, "refuse", nullptr, answer.reason);
      Count(*progress.request, answer, began);
      co_return answer;
    }
    auto answer = co_await RunAttempt(progress, std::move(*hold));
    if (answer) {
      Count(*progress.request, *answer, began);
      co_return std::move(*answer);
    }
    co_await kernel::Sleep(progress.retry_delay);
  }
}

// Polls for a fresh view: the next heartbeat may refresh one that is too old.
asio::awaitable<std::optional<Answer>> Dispatcher::AwaitFreshView(
    const Request& request) {
  const Millis until =
      std::min(request.deadline, clock_.Now() + kFreshViewWait);
  while (!deps_.guard.CanServe(clock_.Now())) {
    if (clock_.Now() >= until) {
      Answer answer =
          Refusal(Outcome::kNotRun, 503, deps_.guard.Reason(clock_.Now()));
      answer.retry_after = kRetryAfter;
      co_return answer;
    }
    co_await kernel::Sleep(kFreshViewPoll);
  }
  co_return std::nullopt;
}

// Waits for a slot until the deadline. An error means that this attempt has
// certainly not run.
asio::awaitable<tl::expected<SlotHold, Answer>> Dispatcher::AcquireSlot(
    const Request& request, const Progress& progress) {
  auto refused = co_await AwaitFreshView(request);
  if (refused) co_return tl::unexpected(std::move(*refused));

  const auto wait = std::make_shared<SlotWait>();
  wait->signal = co_await MakeSignal();
  wait->service = request.service;
  wait->request_class = request.request_class;
  wait->avoid = progress.failed_on;
  const bool retry = progress.history.total_attempts > 0;
  auto queued = deps_.scheduler.Enqueue(request, wait, retry, clock_.Now());
  if (!queued) co_return tl::unexpected(std::move(queued.error()));

  if (!wait->signal->notified()) on_waiting_(request.service);
  const bool notified =
      co_await wait->signal->WaitFor(request.deadline - clock_.Now());
  if (!notified && deps_.scheduler.Withdraw(request.number)) {
    Answer answer =
        Refusal(Outcome::kNotRun, 503, "no slot before the deadline");
    answer.retry_after = kRetryAfter;
    co_return tl::unexpected(std::move(answer));
  }
  if (wait->cancelled) {
    co_return tl::unexpected(Refusal(Outcome::kNotRun, 409, "cancelled"));
  }
  co_return std::move(*wait->hold);
}

// Runs one attempt. The result is empty if the request must be retried.
asio::awaitable<std::optional<Answer>> Dispatcher::RunAttempt(
    Progress& progress, SlotHold hold) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->request = progress.request;
  attempt->hold = std::move(hold);
  attempt->ended = co_await MakeSignal();
  const Millis remaining = progress.request->deadline - clock_.Now();
  attempt->time_limit = remaining + std::max(orphan_hold_, progress.linger);
  Record(*progress.request,
         progress.history.total_attempts == 0 ? "route" : "retry",
         &attempt->hold, ToText(attempt->hold.reason));
  pool_.Spawn("attempt", Send(attempt));

  const bool ended =
      co_await attempt->ended->WaitFor(remaining + progress.linger);
  if (!ended) {
    Answer late = Refusal(Outcome::kUnknown, 504, "no answer in time");
    Record(*progress.request, "give_up", &attempt->hold, late.reason);
    co_return late;
  }
  if (!attempt->failure) co_return std::move(attempt->answer);
  co_return HandleFailure(progress, *attempt);
}

// Final check before the first byte is sent: since the VM was chosen, the
// process may have been paused or the VM may have left its pool.
bool Dispatcher::CanSend(Attempt& attempt) const {
  const Millis now = clock_.Now();
  if (now >= attempt.request->deadline) return false;
  if (!deps_.guard.CanServe(now)) return false;
  if (!deps_.scheduler.IsMember(attempt.hold)) return false;
  if (attempt.request->may_send && !attempt.request->may_send()) return false;
  attempt.sent = true;
  return true;
}

// Sends the request, waits for the answer and releases the slot, even if the
// coroutine of the request no longer waits.
asio::awaitable<void> Dispatcher::Send(std::shared_ptr<Attempt> attempt) {
  const Millis began = clock_.Now();
  kernel::HttpRequest message = ToTargetRequest(*attempt->request);
  std::function<bool()> may_send = [this, attempt] {
    return CanSend(*attempt);
  };
  AttemptResult effect = AttemptResult::kFailed;
  try {
    auto result = co_await http_.Call(attempt->hold.address, std::move(message),
                                      attempt->time_limit, std::move(may_send));
    effect = result ? attempt->OnAnswer(std::move(*result))
                    : attempt->OnError(result.error());
  } catch (const std::exception& e) {
    attempt->failure =
        attempt->sent ? AttemptFailure::kBroken : AttemptFailure::kNotSent;
    attempt->problem = e.what();
  }
  const Millis now = clock_.Now();
  const auto elapsed = static_cast<double>((now - began).count);
  const HealthChange change =
      deps_.scheduler.Release(attempt->hold, effect, elapsed, now);
  if (change != HealthChange::kNone) RecordHealth(attempt->hold, change);
  attempt->ended->Notify();
}

void Dispatcher::RecordHealth(const SlotHold& hold, HealthChange change) {
  const bool ejected = change == HealthChange::kEjected;
  deps_.metrics.Count(ejected ? "hemlockward_ejections_total"
                              : "hemlockward_readmissions_total");
  base::LogLine(base::LogLevel::kWarning, "vm_health")
      .With("vm", hold.vm.value)
      .With("change", ejected ? "ejected" : "readmitted");
}

std::optional<Answer> Dispatcher::HandleFailure(Progress& progress,
                                                const Attempt& attempt) {
  AttemptHistory& history = progress.history;
  const AttemptFailure failure = *attempt.failure;
  const bool may_have_run = failure != AttemptFailure::kNotSent &&
                            failure != AttemptFailure::kRefused;
  ++history.total_attempts;
  if (may_have_run) {
    ++history.started_attempts;
    progress.may_have_run = true;
  }
  auto& failed_on = progress.failed_on;
  if (std::ranges::find(failed_on, attempt.hold.row) == failed_on.end()) {
    failed_on.push_back(attempt.hold.row);
    if (may_have_run) ++history.failed_workers;
  }
  history.remaining = progress.request->deadline - clock_.Now();
  const RetryDecision decision = deps_.scheduler.DecideOnRetry(
      progress.request->service, history, failure);
  if (decision.action == RetryAction::kRetry) {
    progress.retry_delay = decision.delay;
    deps_.metrics.Count("hemlockward_retries_total",
                        "service=\"" + progress.request->service.value + "\"");
    return std::nullopt;
  }
  const bool whole = attempt.answer.outcome == Outcome::kDone &&
                     failure == AttemptFailure::kServerError;
  std::string reason = std::string(decision.reason) + ": " + attempt.problem;
  Record(*progress.request, "answer", &attempt.hold, reason);
  if (whole && decision.outcome == Outcome::kDone) return attempt.answer;
  const Outcome outcome =
      progress.may_have_run ? Outcome::kUnknown : decision.outcome;
  return Refusal(outcome, outcome == Outcome::kNotRun ? 503 : 502,
                 std::move(reason));
}

void Dispatcher::Record(const Request& request, std::string action,
                        const SlotHold* hold, std::string_view reason) {
  RoutingDecision decision;
  decision.request_id = request.id;
  decision.action = std::move(action);
  if (hold != nullptr) decision.vm = hold->vm;
  decision.reason = std::string(reason);
  decision.revision =
      hold != nullptr ? hold->revision : deps_.scheduler.revision();
  decision.at = clock_.Now();
  deps_.decisions.Add(std::move(decision));
}

void Dispatcher::Count(const Request& request, const Answer& answer,
                       Millis began) {
  const std::string label = "service=\"" + request.service.value + "\"";
  deps_.metrics.Count(
      "hemlockward_requests_total",
      label + ",outcome=\"" + std::string(base::ToText(answer.outcome)) + "\"");
  deps_.metrics.Observe("hemlockward_request_ms", label,
                        static_cast<double>((clock_.Now() - began).count));
}

}  // namespace hemlockward::entry
