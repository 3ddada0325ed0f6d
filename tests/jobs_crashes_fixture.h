#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs::testing {

/// VMs whose workers crash and are replaced.
class CrashTest : public SchedulerTest {
 protected:
  // The worker on the VM `vm` crashes, if there is one, and another one
  // registers.
  void Restart(const std::string& vm) {
    for (auto& [id, worker] : scheduler_.workers()) {
      if (worker.entry.vm == vm) worker.unresponsive = true;
    }
    WorkerEntry entry;
    entry.id = vm + "-" + std::to_string(++lives_);
    entry.address = "10.0.0.1:80";
    entry.service = "pool";
    entry.vm = vm;
    entry.capacity = {8000, 64'000, 0};
    entry.started_at_ms = 1000 + lives_;
    scheduler_.UpsertWorker(entry, now_);
    WorkerReport report;
    report.clock_ms = now_.count + 500;
    report.started_at_ms = entry.started_at_ms;
    scheduler_.OnReport(entry.id, report, now_, now_);
    Commit();
  }

  void AddVms(int n) {
    for (int i = 1; i <= n; ++i) Restart("vm" + std::to_string(i));
  }

  Orders Start() {
    Orders orders = PlanStarts();
    Started(orders);
    return orders;
  }

  // Plans and commits until the first start.
  StartOrder StartWithin(Millis wait) {
    for (const Millis end = now_ + wait; now_ < end; now_ += Millis{200}) {
      const Orders orders = Plan();
      Started(orders);
      if (!orders.starts.empty()) return orders.starts[0];
      Store();
    }
    return {};
  }

  // The worker is out of reach until its lease has lapsed.
  void GoSilent(const std::string& id) {
    Worker& worker = scheduler_.workers().at(id);
    worker.unresponsive = true;
    worker.listed = false;
    now_ = std::max(now_, worker.lease_expires_by + Millis{1});
    scheduler_.Plan(now_, kWall + Millis{now_.count}, false);
  }

  // All workers report that they go on, and their leases are renewed.
  void ReportAll() {
    std::map<std::string, std::vector<ActiveRun>> active;
    for (const auto& [id, worker] : scheduler_.workers()) {
      if (worker.ended) continue;
      auto& runs = active[id];
      for (const auto& [task, run] : worker.runs) {
        runs.push_back({task, run.number, "", ++percent_, 0});
      }
    }
    for (const auto& [id, runs] : active) {
      WorkerReport report;
      report.clock_ms = now_.count + 500;
      report.started_at_ms = scheduler_.workers().at(id).entry.started_at_ms;
      report.active = runs;
      scheduler_.OnReport(id, report, now_, now_);
      scheduler_.RecordLease(scheduler_.workers().at(id), now_);
    }
  }

  void Return(const std::string& id, std::vector<EndedRun> ended) {
    WorkerReport report;
    report.clock_ms = now_.count + 500;
    report.started_at_ms = scheduler_.workers().at(id).entry.started_at_ms;
    report.ended = std::move(ended);
    scheduler_.OnReport(id, report, now_, now_);
  }

  void Crash(const std::string& worker) {
    Restart(scheduler_.workers().at(worker).entry.vm);
  }

  // Starts the task of the only job again and again. Each worker crashes before
  // it answers the start. Returns the number of starts.
  int CrashBeforeAnswers(int max_starts) {
    int starts = 0;
    while (starts < max_starts) {
      Orders orders;
      for (const Millis end = now_ + base::Seconds(3);
           orders.starts.empty() && now_ < end; Commit()) {
        orders = Plan(Millis{200});
      }
      if (orders.starts.empty()) break;
      ++starts;
      scheduler_.OnStart(orders.starts[0], StartAnswer::kUnknown, now_);
      Crash(orders.starts[0].worker);
    }
    return starts;
  }

  // The worker crashes and starts again under its id.
  void RestartUnderItsId(const std::string& id) {
    Worker& worker = scheduler_.workers().at(id);
    WorkerEntry entry = worker.entry;
    entry.started_at_ms = 1000 + ++lives_;
    worker.unresponsive = true;
    now_ += Millis{10};
    scheduler_.UpsertWorker(entry, now_);
    for (int i = 0; i < 2; ++i) {
      Plan();
      Return(id, {});
    }
    Store();
  }

  void SubmitGang(const std::string& job) {
    StepSpec step = Step(4, 1000);
    step.gang = true;
    Submit(job, OneStep(step));
  }

  // The first member crashes its worker, and the others end.
  void CrashGang(const Orders& orders) {
    const std::string crashed = orders.starts.at(0).worker;
    now_ += Millis{10};
    for (const StartOrder& it : orders.starts) {
      if (it.worker == crashed) continue;
      const std::int64_t number =
          scheduler_.workers().at(it.worker).reported_end_number + 1;
      Return(it.worker,
             {{number, it.task, it.run, EndKind::kGangMemberEnded, ""}});
    }
    Crash(crashed);
  }

  // Another node leads, which knows what was stored, and the worker `lost`,
  // which has crashed, only from its row.
  void TakeOver(const std::string& job, const std::string& lost) {
    std::vector<Worker> workers;
    for (const auto& [id, worker] : scheduler_.workers()) {
      if (!worker.ended && worker.listed) workers.push_back(worker);
    }
    scheduler_.BeginTerm(++term_, now_);
    ASSERT_TRUE(scheduler_.LoadJob(
        job, row_, [](std::string_view) { return OneStep(Step(1, 1000)); },
        now_, kWall));
    if (!progress_.empty()) {
      ASSERT_TRUE(scheduler_.LoadProgress(job, progress_, now_));
    }
    now_ += Millis{10};
    for (const Worker& it : workers) {
      const std::string& id = it.entry.id;
      scheduler_.LoadWorker(id, EncodeWorkerRow(it), now_);
      if (id == lost) continue;
      scheduler_.UpsertWorker(it.entry, now_);
      WorkerReport report;
      report.clock_ms = now_.count + 500;
      report.started_at_ms = it.entry.started_at_ms;
      scheduler_.OnReport(id, report, now_, now_);
    }
  }

  // The platform's list of VMs is read.
  void ListVms() {
    std::map<std::string, Vm> vms;
    for (const auto& [id, worker] : scheduler_.workers()) {
      if (!worker.adopted || worker.unresponsive) continue;
      vms[worker.entry.vm] = {worker.entry.vm, "pool", VmState::kUp, id, {}};
    }
    std::vector<Vm> list;
    for (const auto& [name, vm] : vms) list.push_back(vm);
    now_ += Millis{10};
    scheduler_.OnVmsListed(list, now_, now_);
    Store();
  }

  void Store() {
    Commit();
    const Job* job = scheduler_.FindJob("deadly");
    if (job) progress_ = EncodeProgressRow(*job);
  }

  const Task& FirstTask(const std::string& job) {
    return scheduler_.FindJob(job)->occurrences.at(0).steps[0].tasks[0];
  }

  int lives_ = 0;
  int percent_ = 0;
  std::uint64_t term_ = 0;
  std::string row_;
  std::string progress_;
};

}  // namespace hemlockward::jobs::testing
