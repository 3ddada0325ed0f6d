#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "control/change_writer.h"
#include "control/entry_contacts.h"
#include "control/fleet_runner.h"
#include "control/fleet_state.h"
#include "control/lease_keeper.h"
#include "control_fakes.h"
#include "peer/gen/peer_types.h"
#include "peer/view_sync.h"

/// Runs several control processes on one thread, interleaved by a seed. Table
/// reads, transactions and reboots suspend before they take effect and again
/// before their reply arrives; scans only before the reply. A process that
/// isn't resumed is paused at that point.
namespace hemlockward::control {

using base::ManualClock;
using base::Millis;

/// Conditions to strip from transactions, to check that the test detects their
/// absence.
struct MissingGuards {
  bool fence = false;
  bool row_versions = false;
};

class Interleaver {
 public:
  boost::asio::io_context context;
  std::vector<std::pair<int, std::function<void()>>> waiting;

  boost::asio::awaitable<void> Pause(int process) {
    auto start = [this, process](auto handler) {
      auto kept = std::make_shared<decltype(handler)>(std::move(handler));
      waiting.emplace_back(process, [kept] { std::move (*kept)(); });
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                       void()>(std::move(start),
                                               boost::asio::use_awaitable);
  }

  void Resume(std::size_t i) {
    const auto resume = std::move(waiting[i].second);
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
    resume();
    context.restart();
    context.poll();
  }
};

/// The table and the pause points of one process.
class Handle {
 public:
  Handle(int process, FakeTable& table, Interleaver& calls,
         MissingGuards missing)
      : process_(process), table_(table), calls_(calls), missing_(missing) {}

  platform::Result<platform::Committed> Transact(platform::Transaction t) {
    std::erase_if(t.conditions, [&](const platform::Condition& it) {
      return (missing_.fence && it.key.starts_with("epoch/")) ||
             (missing_.row_versions && it.key.starts_with("vm/"));
    });
    co_await calls_.Pause(process_);
    auto result = co_await table_.Transact(std::move(t));
    co_await calls_.Pause(process_);
    co_return result;
  }
  platform::Result<std::vector<platform::Row>> Read(
      std::vector<std::string> keys) {
    co_await calls_.Pause(process_);
    auto result = co_await table_.Read(std::move(keys));
    co_await calls_.Pause(process_);
    co_return result;
  }
  platform::Result<platform::ScanPage> Scan(std::string prefix,
                                            std::string after, int limit) {
    auto result = co_await table_.Scan(prefix, after, limit);
    co_await calls_.Pause(process_);
    co_return result;
  }
  boost::asio::awaitable<void> Pause() { return calls_.Pause(process_); }

 private:
  int process_;
  FakeTable& table_;
  Interleaver& calls_;
  MissingGuards missing_;
};

/// Reports reboots to a callback, once per nonce.
class FakeVms {
 public:
  using RebootCallback = std::function<void(const base::VmId&)>;
  FakeVms(Handle& handle, std::set<std::string>& nonces,
          RebootCallback on_reboot)
      : handle_(handle), nonces_(nonces), on_reboot_(std::move(on_reboot)) {}

  platform::Result<std::vector<platform::ListedVm>> List() {
    co_return std::vector<platform::ListedVm>();
  }
  platform::Result<bool> Drain(base::VmId, std::string) { co_return true; }
  platform::Result<bool> Checkpoint(base::VmId, std::string) { co_return true; }
  platform::Result<bool> Reboot(base::VmId vm, std::string nonce) {
    co_await handle_.Pause();
    if (nonces_.insert(nonce).second) on_reboot_(vm);
    co_await handle_.Pause();
    co_return true;
  }

 private:
  Handle& handle_;
  std::set<std::string>& nonces_;
  RebootCallback on_reboot_;
};

/// The processes with their table, VMs and clock. Checks every row change;
/// `violation` describes the last violation found, empty if none.
class Cluster {
 public:
  static constexpr int kProcesses = 3;
  static constexpr Millis kLease{2000};
  static constexpr Millis kViewLease{500};

  explicit Cluster(MissingGuards missing) {
    base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                       "test");
    Seed();
    for (int i = 0; i < kProcesses; ++i) {
      processes_.push_back(std::make_unique<Process>(*this, i, missing));
      boost::asio::co_spawn(calls_.context, processes_.back()->Loop(),
                            boost::asio::detached);
    }
    calls_.context.poll();
  }

