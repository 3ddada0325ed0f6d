// Job order and choice of workers. Bursts may reach several times the capacity
// of a pool: jobs that can still meet their objective are planned first,
// smallest first. Tasks fill one worker after the other, so that whole VMs
// become idle and can be moved to other pools.

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/log.h"
#include "jobs/scheduler.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

namespace {

constexpr int kFullPercent = 100;
// The tail latency covers half a second; the next pace change waits for a new
// value.
constexpr Millis kPaceInterval{500};
constexpr int kPaceStep = 20;
// Once its lease has run out, a crashed worker has been replaced; the store
// lists the new one within 2 s of its own return.
constexpr Millis kEvidenceWait = base::Seconds(2);
// A run starts on the worker that it was announced on when that is stored: a
// healthy store takes 10 ms.
constexpr Millis kAnnouncementTime{500};
// A call for advice ends within this time, unless its coroutine has failed.
constexpr Millis kAdviceGivenUp = base::Seconds(10);
// How long a ticket is used at least, however long its call took.
constexpr Millis kMinTicketUse{500};
// Fractions of the tail latency target at which filling tasks are slowed down
// or sped up.
constexpr double kTailHigh = 0.85;
constexpr double kTailLow = 0.5;

bool HasLabel(const Worker& worker, std::string_view label) {
  const auto& labels = worker.entry.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

Resources FreeResources(const Worker& worker) {
  Resources room = worker.entry.capacity;
  room -= worker.used;
  return room;
}

bool HasOnlyRunsOf(const Worker& worker, const Job& job) {
  return std::all_of(worker.runs.begin(), worker.runs.end(),
                     [&job](const auto& it) { return it.second.job == &job; });
}

// Sort key of jobs; the smallest is planned first. Under overload, least slack
// first delays every job until its slack is used up. With smallest first most
// jobs meet their objective, and the largest jobs do no worse.
struct Urgency {
  bool long_running = false;
  int priority = 0;
  bool late = false;
  double rank = 0;

  friend bool operator<(const Urgency& a, const Urgency& b) {
    if (a.long_running != b.long_running) return a.long_running;
    if (a.late != b.late) return b.late;
    if (a.priority != b.priority) return a.priority < b.priority;
    return a.rank < b.rank;
  }
};

Urgency UrgencyOf(const Job& job, const Queue& queue, JobOrder order,
                  Millis now) {
  Urgency urgency;
  urgency.long_running = job.long_running;
  urgency.priority = queue.priority;
  const Millis slack = job.objective - now - job.remaining_chain;
  urgency.late = slack.count < 0;
  switch (order) {
    case JobOrder::kSmallestFirst:
      urgency.rank = job.remaining_work;
      break;
    case JobOrder::kLeastSlack:
      urgency.rank = static_cast<double>(slack.count);
      break;
    case JobOrder::kFirstCome:
      return {job.long_running, 0, false,
              static_cast<double>(job.accepted.count)};
  }
  return urgency;
}

// Returns how many tasks of a long-running step are not running at full
// readiness.
int CountTasksNotRunning(
    const std::map<std::string, Worker, std::less<>>& workers, const Job& job,
    const TaskId& id) {
  int at_work = 0;
  for (const auto& [name, worker] : workers) {
    for (const auto& [task, run] : worker.runs) {
      if (run.job == &job && task.occurrence == id.occurrence &&
          task.step == id.step && run.percent >= kFullPercent &&
          !run.stop_wanted && !run.stopping && !worker.unresponsive &&
          run.phase == RunPhase::kRunning) {
        ++at_work;
      }
    }
  }
  return job.spec.steps[id.step].task_count - at_work;
}

}  // namespace

bool Scheduler::IsRenewedSince(Millis time, Millis now) {
  const bool renewed = renewed_ > time;
  needs_renewal_ = needs_renewal_ || (!renewed && time <= now);
  return renewed;
}

bool Scheduler::MayStart(const Job& job, const Task& task, Millis now) {
  if (task.active_runs > 0 || task.possibly_running) return false;
  const bool missed = task.run_missed_at.count >= 0;
  if (missed && !IsRenewedSince(task.run_missed_at, now)) return false;
  if (task.crashes.AwaitsEvidence() && now - task.idle_since < kEvidenceWait) {
    return false;
  }
  return IsHistoryStored(job, task);
}

bool HostsLongRunningTask(const Worker& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [](const auto& it) { return it.second.job->long_running; });
}

