#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

/// Jobs, the workers that run their tasks, and the pools they belong to, in
/// the project's own words. The adapter in platform/ fills these types.
namespace hemlockward::jobs {

using base::Millis;
using base::WallMillis;

/// What a task needs or a worker has.
struct Resources {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpu = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  [[nodiscard]] bool Fits(const Resources& room) const;
};

/// Tasks that may run side by side once the steps in `after` are done.
struct StepSpec {
  int task_count = 1;
  Resources need;
  Millis estimate{0};  ///< The client's rough guess of one task's run time.
  std::vector<int> after;
  bool checkpoints = false;
  bool gang = false;         ///< All tasks start together under one run number.
  bool same_rack = false;    ///< Slower when spread over racks.
  bool speculative = false;  ///< Copies may run side by side.
  bool lasting = false;      ///< Runs until the job is cancelled.
  bool fills = false;  ///< Uses spare processor time; not counted as need.
  std::string required_label;
  std::string data_rack;   ///< Slower on any other rack; empty: anywhere.
  int max_per_worker = 0;  ///< 0: no limit.
  std::string image;
  Millis tail_target{0};  ///< For lasting tasks: bound of their tail latency.
  int may_miss = 0;       ///< Tasks that we may have stopped at one time.
};

struct JobSpec {
  std::string payload;  ///< Passed to every task as it came.
  std::vector<StepSpec> steps;
  int occurrences = 0;  ///< 0: the steps run once, at once.
  WallMillis first_due{};
  Millis interval{0};
};

/// A queue of jobs, as configured.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;         ///< The pool whose workers run its tasks.
  int priority = 0;            ///< 0 goes first.
  int attempts = 1;            ///< Failed runs after which a task is given up.
  double stretch = 1;          ///< Objective per chain of work.
  Millis target{0};            ///< Added to the objective.
  bool needs_tickets = false;  ///< Starts carry a ticket of the advice service.
};

struct Service {
  std::string name;
  bool enforces_capacity = true;  ///< Workers refuse what doesn't fit.
  bool headroom = false;          ///< Its machines are off.
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, Service, std::less<>> services;

  /// The queue of the longest matching prefix under `host`; null if none.
  [[nodiscard]] const Queue* Match(std::string_view host,
                                   std::string_view path) const;
};

/// A worker as it registered itself.
struct WorkerEntry {
  std::string id;  ///< One life of a machine; a restart may keep it.
  std::string address;
  std::string service;
  std::string zone;
  std::string machine;  ///< Whose life it is; empty: not said.
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  std::int64_t born = 0;  ///< Start of this incarnation, Unix ms; 0: unknown.
};

enum class MachineState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

struct Machine {
  std::string name;
  std::string pool;
  MachineState state = MachineState::kUp;
  std::string worker;  ///< Id of its worker; empty when off.
  Resources capacity;
};

/// An operator's order to take machines down for upkeep.
struct WaveOrder {
  int number = 0;
  std::vector<std::string> machines;
  Millis duration{0};
  int cap = 1;  ///< Machines down for it at one time.
};

/// Names one task of one occurrence.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  [[nodiscard]] std::string ToText() const;
  /// The step it belongs to, without the index: JOB.OCCURRENCE.STEP.
  [[nodiscard]] std::string StepName() const;
  static std::optional<TaskId> Parse(std::string_view text);
};

enum class EndKind : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  ///< The worker's lease ran out.
  kBroken,  ///< Another member of the gang ended.
  kAlone,   ///< The rest of the gang didn't come.
};

struct ActiveRun {
  TaskId task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
  std::int64_t load = 0;  ///< Tail in ms of a serving task, else cpu in use.
};

struct EndedRun {
  std::int64_t number = 0;  ///< Counts the ends of one incarnation.
  TaskId task;
  int run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

/// What a worker says of itself and what runs there.
struct WorkerReport {
  std::int64_t clock_ms = 0;  ///< The worker's own steady clock.
  std::int64_t born = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
};

enum class StartAnswer : std::uint8_t {
  kStarted,
  kFenced,  ///< A newer leader has given orders there.
  kStale,   ///< This or a later run was stopped or has ended there.
  kLate,    ///< The deadline had passed.
  kNoRoom,
  kNoTicket,
  kRefused,    ///< The worker did nothing.
  kOtherLife,  ///< Another incarnation listens at the address.
  kUnknown,    ///< No answer: it may run, now or later.
};

std::string_view ToText(StartAnswer answer);

}  // namespace hemlockward::jobs
