#include "bench/job_world.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <random>

#include "base/random.h"
#include "jobs/fleet.h"
#include "jobs/rows.h"

namespace hemlockward::bench {

namespace {

using base::Millis;
using base::WallMillis;

constexpr int kQueues = 4;
constexpr jobs::Resources kVmResources{64'000, 128'000, 0};
constexpr Millis kMove{1500};
constexpr Millis kHop{2};          // One way, to a worker or the store.
constexpr Millis kStoreAnswer{6};  // One commit.
constexpr Millis kCommitGap{20};   // Commits are gathered for this long.
constexpr Millis kPlanGap{250};    // Plans without an event.
constexpr Millis kFleetGap{100};
constexpr Millis kReportGap{900};  // A worker's report without an end.
constexpr double kTurnSeconds = 8;
constexpr Millis kWarmUp{3000};  // Workers are up before the first job.
constexpr Millis kCoolDown{12'000};
constexpr WallMillis kWall{1'700'000'000'000};
constexpr const char* kSparePool = "spare";

// One kind of job, like a queue of quick checks or of long reviews.
struct Kind {
  double task_ms;
  double cores;
  double steps;
  double width;
  double worth;
};
constexpr Kind kKinds[kQueues] = {{640, 6.2, 1.6, 8, 0.4},
                                  {1700, 13, 2, 8, 2.7},
                                  {640, 6.2, 1.6, 8, 0.4},
                                  {1700, 13, 2, 8, 2.7}};

double Work(const Kind& kind) {
  return kind.task_ms / 1000 * kind.cores * kind.steps * kind.width;
}

struct Submitted {
  int queue = 0;
  Millis at{0};
  Millis objective{0};  // By the true run times.
  double worth = 0;
  bool counts = true;
  bool hopeless = false;
  std::vector<std::vector<Millis>> run_times;  // By step and task.
};

struct Active {
  int run = 0;
  Millis started{0};
  Millis ends{0};
  jobs::Resources need;
};

struct EmulatedVm {
  jobs::Vm view;
  std::int64_t started_at_ms = 0;
  Millis up_at{0};  // While it moves.
  std::map<jobs::TaskId, Active> active;
  std::vector<jobs::EndedRun> ended;
  std::int64_t next_end = 1;
  Millis reported_at{0};
};

class JobWorld {
 public:
  JobWorld(const JobLoad& load, Policy policy)
      : load_(load),
        policy_(policy),
        random_(load.seed),
        scheduler_(Settings(policy)),
        fleet_({kMove.count / 1000.0, 2, 64}) {
    config_.version = 1;
    for (int i = 0; i < kQueues; ++i) {
      jobs::Queue queue;
      queue.name = queue.service = PoolName(i);
      queue.priority = i % 2;
      queue.attempts = 3;
      queue.stretch = kStretch;
      queue.target = kTarget;
      config_.queues.push_back(queue);
      config_.services[queue.name] = {queue.name, true, false};
      for (int k = 0; k < load.vms_per_pool; ++k) AddVm(queue.name);
    }
    config_.services[kSparePool] = {kSparePool, true, true};
    for (int k = 0; k < load.spare_machines; ++k) AddVm(kSparePool);
    scheduler_.BeginTerm(0, {0});
    scheduler_.SetConfiguration(config_);
    fleet_.BeginTerm(now_, now_);
    for (auto& [name, vm] : vms_) Join(vm);
  }

  JobOutcome Play() {
    const Millis first = now_ + kWarmUp;
    const Millis length{static_cast<std::int64_t>(load_.seconds * 1000)};
    PlanArrivals(first, length);
    const Millis end = first + length + kCoolDown;
    for (; now_ < end; now_ += Millis{1}) Tick();
    for (const auto& [id, job] : jobs_) Count(id, job);
    for (int i = 0; i < kQueues; ++i) {
      if (owed_[i] == 0) continue;
      out_.worst_queue = std::min(out_.worst_queue, earned_[i] / owed_[i]);
    }
    std::sort(sizes_.begin(), sizes_.end(), std::greater<>());
    sizes_.resize(sizes_.size() / 10);
    const auto in_time = std::count_if(
        sizes_.begin(), sizes_.end(), [](const auto& it) { return it.second; });
    if (!sizes_.empty()) {
      out_.largest =
          static_cast<double>(in_time) / static_cast<double>(sizes_.size());
    }
    return std::move(out_);
  }

 private:
  static constexpr double kStretch = 1.6;
  static constexpr Millis kTarget{600};

  static jobs::SchedulerSettings Settings(Policy policy) {
    jobs::SchedulerSettings settings;
    settings.forecast = policy == Policy::kForecast;
    if (policy == Policy::kFirstCome) {
      settings.order = jobs::JobOrder::kFirstCome;
    } else if (policy != Policy::kForecast) {
      settings.order = jobs::JobOrder::kLeastSlack;
    }
    return settings;
  }
  static std::string PoolName(int i) { return "queue" + std::to_string(i); }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  // Of the given mean; `spread` is the standard deviation of its logarithm.
  double LogNormal(double mean, double spread) {
    return std::lognormal_distribution<double>(
        std::log(mean) - spread * spread / 2, spread)(random_);
  }
  void At(Millis when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
  }

  void AddVm(const std::string& pool) {
    const std::string name = "m" + std::to_string(100 + vms_.size());
    EmulatedVm& vm = vms_[name];
    vm.view = {name, pool, jobs::VmState::kUp, "", kVmResources};
  }

  // A new worker on the VM, unless it is off.
  void Join(EmulatedVm& vm) {
    vm.view.state = jobs::VmState::kUp;
    if (vm.view.pool == kSparePool) return;
    vm.started_at_ms = now_.count;
    vm.view.worker = vm.view.name + "@" + std::to_string(vm.started_at_ms);
    vm.active.clear();
    vm.ended.clear();
    vm.next_end = 1;
    jobs::WorkerEntry entry;
    entry.id = vm.view.worker;
    entry.address = "10.0.0.1:80";
    entry.service = vm.view.pool;
    entry.capacity = vm.view.capacity;
    entry.started_at_ms = vm.started_at_ms;
    scheduler_.UpsertWorker(entry, now_);
    Report(vm);
  }

  double Level(int queue, double t) {
    const double third = load_.seconds / 3;
    switch (load_.shape) {
      case LoadShape::kTurns: {
        const int turn = static_cast<int>(t / kTurnSeconds);
        if (turn % kQueues != queue) return 0.05;
        const double phase = t / kTurnSeconds - turn;
        return 0.05 + 5 * std::numbers::pi / 2 * 0.77 *
                          std::sin(std::numbers::pi * phase);
      }
      case LoadShape::kStep:
        return queue == 1 ? (t > third ? 3 : 0.3) : 0.6;
      case LoadShape::kRamp:
        return 2 * t / load_.seconds;
      case LoadShape::kNoise:
        return LogNormal(1, 0.8);
      case LoadShape::kOneQueue:
        return queue == 0 ? 2 : 0;
      case LoadShape::kAtOnce:
        return std::fmod(t, 10) < 1 ? 6 : 0.1;
      case LoadShape::kLargeJobs:
        return 0.25;
      default:
        return 1;
    }
  }

  void PlanArrivals(Millis first, Millis length) {
    const double cores = static_cast<double>(load_.vms_per_pool) *
                         static_cast<double>(kVmResources.cpu_milli) / 1000;
    constexpr double kSlice = 0.1;
    for (double t = 0; t * 1000 < static_cast<double>(length.count);
         t += kSlice) {
      for (int i = 0; i < kQueues; ++i) {
        const double rate = load_.utilisation * cores / Work(kKinds[i]);
        const int n = std::poisson_distribution<int>(rate * Level(i, t) *
                                                     kSlice)(random_);
        for (int k = 0; k < n; ++k) {
          const double at = (t + Uniform() * kSlice) * 1000;
          AddJob(i, first + Millis{static_cast<std::int64_t>(at)});
        }
      }
    }
  }

  void AddJob(int queue, Millis at) {
    const Kind& kind = kKinds[queue];
    Submitted job;
    job.queue = queue;
    job.at = at;
    job.hopeless = load_.shape == LoadShape::kHopeless && Uniform() < 0.1;
    jobs::JobSpec spec;
    const int steps =
        std::max(1, static_cast<int>(std::lround(LogNormal(kind.steps, 0.4))));
    const double cores =
        std::min(static_cast<double>(kVmResources.cpu_milli) / 1000,
                 LogNormal(kind.cores, 0.45));
    const double widen = load_.shape == LoadShape::kLargeJobs ? 4 : 1;
    double chain = 0;
    double work = 0;
    for (int s = 0; s < std::min(steps, 5); ++s) {
      jobs::StepSpec step;
      step.task_count = std::clamp(
          static_cast<int>(std::lround(LogNormal(kind.width * widen, 0.6))), 1,
          32);
      step.need = {static_cast<std::int64_t>(cores * 1000), 1000, 0};
      if (s > 0) step.after = {s - 1};
      const double mean = LogNormal(kind.task_ms, 0.5);
      const double guess = std::exp(
          std::normal_distribution<double>(0, load_.estimate_spread)(random_));
      step.estimate = Millis{static_cast<std::int64_t>(mean * guess) + 1};
      double longest = 0;
      auto& times = job.run_times.emplace_back();
      for (int k = 0; k < step.task_count; ++k) {
        const double length = LogNormal(mean, 0.2);
        longest = std::max(longest, length);
        work += length / 1000 * cores;
        times.push_back(Millis{static_cast<std::int64_t>(length) + 1});
      }
      chain += longest;
      spec.steps.push_back(std::move(step));
    }
    job.objective =
        at + kTarget + Millis{static_cast<std::int64_t>(kStretch * chain)};
    job.worth = kind.worth * std::min(4.0, 0.3 + 0.7 * work / Work(kind));
    const std::string id = "job" + std::to_string(jobs_.size());
    const bool cancel = load_.shape == LoadShape::kCancelled && Uniform() < 0.2;
    job.counts = !job.hopeless && !cancel;
    jobs_[id] = std::move(job);
    At(at, [this, id, queue, spec = std::move(spec)] {
      scheduler_.Submit(config_.queues[static_cast<std::size_t>(queue)], id,
                        spec, id, now_, kWall + now_);
    });
    if (cancel) {
      At(at + Millis{1000}, [this, id] {
        scheduler_.Cancel(id, now_);
        plan_due_ = true;
      });
    }
  }

  void Tick() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    for (auto& [name, vm] : vms_) Advance(vm);
    if (plan_due_ || now_ - planned_ >= kPlanGap) Plan();
    if (!committing_ && now_ - committed_ >= kCommitGap &&
        scheduler_.HasChanges()) {
      Commit();
    }
    const bool moves =
        policy_ == Policy::kReactive || policy_ == Policy::kForecast;
    if (moves && now_.count % kFleetGap.count == 0) MoveMachines();
  }

  void Advance(EmulatedVm& vm) {
    if (vm.view.state == jobs::VmState::kMoving) {
      if (now_ >= vm.up_at) Join(vm);
      return;
    }
    if (vm.view.worker.empty()) return;
    out_.pool_vm_s += 0.001;
    bool ended = false;
    for (auto it = vm.active.begin(); it != vm.active.end();) {
      if (it->second.ends > now_) {
        ++it;
        continue;
      }
      const bool fails = jobs_.at(it->first.job).hopeless;
      vm.ended.push_back({vm.next_end++, it->first, it->second.run,
                          fails ? jobs::EndKind::kFailed : jobs::EndKind::kDone,
                          ""});
      it = vm.active.erase(it);
      ended = true;
    }
    const bool due = now_ - vm.reported_at >= kReportGap;
    if (ended || (due && !vm.active.empty())) Report(vm);
  }

  // The report is asked for now and heard a hop later.
  void Report(EmulatedVm& vm) {
    vm.reported_at = now_;
    At(now_ + kHop, [this, &vm, worker = vm.view.worker, sent = now_] {
      if (vm.view.worker != worker) return;
      jobs::Worker* known = scheduler_.FindWorker(worker);
      if (!known) return;
      std::erase_if(vm.ended, [known](const jobs::EndedRun& it) {
        return it.number <= known->committed_end_number;
      });
      known->confirmed_end_number = known->committed_end_number;
      jobs::WorkerReport report;
      report.clock_ms = now_.count;
      report.started_at_ms = vm.started_at_ms;
      for (const auto& [task, active] : vm.active) {
        const double length =
            static_cast<double>((active.ends - active.started).count);
        const double done =
            static_cast<double>((now_ - active.started).count) / length;
        report.active.push_back(
            {task, active.run, "", static_cast<int>(done * 100), 0});
      }
      report.ended = vm.ended;
      scheduler_.RecordLease(*known, now_);
      scheduler_.OnReport(worker, report, sent, now_);
      plan_due_ = true;
    });
  }

  void Plan() {
    plan_due_ = false;
    planned_ = now_;
    scheduler_.OnRenewed(now_);
    const jobs::Orders orders = scheduler_.Plan(now_, kWall + now_, true);
    for (const jobs::StartOrder& it : orders.starts) {
      At(now_ + kHop, [this, it] { Start(it); });
    }
    for (const jobs::StopOrder& it : orders.stops) {
      At(now_ + kHop, [this, it] { Stop(it); });
    }
  }

  EmulatedVm* Find(const std::string& worker) {
    EmulatedVm& vm = vms_.at(worker.substr(0, worker.find('@')));
    return vm.view.worker == worker ? &vm : nullptr;
  }

  void Start(const jobs::StartOrder& order) {
    EmulatedVm* vm = Find(order.worker);
    if (!vm) {
      return scheduler_.OnStart(order, jobs::StartAnswer::kOtherIncarnation,
                                now_);
    }
    const Submitted& job = jobs_.at(order.task.job);
    Active active;
    active.run = order.run;
    active.started = now_;
    active.ends =
        now_ + job.run_times[static_cast<std::size_t>(order.task.step)]
                            [static_cast<std::size_t>(order.task.index)];
    const jobs::Job* known = scheduler_.FindJob(order.task.job);
    active.need =
        known->spec.steps[static_cast<std::size_t>(order.task.step)].need;
    jobs::Resources used = active.need;
    for (const auto& [task, it] : vm->active) used += it.need;
    if (!used.Fits(kVmResources)) out_.broken.push_back("over " + order.worker);
    vm->active[order.task] = active;
    scheduler_.OnStart(order, jobs::StartAnswer::kStarted, now_);
  }

  void Stop(const jobs::StopOrder& order) {
    EmulatedVm* vm = Find(order.worker);
    if (vm && vm->active.erase(order.task) > 0) {
      vm->ended.push_back(
          {vm->next_end++, order.task, order.run, jobs::EndKind::kStopped, ""});
    }
    scheduler_.OnStop(order, true, now_);
    if (vm) Report(*vm);
  }

  void Commit() {
    committing_ = true;
    committed_ = now_;
    At(now_ + kStoreAnswer, [this, batch = scheduler_.TakeBatch()] {
      committing_ = false;
      scheduler_.OnCommitted(batch);
      plan_due_ = true;
      for (const jobs::CommittedJob& it : batch.jobs) {
        if (it.state == jobs::JobState::kCompleted) {
          complete_.try_emplace(it.id, now_);
        }
      }
      for (const auto& [worker, started_at_ms, number] : batch.ends) {
        if (EmulatedVm* it = Find(worker)) Report(*it);
      }
    });
  }

  void MoveMachines() {
    if (fleet_.IsListingDue(now_)) {
      std::vector<jobs::Vm> list;
      for (const auto& [name, vm] : vms_) {
        list.push_back(vm.view);
      }
      fleet_.RecordListing(now_);
      fleet_.OnVms(list, now_);
    }
    for (const jobs::VmOrder& it : fleet_.Plan({}, scheduler_, now_)) {
      At(now_ + kHop, [this, it] {
        EmulatedVm& vm = vms_.at(it.vm);
        if (!vm.active.empty()) {
          out_.broken.push_back("moved while at work: " + it.vm);
        }
        ++out_.moves;
        vm.view.state = jobs::VmState::kMoving;
        vm.view.pool = it.pool;
        vm.view.worker.clear();
        vm.up_at = now_ + kMove;
        fleet_.OnAnswer(it, jobs::VmAnswer::kDone, scheduler_, now_);
        plan_due_ = true;
      });
    }
  }

  void Count(const std::string& id, const Submitted& job) {
    const jobs::Job* known = scheduler_.FindJob(id);
    if (job.hopeless && known && known->state != jobs::JobState::kFailed) {
      out_.broken.push_back("hopeless job isn't failed: " + id);
    }
    if (!job.counts) return;
    const auto queue = static_cast<std::size_t>(job.queue);
    ++out_.jobs;
    out_.worth_owed += job.worth;
    owed_[queue] += job.worth;
    const auto done = complete_.find(id);
    if (done == complete_.end()) {
      ++out_.unfinished;
    } else if (done->second > job.objective) {
      ++out_.late;
    } else {
      ++out_.in_time;
      out_.worth_earned += job.worth;
      earned_[queue] += job.worth;
    }
    const bool timely =
        done != complete_.end() && done->second <= job.objective;
    sizes_.emplace_back(job.worth / kKinds[queue].worth, timely);
  }

  JobLoad load_;
  Policy policy_;
  base::Random random_;
  jobs::Configuration config_;
  jobs::Scheduler scheduler_;
  jobs::Fleet fleet_;
  Millis now_{1000};
  Millis planned_{0};
  Millis committed_{0};
  bool plan_due_ = false;
  bool committing_ = false;
  std::multimap<Millis, std::function<void()>> events_;
  std::map<std::string, EmulatedVm> vms_;
  std::map<std::string, Submitted> jobs_;
  std::map<std::string, Millis> complete_;
  std::vector<std::pair<double, bool>> sizes_;  // Of jobs, and if in time.
  double owed_[kQueues] = {};
  double earned_[kQueues] = {};
  JobOutcome out_;
};

}  // namespace

std::string_view ToText(LoadShape shape) {
  constexpr std::string_view kNames[kLoadShapes] = {
      "steady",    "turns",   "step",       "ramp",     "noise",
      "one_queue", "at_once", "large_jobs", "hopeless", "cancelled"};
  return kNames[static_cast<std::size_t>(shape)];
}

std::string_view ToText(Policy policy) {
  constexpr std::string_view kNames[kPolicies] = {"first_come", "least_slack",
                                                  "reactive", "forecast"};
  return kNames[static_cast<std::size_t>(policy)];
}

JobOutcome PlayJobs(const JobLoad& load, Policy policy) {
  return JobWorld(load, policy).Play();
}

}  // namespace hemlockward::bench