bool Scheduler::IsAdoptionPending(const Job& job, Millis now) {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& it) {
    const Worker& worker = it.second;
    const bool known = worker.adopted && worker.earlier_runs_known;
    if (!worker.from_earlier_term || known) return false;
    if (!MayRunOn(job, worker.entry.service)) return false;
    return !IsRenewedSince(
        worker.ended ? worker.ended_at : worker.lease_expires_by, now);
  });
}

bool Scheduler::IsServiceStored(Job& job, const std::string& service) {
  if (AddService(job, service)) unsaved_jobs_.insert(&job);
  const auto stored = job.services.begin() +
                      static_cast<std::ptrdiff_t>(job.committed_services);
  return std::find(job.services.begin(), stored, service) != stored;
}

bool Scheduler::IsStepReady(const Job& job, int occurrence, int step,
                            WallMillis wall) const {
  if (!AreStepsBeforeDone(job.spec, job.occurrences.at(occurrence), step)) {
    return false;
  }
  return IsDue(job.spec, occurrence, wall);
}

bool Scheduler::CanHost(const Job& job, const StepSpec& step,
                        const std::string& step_name, const Task& task,
                        const Worker& worker, bool avoid, Millis now) const {
  Resources need = step.need;
  if (step.fills) need.cpu_milli = 0;
  if (!need.Fits(FreeResources(worker))) return false;
  if (worker.lone_runs > 0 && !IsAlone(worker, job)) return false;
  const bool must_be_alone = task.crashes.suspicion() == Suspicion::kRunAlone;
  if (now < worker.kept_free_until && !must_be_alone &&
      worker.kept_free_for != job.id) {
    return false;
  }
  if (must_be_alone) {
    if (now < worker.announced_until && worker.announced_for != job.id) {
      return false;
    }
    const bool waited = HasWaitedForAnEmptyWorker(task, now);
    const bool alone =
        waited ? IsAlone(worker, job) : HasOnlyRunsOf(worker, job);
    if (!alone && !MayRunBesideOthers(step, task, now)) return false;
  }
  if (!step.required_label.empty() && !HasLabel(worker, step.required_label)) {
    return false;
  }
  if (step.max_per_worker > 0) {
    const auto it = worker.per_step.find(step_name);
    if (it != worker.per_step.end() && it->second >= step.max_per_worker) {
      return false;
    }
  }
  if (!avoid) return true;
  return std::find(task.avoid.begin(), task.avoid.end(), worker.entry.id) ==
         task.avoid.end();
}

const std::string* Scheduler::TicketFor(const std::string& step_name,
                                        const Worker& worker, Orders& orders,
                                        std::vector<Worker*>& pool,
                                        Millis now) {
  constexpr std::size_t kMaxWorkersAsked = 100;
  auto& known = tickets_[step_name];
  const Ticket& ticket = known[worker.entry.id];
  if (now < ticket.valid_until) return &ticket.text;
  if (advice_requested_ && now - *advice_requested_ < kAdviceGivenUp) {
    return nullptr;
  }
  std::vector<std::string> ask;
  for (const Worker* it : pool) {
    const Ticket& other = known[it->entry.id];
    if (other.refused || now < other.valid_until) continue;
    if (ask.size() == kMaxWorkersAsked) break;
    ask.push_back(it->entry.id);
  }
  if (ask.empty()) return nullptr;
  advice_requested_ = now;
  orders.advice.emplace_back(step_name, std::move(ask));
  return nullptr;
}

