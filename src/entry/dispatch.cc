#include "entry/dispatch.h"

#include <utility>

namespace hemlockward::entry {

namespace asio = boost::asio;
using base::Millis;
using base::Outcome;

namespace {

constexpr Millis kShedRetryAfter = base::Seconds(1);

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

Dispatcher::Dispatcher(kernel::HttpClient& http, const base::SystemClock& clock,
                       DecisionLog& decisions, base::Metrics& metrics)
    : http_(http),
      clock_(clock),
      decisions_(decisions),
      metrics_(metrics),
      view_(std::make_shared<base::FleetView>()) {}

void Dispatcher::Install(std::shared_ptr<const base::FleetView> view) {
  const std::lock_guard lock(mutex_);
  if (view->revision >= view_->revision) view_ = std::move(view);
}

base::Revision Dispatcher::revision() {
  const std::lock_guard lock(mutex_);
  return view_->revision;
}

std::optional<Dispatcher::Choice> Dispatcher::Choose(const Request& request) {
  const std::lock_guard lock(mutex_);
  const base::ServiceDocument* document = view_->FindService(request.service);
  if (document == nullptr) return std::nullopt;
  const base::VmRow* best = nullptr;
  int least = document->slots_per_vm;
  for (const auto& [id, vm] : view_->vms) {
    if (vm.pool != document->pool) continue;
    if (vm.state != base::VmState::kMember) continue;
    const auto it = in_progress_.find(id);
    const int n = it == in_progress_.end() ? 0 : it->second;
    if (n >= least) continue;
    least = n;
    best = &vm;
  }
  if (best == nullptr) return std::nullopt;
  ++in_progress_[best->vm];
  return Choice{*best, view_->revision};
}

void Dispatcher::Release(const base::VmId& vm) {
  const std::lock_guard lock(mutex_);
  --in_progress_[vm];
}

asio::awaitable<Answer> Dispatcher::Run(Request request) {
  const std::optional<Choice> choice = Choose(request);
  if (!choice) {
    Answer shed = Refusal(Outcome::kNotRun, 503, "no free slot in the pool");
    shed.retry_after = kShedRetryAfter;
    co_return shed;
  }
  decisions_.Add({request.id, "route", choice->vm.vm, "fewest in progress",
                  choice->revision, clock_.Now()});
  kernel::HttpRequest message = ToTargetRequest(request);
  auto result = co_await http_.Call(choice->vm.address, std::move(message),
                                    request.deadline - clock_.Now());
  Release(choice->vm.vm);
  if (!result) {
    const bool sent = result.error().failure != kernel::HttpFailure::kNotSent;
    co_return Refusal(sent ? Outcome::kUnknown : Outcome::kNotRun, 502,
                      result.error().what);
  }
  const std::string_view echoed = result->Header("Hemlockward-Request-Id");
  if (!echoed.empty() && echoed != request.id) {
    co_return Refusal(Outcome::kUnknown, 502, "answer to another request");
  }
  if (result->Header("Hemlockward-Refused") == "slots") {
    co_return Refusal(Outcome::kNotRun, 503, "the VM has no free slot");
  }
  Answer answer;
  answer.outcome = Outcome::kDone;
  answer.status = result->status;
  answer.content_type = std::string(result->Header("Content-Type"));
  answer.body = std::move(result->body);
  metrics_.Count("hemlockward_requests_done");
  co_return answer;
}

}  // namespace hemlockward::entry
