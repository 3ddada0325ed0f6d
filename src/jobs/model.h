#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

/// Data model of jobs, the workers that run their tasks, and the pools. The
/// adapter in platform/ fills these types from the platform's messages.
namespace hemlockward::jobs {

using base::Millis;
using base::WallMillis;

/// Resources that a task needs or a worker offers.
struct Resources {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpu = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  [[nodiscard]] bool Fits(const Resources& room) const;
};

/// A set of tasks that may run concurrently once the steps in `after` are done.
struct StepSpec {
  int task_count = 1;
  Resources need;
  Millis estimate{0};  ///< Rough estimate by the client of one task's run time.
  std::vector<int> after;
  bool checkpoints = false;
  bool gang = false;         ///< All tasks start together under one run number.
  bool same_rack = false;    ///< Slower when spread over racks.
  bool speculative = false;  ///< Several copies of a task may run at once.
  bool long_running = false;  ///< Runs until the job is cancelled.
  /// Uses only spare CPU time; its CPU is not counted as demand.
  bool fills = false;
  std::string required_label;
  std::string data_rack;   ///< Rack of the input data; tasks are slower
                           ///< elsewhere. Empty: none.
  int max_per_worker = 0;  ///< 0: no limit.
  std::string image;
  /// Upper bound of the tail latency of a long-running task; 0: none.
  Millis tail_target{0};
  int may_miss = 0;  ///< Number of tasks that may be stopped at the same time.
};

struct JobSpec {
  std::string payload;  ///< Passed unchanged to every task.
  std::vector<StepSpec> steps;
  int occurrences = 0;  ///< 0: the steps run once, immediately.
  WallMillis first_due{};
  Millis interval{0};
};

/// Configuration of a job queue.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;  ///< The pool whose workers run its tasks.
  int priority = 0;     ///< 0 is the highest priority.
  int attempts = 1;     ///< Number of failed runs after which the job fails.
  double stretch = 1;   ///< Factor of the critical path in the objective.
  Millis target{0};     ///< Constant part of the objective.
  /// Starts must carry a ticket from the advice service.
  bool needs_tickets = false;
};

struct Service {
  std::string name;
  bool enforces_capacity = true;  ///< Workers refuse tasks that do not fit.
  bool headroom = false;          ///< VMs of this pool are powered off.
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, Service, std::less<>> services;

  /// Returns the queue with the longest path prefix that matches under `host`;
  /// null if none.
  [[nodiscard]] const Queue* Match(std::string_view host,
                                   std::string_view path) const;
};

/// The registration of a worker.
struct WorkerEntry {
  std::string id;  ///< One incarnation of the VM; a restart may keep the id.
  std::string address;
  std::string service;
  std::string zone;
  std::string vm;  ///< VM that runs the worker; empty: unknown.
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  std::uint64_t version = 0;  ///< Of the registration; a heartbeat raises it.
  /// Start of this incarnation, Unix ms; 0: unknown.
  std::int64_t started_at_ms = 0;
  int max_connections = 0;  ///< That this leader may open to it; 0: any number.
  /// Counts those that this leader has closed and the worker hasn't.
  std::shared_ptr<std::atomic<int>> half_open;
  /// Connections to it are closed after each call, and no call waits: those
  /// that are open when the leader's VM loses power stay open at the worker.
  bool brief_connections = false;
};

enum class VmState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

struct Vm {
  std::string name;
  std::string pool;
  VmState state = VmState::kUp;
  std::string worker;  ///< Id of the worker on the VM; empty when off.
  Resources capacity;
};

/// An operator's order to take VMs down for upkeep.
struct WaveOrder {
  int number = 0;
  std::vector<std::string> vms;
  Millis duration{0};
  int cap = 1;  ///< Maximum number of VMs that are down at the same time.
};

/// Identifies one task of one occurrence of a job.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  [[nodiscard]] std::string ToText() const;
  /// Returns the name of the step, without the task index: JOB.OCCURRENCE.STEP.
  [[nodiscard]] std::string StepName() const;
  static std::optional<TaskId> Parse(std::string_view text);
};

enum class EndKind : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,           ///< The lease of the worker expired.
  kGangMemberEnded,  ///< Another member of the gang ended.
  kGangIncomplete,   ///< The other members of the gang did not start.
};

struct ActiveRun {
  TaskId task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
  /// Tail latency in ms of a serving task, otherwise CPU in use.
  std::int64_t load = 0;
};

struct EndedRun {
  /// Sequence number of ended runs within one incarnation.
  std::int64_t number = 0;
  TaskId task;
  int run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

/// Report of a worker about itself and its runs.
struct WorkerReport {
  std::int64_t clock_ms = 0;  ///< Steady clock of the worker.
  std::int64_t started_at_ms = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
  /// Further runs may have ended: they are listed once these are acknowledged.
  bool more_ended = false;
};

enum class StartAnswer : std::uint8_t {
  kStarted,
  kFenced,  ///< The worker has seen a newer fencing token.
  kStale,   ///< This or a later run was stopped or has ended on the worker.
  kLate,    ///< The deadline had passed.
  kNoCapacity,
  kNoConnection,  ///< Not sent: all connections stayed in use.
  kNoTicket,
  kRefused,           ///< The worker refused; nothing was started.
  kOtherIncarnation,  ///< Another incarnation of the worker answered.
  kUnknown,           ///< No answer: the run may start now or later.
};

std::string_view ToText(StartAnswer answer);

}  // namespace hemlockward::jobs