void Scheduler::OnAdvice(
    std::string_view step, std::span<const std::string> asked,
    std::span<const std::pair<std::string, std::string>> tickets, Millis valid,
    Millis sent, Millis now) {
  advice_requested_.reset();
  const auto it = tickets_.find(step);
  if (it == tickets_.end() || valid.count <= 0) return;
  // The set of workers that may run a step doesn't change.
  for (const std::string& id : asked) it->second[id].refused = true;
  // When the service began to count isn't known. A worker refuses a ticket that
  // has expired.
  const Millis usable = std::min(valid, kMinTicketUse);
  for (const auto& [id, text] : tickets) {
    it->second[id] = {text, std::max(sent + valid, now + usable)};
  }
}

Worker* Scheduler::ChooseWorker(const Job& job, const Queue& queue,
                                const TaskId& id, Pool& pool, Orders& orders,
                                Millis now) {
  const StepSpec& step = job.spec.steps[id.step];
  Resources need = step.need;
  if (step.fills) need.cpu_milli = 0;
  const Task& task = TaskOf(job, id);
  const Suspicion suspicion = task.crashes.suspicion();
  // A worker may be kept free for this task.
  const bool kept_free =
      suspicion == Suspicion::kRunAlone || pool.kept_free_for.contains(job.id);
  const bool unplaceable =
      !kept_free &&
      std::any_of(pool.unplaceable.begin(), pool.unplaceable.end(),
                  [&need](const Resources& it) { return it.Fits(need); });
  if (unplaceable) return nullptr;
  const bool needs_name = queue.needs_tickets || step.max_per_worker > 0;
  const std::string name = needs_name ? id.StepName() : std::string();
  // Another leader may have to learn what became of this worker.
  const std::string* announced_on =
      suspicion != Suspicion::kNone && task.crashes.announced_run != 0
          ? &task.crashes.announced_worker
          : nullptr;
  const bool restricted = needs_name || !step.required_label.empty() ||
                          suspicion == Suspicion::kRunAlone;
  for (const bool avoid : {true, false}) {
    if (!avoid && task.avoid.empty()) break;
    Worker* best = nullptr;
    std::int64_t best_score = 0;
    for (Worker* it : pool.workers) {
      if (!CanHost(job, step, name, task, *it, avoid, now)) continue;
      if (queue.needs_tickets &&
          !TicketFor(name, *it, orders, pool.workers, now)) {
        continue;
      }
      // Prefer the fullest worker; avoid workers far from the data or awaiting
      // upkeep if possible.
      constexpr std::int64_t kScorePenalty = 1'000'000'000;
      std::int64_t score = FreeResources(*it).cpu_milli;
      if (!step.data_rack.empty() && !HasLabel(*it, step.data_rack)) {
        score += 2 * kScorePenalty;
      }
      // It may crash the worker under the others.
      if (suspicion == Suspicion::kRunAlone) {
        score += kScorePenalty * static_cast<std::int64_t>(it->runs.size());
      }
      // Tasks that were lost together may include one that crashes workers.
      if (suspicion == Suspicion::kSuspect && it->suspect_runs > 0) {
        score += 4 * kScorePenalty;
      }
      if (announced_on && *announced_on == it->entry.id &&
          it->suspect_runs == 0) {
        return it;
      }
      if (step.long_running) {
        if (it->awaits_upkeep) score += kScorePenalty;
        // A long-running task prevents its VM from being moved to another pool,
        // so long-running tasks share VMs where possible.
        if (!HostsLongRunningTask(*it)) score += kScorePenalty / 2;
      }
      if (!best || score < best_score) {
        best = it;
        best_score = score;
      }
    }
    if (best) return best;
  }
  if (!restricted) pool.unplaceable.push_back(need);
  return nullptr;
}