  /// Runs `steps` random steps: resumes calls, advances the clock, pauses a
  /// process or injects a fault. Stops at a violation.
  void Run(std::uint64_t seed, int steps) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < steps && violation.empty(); ++i) {
      const auto dice = random() % 1000;
      if (dice < 920) ResumeOne(random);
      if (dice >= 920 && dice < 960) {
        clock_.Advance({static_cast<std::int64_t>(random() % 100)});
      }
      if (dice >= 960 && dice < 990) Heartbeats();
      if (dice == 990) {
        frozen_ = static_cast<int>(random() % (kProcesses + 1));
      }
      if (dice == 994) table_.next = TableFault::kReplyLost;
      if (dice == 995) table_.next = TableFault::kRequestLost;
      if (dice == 996) table_.next = TableFault::kDown;
      if (dice == 997) clock_.Advance(kLease);
      CheckRows();
    }
  }

  std::string violation;
  int moved = 0;
  int rebooted = 0;
  int takeovers = 0;

 private:
  struct Process {
    Process(Cluster& c, int id, MissingGuards missing)
        : cluster(c),
          handle(id, c.table_, c.calls_, missing),
          vms(handle, c.nonces_, [&c](const auto& vm) { c.OnReboot(vm); }),
          poller(handle, c.clock_, store),
          writer(handle, store, static_cast<std::uint64_t>(id) + 1),
          leases(handle, c.clock_, LeaseOf(id),
                 static_cast<std::uint64_t>(id) + 100),
          contacts(kViewLease),
          runner(handle, vms, c.clock_, store, writer, leases, contacts, state,
                 Settings()) {}

    static LeaseSettings LeaseOf(int id) {
      const std::string name = "c" + std::to_string(id);
      return {name + ".1", name, "", 2, kLease};
    }
    static RunnerSettings Settings() {
      RunnerSettings settings;
      settings.shards = 2;
      settings.vm_call_timeout = {200};
      settings.spare_pool = base::PoolId("spare");
      settings.planner.reserve.spare_pool = settings.spare_pool;
      settings.planner.move_cooldown = {0};
      settings.wave.canary_soak = {100};
      return settings;
    }

    boost::asio::awaitable<void> Loop() {
      for (;;) {
        co_await leases.Tick();
        const auto polled = co_await poller.PollOnce();
        cluster.DeliverVerdicts(state);
        if (polled) co_await runner.Tick();
        co_await handle.Pause();
      }
    }

    Cluster& cluster;
    Handle handle;
    FakeVms vms;
    peer::ViewStore store;
    peer::ViewPoller<Handle, ManualClock> poller;
    ChangeWriter<Handle> writer;
    LeaseKeeper<Handle, ManualClock> leases;
    EntryContacts contacts;
    FleetState state;
    FleetRunner<Handle, FakeVms, ManualClock> runner;
  };

  void Put(const std::string& key, const std::string& value) {
    table_.rows[key] = {key, ++table_.newest, value};
    seeded_.rows.push_back({key, value});
  }

  void Seed() {
    const std::vector<std::pair<std::string, int>> pools{
        {"a", 5}, {"b", 2}, {"spare", 4}};
    for (const auto& [pool, n] : pools) {
      for (int i = 0; i < n; ++i) {
        base::VmRow row;
        row.vm = base::VmId(pool + std::to_string(i));
        row.pool = base::PoolId(pool);
        row.zone = base::ZoneId("z" + std::to_string(i % 2));
        row.rack = base::RackId("r" + std::to_string(i));
        Put("vm/" + row.vm.value, base::Encode(row));
      }
      if (pool == "spare") continue;
      base::ServiceDocument document;
      document.team = base::TeamId(pool);
      document.service = base::ServiceId(pool);
      document.pool = base::PoolId(pool);
      document.min_size = 4;
      document.max_size = 6;
      document.budget.least_healthy_share = 0.5;
      Put("doc/" + pool, base::Encode(document));
    }
    base::WaveRow wave;
    wave.wave = base::WaveId("w");
    Put("wave/w", base::Encode(wave));
    base::Membership membership;
    membership.number = 1;
    for (const char* it : {"e1", "e2", "e3"}) {
      base::EntryRow row;
      row.entry = base::EntryId(it);
      row.incarnation = 1;
      membership.entries.push_back(row);
    }
    Put("membership", base::Encode(membership));
    seeded_.revision = 1;
    Put(base::LogKey(1), base::Encode(seeded_));
    Put("head", "1");
  }

  void ResumeOne(std::mt19937_64& random) {
    std::vector<std::size_t> runnable;
    for (std::size_t i = 0; i < calls_.waiting.size(); ++i) {
      if (calls_.waiting[i].first != frozen_) runnable.push_back(i);
    }
    if (!runnable.empty()) calls_.Resume(runnable[random() % runnable.size()]);
  }

  // All entries report the newest revision to all processes.
  void Heartbeats() {
    peer::gen::HeartbeatReply reply;
    reply.incarnation = 1;
    reply.revision = static_cast<std::int64_t>(
        peer::ParseHeadRevision(table_.rows["head"].value));
    for (const char* it : {"e1", "e2", "e3"}) {
      reply.sender = it;
      for (const auto& process : processes_) {
        process->contacts.OnReply(reply, clock_.Now());
      }
    }
    acknowledged_ = static_cast<base::Revision>(reply.revision);
  }

  void DeliverVerdicts(FleetState& state) {
    std::vector<platform::Verdict> verdicts;
    for (const auto& [vm, row] : rows_) verdicts.push_back({vm, true, {0}});
    state.OnVerdicts(verdicts, clock_.Wall());
  }

  // Checks each changed VM row against its previous value.
  void CheckRows() {
    if (checked_ == table_.newest) return;
    checked_ = table_.newest;
    for (const auto& [key, row] : table_.rows) {
      if (key.starts_with("epoch/") && epochs_[key] != row.version) {
        epochs_[key] = row.version;
        ++takeovers;
      }
      const bool is_new = key.starts_with("vm/") &&
                          versions_[base::VmId(key.substr(3))] != row.version;
      if (!is_new) continue;
      const auto now = base::DecodeVmRow(row.value);
      const auto before = rows_.find(now->vm);
      if (before != rows_.end()) CheckChange(before->second, *now);
      rows_.insert_or_assign(now->vm, *now);
      versions_[now->vm] = row.version;
      if (now->state != base::VmState::kLeaving) continue;
      left_at_[now->vm] = peer::ParseHeadRevision(table_.rows["head"].value);
    }
  }

  void CheckChange(const base::VmRow& from, const base::VmRow& to) {
    using base::VmState;
    static const std::set<std::pair<VmState, VmState>> kAllowedTransitions{
        {VmState::kMember, VmState::kLeaving},
        {VmState::kLeaving, VmState::kEmpty},
        {VmState::kEmpty, VmState::kMember},
        {VmState::kEmpty, VmState::kRebooting},
        {VmState::kRebooting, VmState::kReturning},
        {VmState::kReturning, VmState::kMember}};
    const std::string what = to.vm.value + ": " +
                             std::string(base::ToText(from.state)) + " -> " +
                             std::string(base::ToText(to.state));
    if (!kAllowedTransitions.contains({from.state, to.state})) {
      violation = what + "\n" + base::Encode(from) + "\n" + base::Encode(to);
    }
    if (from.pool != to.pool && from.state != VmState::kEmpty) {
      violation = what + " changes pools while not empty";
    }
    if (from.pool != to.pool) ++moved;
    const bool emptied = to.state == VmState::kEmpty;
    if (emptied && acknowledged_ < left_at_[to.vm]) {
      violation = what + " before the entries acknowledged kLeaving";
    }
  }

  void OnReboot(const base::VmId& vm) {
    ++rebooted;
    CheckRows();
    if (rows_[vm].state != base::VmState::kRebooting) {
      violation = vm.value + " rebooted in state " +
                  std::string(base::ToText(rows_[vm].state));
    }
    if (++reboots_[vm] > 1) violation = vm.value + " rebooted twice in a wave";
  }

  ManualClock clock_;
  FakeTable table_;
  base::ChangeRecord seeded_;
  std::set<std::string> nonces_;
  std::map<base::VmId, base::VmRow> rows_;
  std::map<base::VmId, platform::RowVersion> versions_;
  std::map<base::VmId, base::Revision> left_at_;
  std::map<base::VmId, int> reboots_;
  std::map<std::string, platform::RowVersion> epochs_;
  base::Revision acknowledged_ = 0;
  platform::RowVersion checked_ = 0;  // Newest version checked.
  int frozen_ = kProcesses;
  std::vector<std::unique_ptr<Process>> processes_;
  Interleaver calls_;  // Last: coroutines use the above.
};

}  // namespace hemlockward::control
