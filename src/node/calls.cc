// Clients' job requests: the leader handles them, other nodes forward them.

#include <algorithm>

#include "base/log.h"
#include "node/process.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;

namespace {

constexpr std::size_t kIdLength = 16;
/// Delay between attempts while no node leads or the leader is unreachable.
constexpr Millis kRetryPause{60};
/// Time reserved for the response to reach the client.
constexpr Millis kReplyReserve{150};
/// Timeout of one attempt to forward a request to the leader.
constexpr Millis kForwardTimeout{900};
/// The same when the leader doesn't answer checks and may have failed.
constexpr Millis kSilentLeaderTimeout{400};
/// The leader is reachable if it answered a check or a request within this
/// time.
constexpr Millis kRecentLeaderAge = kRelaxedCheckInterval + Millis{500};
/// How long a leader waits for a configuration that the caller has: one call
/// to the store, after one that timed out.
constexpr Millis kMaxConfigurationWait{800};
/// How long a job submission waits for a leader before it is rejected.
constexpr Millis kMaxLeaderWait{2200};
/// A stopping node answers requests at least this long before its stop limit.
constexpr Millis kStopReserve{200};
/// A commit that takes this long shows that the store is unavailable: it
/// responds in 4 ms, or in 240 ms when slowed by a factor of 60.
constexpr Millis kStoreStall{800};
constexpr Millis kStallCheckInterval{300};
/// Longest wait for the renewal that confirms that a job is unknown: one commit
/// may be in progress, the next one counts.
constexpr Millis kConfirmTimeout = kStoreStall * 2;
/// Retry-After without a leader: a takeover takes 0.3 to 2 s.
constexpr std::int64_t kRetryAfterS = 1;
/// Retry-After while the store is unavailable: it has been for most of a second
/// already, and clients have a limited number of retries.
constexpr std::int64_t kStoreRetryAfterS = 2;

bool IsJobId(std::string_view text) {
  return text.size() == kIdLength &&
         text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

Reply Refused(int status, std::string_view reason) {
  return {status, "{\"error\":\"" + std::string(reason) + "\"}",
          status == 503 || status == 429 ? kRetryAfterS : 0};
}

Reply StoreUnavailable() {
  Reply reply = Refused(503, "the store is not answering");
  reply.retry_after_s = kStoreRetryAfterS;
  return reply;
}

}  // namespace

Awaitable<Reply> NodeProcess::Route(Call call) {
  if (config_.version == 0) co_return Refused(503, "no configuration yet");
  if (!config_.Match(call.host, call.path)) {
    co_return Refused(404, "no such queue");
  }
  call.config_version = config_.version;
  const Millis begin = clock_.Now();
  const Millis client_limit = call.deadline;
  bool may_have_run = false;
  while (true) {
    if (stopping_) {
      call.deadline = std::min(client_limit, stop_limit_ - kStopReserve);
    }
    const Millis limit = call.deadline - kReplyReserve;
    Reply reply;
    if (leads_) {
      Call copy = call;
      reply = co_await HandleAsLeader(std::move(copy));
    } else {
      reply = co_await Forward(call, &may_have_run);
    }
    if (reply.status != 0) {
      // An earlier attempt without a response may have submitted the job.
      const bool refused =
          reply.status == 503 || reply.status == 429 || reply.status == 404;
      if (refused && may_have_run && call.method == "POST") reply.status = 504;
      co_return reply;
    }
    may_have_run = may_have_run || reply.may_have_run;
    const Millis now = clock_.Now();
    const bool wait = call.method != "POST" || now - begin < kMaxLeaderWait;
    if (now >= limit || !wait) break;
    co_await kernel::Sleep(kRetryPause);
  }
  LogLine(LogLevel::kWarning, "request_without_leader")
      .With("path", call.path)
      .With("method", call.method)
      .With("waited_ms", (clock_.Now() - begin).count)
      .With("may_have_run", may_have_run);
  if (may_have_run && call.method == "POST") {
    co_return Refused(504, "the leader didn't answer");
  }
  co_return Refused(503, "no leader");
}

// Returns status 0 if no reply came; `may_have_run` is then true if the request
// may have been executed.
Awaitable<Reply> NodeProcess::Forward(const Call& call, bool* may_have_run) {
  Reply reply;
  reply.status = 0;
  if (!lease_.lease || lease_.lease->released ||
      lease_.lease->incarnation == incarnation_) {
    co_return reply;
  }
  const Millis left = call.deadline - kReplyReserve - clock_.Now();
  if (left.count <= 0) co_return reply;
  peer::gen::JobCall out;
  out.__set_method(call.method);
  out.__set_host(call.host);
  out.__set_path(call.path);
  out.__set_body(call.body);
  out.__set_remaining_ms(left.count);
  out.__set_config_version(static_cast<std::int64_t>(call.config_version));
  peer::gen::Message message;
  message.__set_job_call(out);
  const std::string address = lease_.lease->address;
  const Millis begin = clock_.Now();
  // A reachable leader that hasn't responded yet is waiting for the store.
  const bool recently_seen = begin - holder_heard_ < kRecentLeaderAge;
  const bool patient = *may_have_run && recently_seen;
  const Millis timeout = recently_seen ? kForwardTimeout : kSilentLeaderTimeout;
  auto answer = co_await peer_client_.Call(
      address, message, patient ? left : std::min(left, timeout));
  if (!answer) {
    LogLine(LogLevel::kInfo, "forward_failed")
        .With("path", call.path)
        .With("method", call.method)
        .With("leader", address)
        .With("failure", peer::ToText(answer.error().failure))
        .With("error", answer.error().what)
        .With("after_ms", (clock_.Now() - begin).count);
    if (answer.error().failure != peer::PeerFailure::kNotSent) {
      *may_have_run = true;
    }
    holder_gone_ = holder_gone_ || answer.error().refused;
    check_signal_.Notify();
    co_return reply;
  }
  if (!answer->__isset.job_reply) {
    LogLine(LogLevel::kWarning, "forward_failed")
        .With("path", call.path)
        .With("method", call.method)
        .With("leader", address)
        .With("error", answer->error.reason);
    *may_have_run = true;
    co_return reply;
  }
  const bool same_holder = lease_.lease && lease_.lease->address == address;
  if (same_holder && answer->job_reply.status != 0) {
    holder_heard_ = clock_.Now();
  } else {
    check_signal_.Notify();
  }
  OnConfigurationSeen(
      static_cast<std::uint64_t>(answer->job_reply.config_version));
  reply.status = answer->job_reply.status;
  reply.body = std::move(answer->job_reply.body);
  reply.retry_after_s = answer->job_reply.retry_after_s;
  reply.may_have_run = answer->job_reply.may_have_run;
  co_return reply;
}

// Handles a request as leader. Returns status 0 if this node doesn't lead or
// has stopped leading.
Awaitable<Reply> NodeProcess::HandleAsLeader(Call call) {
  while (leads_ && !loaded_ && clock_.Now() < call.deadline - kReplyReserve) {
    co_await committed_signal_.Wait(kRetryPause);
  }
  if (!leads_ || !loaded_) co_return Reply{0, {}, 0};
  const Millis limit = std::min(call.deadline - kReplyReserve,
                                clock_.Now() + kMaxConfigurationWait);
  if (!co_await AwaitConfiguration(call.config_version, limit)) {
    co_return Refused(503, "the leader has an older configuration");
  }
  if (!leads_ || !loaded_) co_return Reply{0, {}, 0};
  const jobs::Queue* queue = config_.Match(call.host, call.path);
  if (!queue) co_return Refused(404, "no such queue");
  std::string id = call.path.substr(queue->path_prefix.size());
  if (id.empty() && call.method == "GET") {
    co_return Reply{
        200, platform::EncodePending(scheduler_.Pending(queue->name)), 0};
  }
  if (!IsJobId(id)) co_return Refused(400, "id is not 16 hexadecimal digits");
  if (call.method == "POST") {
    const jobs::Queue copy = *queue;
    co_return co_await Submit(copy, std::move(id), std::move(call));
  }
  if (call.method == "GET") {
    co_return co_await JobState(std::move(id), std::move(call));
  }
  if (call.method == "DELETE") {
    co_return co_await Cancel(std::move(id), std::move(call));
  }
  co_return Refused(405, "method not allowed");
}

bool NodeProcess::IsStoreStalled(Millis now) const {
  return committing_ && now - commit_started_ > kStoreStall;
}

Awaitable<Reply> NodeProcess::Submit(const jobs::Queue& queue, std::string id,
                                     Call call) {
  const std::uint64_t term = term_;
  const Millis begin = clock_.Now();
  if (!scheduler_.FindJob(id)) {
    if (IsStoreStalled(begin)) co_return StoreUnavailable();
    auto spec = platform::DecodeJob(call.body);
    if (!spec) {
      LogLine(LogLevel::kInfo, "job_rejected")
          .With("job", id)
          .With("queue", queue.name)
          .With("error", spec.error().what);
      co_return Refused(400, "job: " + spec.error().what);
    }
    if (jobs::TaskCount(*spec) > jobs::kMaxTasks) {
      co_return Refused(
          400, "job: more than " + std::to_string(jobs::kMaxTasks) + " tasks");
    }
    const auto submission =
        scheduler_.Submit(queue, id, *std::move(spec), std::move(call.body),
                          begin, clock_.Wall());
    if (submission == jobs::Submission::kRefused) {
      co_return Refused(429, "no room for more jobs");
    }
    commit_signal_.Notify();
  }
  const Millis limit = call.deadline - kReplyReserve;
  while (IsLeading(term)) {
    const jobs::Job* job = scheduler_.FindJob(id);
    if (!job) co_return StoreUnavailable();
    if (job->stored) {
      LogLine(LogLevel::kInfo, "job_accepted")
          .With("job", id)
          .With("queue", queue.name)
          .With("config", config_.version)
          .With("after_ms", (clock_.Now() - begin).count);
      co_return Reply{200, "{}", 0};
    }
    const Millis now = clock_.Now();
    if (now >= limit) break;
    if (IsStoreStalled(now) && scheduler_.Withdraw(id)) {
      co_return StoreUnavailable();
    }
    co_await committed_signal_.Wait(std::min(limit - now, kStallCheckInterval));
  }
  // Another node has taken the lease; it knows the job if it was stored.
  if (!IsLeading(term)) co_return Reply{0, {}, 0, true};
  LogLine(LogLevel::kWarning, "job_not_stored")
      .With("job", id)
      .With("waited_ms", (clock_.Now() - begin).count);
  co_return Refused(504, "not known whether the job was stored");
}

Awaitable<Reply> NodeProcess::JobState(std::string id, Call call) {
  const jobs::Job* job = scheduler_.FindJob(id);
  while (!job || !job->stored) {
    if (auto reply = co_await ConfirmUnknown(id, call)) co_return *reply;
    job = scheduler_.FindJob(id);
  }
  jobs::JobState state = job->state;
  if (jobs::HasEnded(state) && job->committed_state != state) {
    state = jobs::JobState::kRunning;
  }
  co_return Reply{200, platform::EncodeJobState(jobs::ToText(state)), 0};
}

// Returns the reply for a job that isn't stored, or nothing if it has been
// stored meanwhile. Another node may have taken the lease and accepted the job
// until a renewal that was sent after the request succeeds.
Awaitable<std::optional<Reply>> NodeProcess::ConfirmUnknown(std::string_view id,
                                                            const Call& call) {
  const std::uint64_t term = term_;
  const Millis asked = clock_.Now();
  const Millis limit =
      std::min(call.deadline - kReplyReserve, asked + kConfirmTimeout);
  const auto is_stored = [this, id] {
    const jobs::Job* job = scheduler_.FindJob(id);
    return job && job->stored;
  };
  while (IsLeading(term) && !is_stored() && renewed_ <= asked) {
    const Millis now = clock_.Now();
    if (now >= limit || IsStoreStalled(now)) co_return StoreUnavailable();
    renewal_wanted_since_ = std::max(renewal_wanted_since_, asked);
    commit_signal_.Notify();
    co_await committed_signal_.Wait(std::min(limit - now, kStallCheckInterval));
  }
  if (!IsLeading(term)) co_return Reply{0, {}, 0};
  if (is_stored()) co_return std::nullopt;
  metrics_.Count("hemlockward_unknown_jobs_total");
  LogLine(LogLevel::kInfo, "job_unknown")
      .With("job", id)
      .With("method", call.method)
      .With("term", term)
      .With("jobs", scheduler_.job_count())
      .With("renewed_ms_ago", (clock_.Now() - renewed_).count)
      .With("after_ms", (clock_.Now() - asked).count);
  co_return Refused(410, "no such job");
}

Awaitable<Reply> NodeProcess::Cancel(std::string id, Call call) {
  const std::uint64_t term = term_;
  const Millis begin = clock_.Now();
  while (!scheduler_.Cancel(id, begin)) {
    if (auto reply = co_await ConfirmUnknown(id, call)) co_return *reply;
  }
  commit_signal_.Notify();
  RequestPlan();
  const Millis limit = call.deadline - kReplyReserve;
  while (IsLeading(term)) {
    const jobs::Job* job = scheduler_.FindJob(id);
    if (!job || jobs::HasEnded(job->committed_state)) {
      LogLine(LogLevel::kInfo, "job_cancelled")
          .With("job", id)
          .With("after_ms", (clock_.Now() - begin).count);
      co_return Reply{200, "{}", 0};
    }
    if (clock_.Now() >= limit) break;
    co_await committed_signal_.Wait(limit - clock_.Now());
  }
  if (!IsLeading(term)) co_return Reply{0, {}, 0, true};
  co_return Refused(504, "not known whether the cancel was stored");
}

}  // namespace hemlockward::node