bool Scheduler::StartTask(Job& job, const Queue& queue, const TaskId& id,
                          int number, Pool& pool, Orders& orders, Millis now) {
  Worker* worker = ChooseWorker(job, queue, id, pool, orders, now);
  if (!worker) {
    KeepFree(job, id, 1, pool, now);
    return false;
  }
  Task& task = TaskOf(job, id);
  if (!AnnounceRun(job, task, number, worker->entry.id)) {
    if (task.crashes.suspicion() == Suspicion::kRunAlone) {
      worker->announced_until = now + kAnnouncementTime;
      worker->announced_for = job.id;
    }
    return false;
  }
  AddStart(job, queue, id, number, *worker, pool, orders, now);
  return true;
}

void Scheduler::AddStart(Job& job, const Queue& queue, const TaskId& id,
                         int number, Worker& worker, Pool& pool, Orders& orders,
                         Millis now) {
  StartOrder order;
  order.worker = worker.entry.id;
  order.task = id;
  order.run = number;
  order.deadline_ms = LeaseEnd(worker, now);
  order.checkpoint = TaskOf(job, id).checkpoint;
  if (queue.needs_tickets) {
    order.ticket = *TicketFor(id.StepName(), worker, orders, pool.workers, now);
  }
  AddRun(worker, job, id, number, RunPhase::kSent, now);
  RecordLease(worker, now);
  orders.starts.push_back(std::move(order));
}

// Starts all members of the gang or none; they share one run number.
bool Scheduler::PlanGang(Job& job, const Queue& queue, int occurrence, int step,
                         Pool& pool, Orders& orders, Millis now) {
  Step& state = job.occurrences.at(occurrence).steps[step];
  int number = 0;
  std::string checkpoint;
  std::vector<std::pair<int, Millis>> before;
  for (const Task& it : state.tasks) {
    if (!MayStart(job, it, now)) return false;
    number = std::max(number, NextRun(it));
    before.emplace_back(it.last_run, it.idle_since);
    if (!it.checkpoint.empty()) checkpoint = it.checkpoint;
  }
  if (!IsServiceStored(job, queue.service)) return false;
  for (Task& it : state.tasks) it.checkpoint = checkpoint;
  const std::size_t first = orders.starts.size();
  bool complete = true;
  for (int i = 0; i < static_cast<int>(state.tasks.size()); ++i) {
    const TaskId id{job.id, occurrence, step, i};
    Worker* worker = ChooseWorker(job, queue, id, pool, orders, now);
    complete = worker != nullptr;
    if (!complete) break;
    AddStart(job, queue, id, number, *worker, pool, orders, now);
  }
  bool announced = complete;
  for (std::size_t i = 0; complete && i < state.tasks.size(); ++i) {
    const std::string& worker = orders.starts[first + i].worker;
    announced = AnnounceRun(job, state.tasks[i], number, worker) && announced;
  }
  if (announced) return true;
  for (std::size_t k = first; k < orders.starts.size(); ++k) {
    Worker* worker = FindWorker(orders.starts[k].worker);
    const auto it = worker->runs.find(orders.starts[k].task);
    if (it != worker->runs.end()) EndRun(*worker, it, now);
  }
  orders.starts.resize(first);
  // The number wasn't used: it stays the announced one.
  for (std::size_t i = 0; i < state.tasks.size(); ++i) {
    std::tie(state.tasks[i].last_run, state.tasks[i].idle_since) = before[i];
  }
  // The gang's workers have room again.
  pool.unplaceable.clear();
  if (complete) return false;
  const auto lone =
      std::find_if(state.tasks.begin(), state.tasks.end(), [](const Task& it) {
        return it.crashes.suspicion() == Suspicion::kRunAlone;
      });
  if (lone != state.tasks.end()) {
    const auto index = static_cast<int>(lone - state.tasks.begin());
    KeepFree(job, {job.id, occurrence, step, index},
             static_cast<int>(state.tasks.size()), pool, now);
  }
  return false;
}

bool Scheduler::PlanJob(Job& job, const Queue& queue, Pool& pool,
                        Orders& orders, Millis now, WallMillis wall) {
  bool all = true;
  const bool earlier_runs_settled =
      !job.earlier_term || !IsAdoptionPending(job, now);
  if (earlier_runs_settled) job.services_unknown = false;
  for (auto& [k, occurrence] : job.occurrences) {
    if (k >= job.committed_next_occurrence) break;
    auto& steps = occurrence.steps;
    for (int s = 0; s < static_cast<int>(steps.size()); ++s) {
      Step& step = steps[s];
      const StepSpec& spec = job.spec.steps[s];
      if (step.done == spec.task_count) continue;
      if (!IsStepReady(job, k, s, wall)) continue;
      for (Task& it : step.tasks) {
        if (it.possibly_running && earlier_runs_settled)
          it.possibly_running = false;
      }
      if (spec.gang) {
        all = PlanGang(job, queue, k, s, pool, orders, now) && all;
        continue;
      }
      bool full = false;
      for (int i = 0; i < spec.task_count; ++i) {
        if (orders.starts.size() >= max_starts_) return false;
        Task& task = step.tasks[i];
        const bool plain = task.avoid.empty() && task.crashes.empty();
        if (task.done || (full && plain) || !MayStart(job, task, now)) continue;
        if (!IsServiceStored(job, queue.service)) return false;
        const TaskId id{job.id, k, s, i};
        if (StartTask(job, queue, id, NextRun(task), pool, orders, now)) {
          continue;
        }
        all = false;
        // The other tasks of the step have the same need and fail too, unless
        // they avoid different workers or are suspects.
        full = full || plain;
      }
    }
  }
  return all;
}

void Scheduler::PlanPool(Pool& pool, Orders& orders, Millis now,
                         WallMillis wall) {
  // When most workers of a pool are ejected, the jobs are the more likely
  // cause.
  if (pool.ejected.size() > pool.workers.size()) {
    pool.workers.insert(pool.workers.end(), pool.ejected.begin(),
                        pool.ejected.end());
  }
  if (pool.workers.empty()) return;
  std::vector<std::pair<Urgency, Job*>> order;
  order.reserve(pool.jobs.size());
  for (Job* it : pool.jobs) {
    order.emplace_back(UrgencyOf(*it, QueueOf(*it), settings_.order, now), it);
  }
  // Break ties by id, so that simulations do not depend on memory addresses.
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    if (a.first < b.first || b.first < a.first) return a.first < b.first;
    return a.second->id < b.second->id;
  });
  for (auto& [urgency, job] : order) {
    if (orders.starts.size() >= max_starts_) return;
    PlanJob(*job, QueueOf(*job), pool, orders, now, wall);
  }
}

// Adjusts the pace of filling tasks on a worker to keep the tail latency of its
// serving tasks below their target.
void Scheduler::AdjustPaces(Worker& worker, Orders& orders, Millis now) {
  double worst = 0;
  for (const auto& [id, run] : worker.runs) {
    const StepSpec& step = run.job->spec.steps[id.step];
    if (step.tail_target.count == 0 || run.percent < kFullPercent) continue;
    worst = std::max(worst, static_cast<double>(run.load) /
                                static_cast<double>(step.tail_target.count));
  }
  if (worst == 0) return;
  for (auto& [id, run] : worker.runs) {
    const StepSpec& step = run.job->spec.steps[id.step];
    if (!step.fills || run.phase != RunPhase::kRunning) continue;
    if (now - run.pace_changed_at < kPaceInterval) continue;
    int pace = run.pace;
    if (worst > 1) {
      pace = run.pace > kPaceStep ? run.pace / 2 : 0;
    } else if (worst > kTailHigh) {
      pace = std::max(0, run.pace - kPaceStep);
    } else if (worst < kTailLow) {
      pace = std::min(kFullPercent, run.pace + kPaceStep);
    }
    if (pace == run.pace) continue;
    run.pace = pace;
    run.pace_changed_at = now;
    run.progress_at = now;
    orders.paces.push_back({worker.entry.id, id, run.number, pace});
  }
}

void Scheduler::PlanStops(Orders& orders, Millis now) {
  orders.stops = std::exchange(unknown_run_stops_, {});
  for (auto& [id, worker] : workers_) {
    if (!worker.stops_wanted || worker.unresponsive) continue;
    worker.stops_wanted = false;
    for (auto& [task, run] : worker.runs) {
      // A stop settles whether the start is still on its way.
      const bool wanted = run.stop_wanted || run.phase == RunPhase::kUnsettled;
      if (!wanted || run.stop_in_flight) continue;
      if (now < run.stop_retry_at || run.phase == RunPhase::kSent) {
        worker.stops_wanted = true;
        continue;
      }
      run.stop_in_flight = run.stopping = true;
      orders.stops.push_back({id, task, run.number});
    }
  }
}

void Scheduler::Evacuate(Worker& worker) {
  for (auto& [id, run] : worker.runs) {
    const StepSpec& step = run.job->spec.steps[id.step];
    if (!step.long_running || run.stop_wanted || run.stopping) continue;
    if (run.phase != RunPhase::kRunning) continue;
    if (!worker.entry.draining) {
      const int not_running = CountTasksNotRunning(workers_, *run.job, id);
      const int others =
          run.percent >= kFullPercent ? not_running : not_running - 1;
      if (others >= std::max(1, step.may_miss)) continue;
    }
    run.stop_wanted = worker.stops_wanted = true;
  }
}

Orders Scheduler::Plan(Millis now, WallMillis wall, std::size_t max_starts) {
  Orders orders;
  max_starts_ = max_starts;
  needs_renewal_ = false;
  Expire(now);
  for (auto& [id, worker] : workers_) {
    // All runs on a worker end when its lease has certainly expired, unless
    // another leader has extended it.
    if (!worker.runs.empty() && IsRenewedSince(worker.lease_expires_by, now)) {
      LogLine(LogLevel::kWarning, "lease_ran_out")
          .With("worker", id)
          .With("runs", worker.runs.size())
          .With("heard_ms_ago", (now - worker.last_report_at).count);
      LoseRuns(worker, WorkerLoss::kOutOfReach, worker.lease_expires_by, now);
      worker.unresponsive = true;
    }
    if (worker.unresponsive) AnnounceRuns(worker);
    if (worker.entry.draining && worker.listed) Evacuate(worker);
    if (worker.serving_runs > 0) AdjustPaces(worker, orders, now);
  }
  PlanStops(orders, now);
  if (max_starts > 0) PlanStarts(orders, now, wall);
  orders.needs_renewal = needs_renewal_;
  return orders;
}

void Scheduler::PlanStarts(Orders& orders, Millis now, WallMillis wall) {
  std::map<std::string_view, Pool> pools;
  for (Job* it : active_jobs_) {
    if (it->stored && it->spec.occurrences > 0) {
      UpdateOccurrences(*it, now, wall);
    }
    if (it->stored) pools[QueueOf(*it).service].jobs.push_back(it);
  }
  for (auto& [id, worker] : workers_) {
    const bool usable =
        worker.listed && !worker.ended && worker.adopted && worker.stored &&
        !worker.entry.draining && !worker.reserved && !worker.unresponsive &&
        worker.unknown_runs == 0 && now >= worker.refused_until &&
        IsCapacityKnown(worker, now);
    if (!usable) continue;
    const auto it = pools.find(worker.entry.service);
    if (it == pools.end()) continue;
    const bool ejected = now < worker.ejected_until;
    (ejected ? it->second.ejected : it->second.workers).push_back(&worker);
    if (now < worker.kept_free_until) {
      it->second.kept_free_for.insert(worker.kept_free_for);
    }
  }
  if (pools.empty()) return;
  const auto first = static_cast<std::ptrdiff_t>(plans_++ % pools.size());
  auto it = std::next(pools.begin(), first);
  for (std::size_t i = 0; i < pools.size(); ++i) {
    PlanPool(it->second, orders, now, wall);
    if (++it == pools.end()) it = pools.begin();
  }
}

}  // namespace hemlockward::jobs
