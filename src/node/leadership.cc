// Acquiring, watching and losing the lease, and the checks that nodes exchange
// about it.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/rows.h"
#include "node/process.h"
#include "node/renewal.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;

namespace {

/// A peer responds in 3 ms, a busy one within 100 ms; sending a large
/// configuration over a 10 Mbit/s link takes 0.3 s.
constexpr Millis kCheckTimeout{400};
/// Delay before a received configuration is sent to peers: by then most have
/// read it from the store.
constexpr Millis kConfigForwardDelay{400};
/// The holder's estimate of the store's clock may lag by this much.
constexpr Millis kStoreClockSlack{100};
/// Requests that can't be forwarded don't make checks more frequent than this.
constexpr Millis kMinCheckPause{100};
constexpr Millis kReadInterval{250};
constexpr Millis kRetryPause{100};
/// Candidates of lower priority read less often: the pause between reads grows
/// by one interval for every so many ranks.
constexpr int kRanksPerExtraInterval = 4;
constexpr Millis kMaxReadPause{700};
/// A follower that contacted the leader within this time counts as alive.
constexpr Millis kActivePeerAge = kRelaxedCheckInterval + Millis{300};
/// Random delay of a candidate, so that usually only one tries to take the
/// lease.
constexpr std::int64_t kMaxJitterMs = 60;
/// An estimate of the store's clock is replaced unconditionally after this
/// time, in which steady clocks drift apart by far less than a millisecond.
constexpr Millis kStoreTimeMaxAge = base::Seconds(10);
constexpr Millis kLongUptime = base::Seconds(20);
/// A node that no longer leads closes its connections to workers, this many at
/// a time: a large fleet has thousands.
constexpr std::size_t kClosesPerCheck = 64;

}  // namespace

// An unexpected error must not end the only coroutine that takes and gives up
// the lease: the node would keep it without leading.
Awaitable<void> NodeProcess::WatchLease() {
  while (!stopping_) {
    std::string error;
    try {
      if (leads_) {
        co_await HandOverIfWeaker();
      } else {
        worker_http_.CloseIdle(kClosesPerCheck);
        co_await CheckLease();
      }
    } catch (const std::exception& e) {
      error = e.what();
    }
    if (error.empty()) continue;
    LogLine(LogLevel::kError, "lease_check_failed").With("error", error);
    if (leads_ && !loaded_) StepDown("the stored state can't be loaded");
    co_await kernel::Sleep(kCheckInterval);
  }
}

Awaitable<void> NodeProcess::HandOverIfWeaker() {
  co_await kernel::Sleep(kCheckInterval);
  if (!leads_ || !loaded_ || stopping_) co_return;
  const Millis now = clock_.Now();
  std::optional<Millis> since_last;
  if (last_handover_) since_last = now - *last_handover_;
  const auto peers = peers_.Candidates(now, kActivePeerAge, true, {});
  if (!ShouldHandOver(Self(), peers, now - lease_taken_, since_last)) co_return;
  last_handover_ = now;
  co_await HandOver("a stronger node is available", now + kCommitTimeout);
}

Awaitable<void> NodeProcess::CheckLease() {
  const bool known = lease_.lease && !lease_.lease->released &&
                     lease_.lease->incarnation != incarnation_;
  if (known && co_await IsHolderRenewing()) {
    co_await kernel::Sleep(kMinCheckPause);
    const Millis interval = CheckInterval(NextRank());
    co_await check_signal_.Wait(interval - kMinCheckPause);
    co_return;
  }
  const Millis asked = clock_.Now();
  auto page = co_await platform_.Read(kLeaseTable, kPart, "", kReadTimeout);
  if (leads_) co_return;
  const Millis reading = clock_.Now() - asked;
  if (!page) {
    heartbeat_monitor_.OnReadFailed();
    // Another node may know who leads.
    const std::string peer = peers_.At(random_());
    bool refused = false;
    if (!peer.empty()) co_await ExchangeLeaderCheck(peer, &refused);
    co_await kernel::Sleep(kRetryPause);
    co_return;
  }
  UpdateStoreTime(page->store_ms);
  const LeaseView view = ReadLease(page->rows);
  if (view.lease_version != lease_.lease_version) {
    holder_gone_ = holder_stalled_ = holder_stopped_ = false;
    if (view.lease) {
      LogLine(LogLevel::kInfo, "leader_seen")
          .With("holder", view.lease->holder)
          .With("term", view.lease->term)
          .With("released", view.lease->released);
    }
  }
  lease_ = view;
  const Millis now = clock_.Now();
  Millis age{0};
  if (const auto heartbeat = ParseHeartbeatTime(view.heartbeat);
      heartbeat && *heartbeat > 0) {
    // A commit takes about as long as two reads.
    age = Millis{page->store_ms - *heartbeat} - reading * 2 - kStoreClockSlack;
  }
  heartbeat_monitor_.OnRead(view, now, std::max(age, Millis{0}));
  const bool free = !view.lease || view.lease->released ||
                    view.lease->incarnation == incarnation_;
  const Candidate self = Self();
  const auto peers = TakeoverCandidates();
  const int rank = NextRank();
  const Millis wait = TakeoverDelay(
      rank, ShouldWaitForStrongerPeers(self, peers, now - started_));
  const bool silent = heartbeat_monitor_.IsSilent(
      now, RequiredSilence(holder_stalled_, reading, wait));
  if (!free && !holder_gone_) {
    free_since_ = std::nullopt;
  } else if (!free_since_) {
    free_since_ = now;
  }
  const bool turn = free_since_ && now - *free_since_ >= wait;
  const bool candidate = config_.version > 0 && !stopping_;
  if (candidate && (turn || silent)) {
    LogLine(LogLevel::kInfo, "lease_is_free")
        .With("released", free)
        .With("holder_gone", holder_gone_)
        .With("holder_stalls", holder_stalled_)
        .With("rank", rank)
        .With("reading_ms", reading.count)
        .With("beat_seen_ms_ago",
              (now - heartbeat_monitor_.renewed_before()).count);
    // VMs are often restarted one after another; one that has just restarted is
    // the safer leader, so nodes with a long uptime wait longer.
    auto jitter = static_cast<std::int64_t>(random_() % kMaxJitterMs);
    if (now - started_ > kLongUptime) jitter += kMaxJitterMs;
    co_await kernel::Sleep({jitter});
    co_await TakeLease(view, page->store_ms);
    co_return;
  }
  Millis pause{kReadInterval.count +
               kReadInterval.count * rank / kRanksPerExtraInterval};
  if (free_since_ && candidate) pause = *free_since_ + wait - now;
  co_await kernel::Sleep(std::clamp(pause, kRetryPause, kMaxReadPause));
}

// True while the holder reports that it leads and renews the lease. Evidence
// that it has stopped leading or can't renew is recorded in members.
Awaitable<bool> NodeProcess::IsHolderRenewing() {
  const LeaseRow holder = *lease_.lease;
  bool refused = false;
  if (!co_await ExchangeLeaderCheck(holder.address, &refused)) {
    holder_gone_ = holder_gone_ || refused;
    co_return false;
  }
  const HolderStatus holder_status = ClassifyHolder(holder, peer_status_);
  holder_stopped_ = holder_status == HolderStatus::kReplaced ||
                    holder_status == HolderStatus::kSteppedDown;
  holder_stalled_ = holder_status == HolderStatus::kStalled;
  const bool leads = holder_status == HolderStatus::kLeads || holder_stalled_;
  if (leads) holder_heard_ = clock_.Now();
  if (holder_stopped_) {
    // The response may have named a newer leader.
    holder_gone_ =
        lease_.lease && lease_.lease->incarnation == holder.incarnation;
    co_return false;
  }
  holder_gone_ = false;
  if (holder_status == HolderStatus::kAcquiring) co_return false;
  free_since_ = std::nullopt;
  if (!holder_stalled_)
    heartbeat_monitor_.OnHolderReport(peer_status_.heartbeat_version,
                                      clock_.Now());
  co_return !holder_stalled_;
}

peer::gen::LeaderCheck NodeProcess::BuildLeaderCheck(
    std::int64_t config_version, bool all_peers) {
  peer::gen::LeaderCheck check;
  const Millis now = clock_.Now();
  check.__set_incarnation(static_cast<std::int64_t>(incarnation_));
  check.__set_leads(leads_);
  check.__set_term(static_cast<std::int64_t>(term_));
  check.__set_renewal_age_ms((now - renewed_).count);
  check.__set_commit_ms(commit_timeout_.typical().count);
  const auto version = static_cast<std::int64_t>(config_.version);
  check.__set_config_version(version);
  check.__set_operator_rows_age_ms((now - operator_rows_as_of_).count);
  const bool settled = now - config_received_ >= kConfigForwardDelay;
  if (version > config_version && settled) check.__set_config(config_source_);
  if (lease_.lease) check.__set_lease(EncodeLease(*lease_.lease));
  check.__set_beat_version(static_cast<std::int64_t>(heartbeat_version_));
  check.__set_sender(settings_.peer);
  const std::vector<std::string> peers = peers_.NextReport(now, all_peers);
  std::map<std::string, std::int32_t> strengths;
  strengths[settings_.peer] = Self().strength;
  for (const std::string& it : peers) strengths[it] = peers_.Strength(it);
  check.__set_peers(peers);
  check.__set_strengths(strengths);
  return check;
}

// Adopts a newer configuration or lease that a peer reports.
bool NodeProcess::ApplyLeaderCheck(const peer::gen::LeaderCheck& check) {
  const Millis now = clock_.Now();
  const bool is_new = peers_.OnContact(check.sender, now);
  peers_.OnReport(check.peers, check.strengths, now);
  peers_.Expire(now);
  if (!check.config.empty()) {
    ApplyOperatorRow({"", "", std::string(platform::kConfigKey), check.config},
                     check.sender);
  }
  OnConfigurationSeen(static_cast<std::uint64_t>(check.config_version));
  const auto lease = DecodeLease(check.lease);
  if (!lease) return is_new;
  const bool newer = !lease_.lease || lease->term > lease_.lease->term ||
                     (lease->term == lease_.lease->term && lease->released);
  if (!newer || lease->incarnation == incarnation_) return is_new;
  if (leads_) {
    if (lease->term <= term_) return is_new;
    StepDown("a peer knows a newer leader");
  }
  LogLine(LogLevel::kInfo, "leader_heard_of")
      .With("holder", lease->holder)
      .With("term", lease->term)
      .With("from", check.sender);
  lease_ = {};
  lease_.lease = lease;
  holder_gone_ = holder_stalled_ = holder_stopped_ = false;
  return is_new;
}

std::vector<Candidate> NodeProcess::TakeoverCandidates() const {
  const std::string_view holder =
      lease_.lease ? std::string_view(lease_.lease->address) : "";
  return peers_.Candidates(clock_.Now(), kPeerExpiry, false, holder);
}

int NodeProcess::NextRank() const {
  const Candidate self = Self();
  return TakeoverRank(self, TakeoverCandidates(),
                      lease_.lease ? lease_.lease->term : 0);
}

Candidate NodeProcess::Self() const {
  return {settings_.peer,
          LeaderStrength(settings_.cpu_share, settings_.link_mbps)};
}

Awaitable<bool> NodeProcess::ExchangeLeaderCheck(std::string address,
                                                 bool* refused) {
  peer::gen::Message message;
  // The configuration is sent only to a peer that has reported an older one.
  const auto known = static_cast<std::int64_t>(config_.version);
  const Millis asked = clock_.Now();
  message.__set_leader_check(
      BuildLeaderCheck(peers_.ConfigVersion(address).value_or(known), false));
  auto answer = co_await peer_client_.Call(address, message, kCheckTimeout);
  if (!answer) {
    *refused = answer.error().refused;
    co_return false;
  }
  if (!answer->__isset.leader_check) co_return false;
  const peer::gen::LeaderCheck& reply = answer->leader_check;
  ApplyLeaderCheck(reply);
  const auto version = static_cast<std::uint64_t>(reply.config_version);
  if (reply.leads && reply.__isset.operator_rows_age_ms &&
      version == config_.version) {
    const Millis age{reply.operator_rows_age_ms};
    operator_rows_as_of_ = std::max(operator_rows_as_of_, asked - age);
  }
  peer_status_.incarnation = static_cast<std::uint64_t>(reply.incarnation);
  peer_status_.leads = reply.leads;
  peer_status_.term = static_cast<std::uint64_t>(reply.term);
  peer_status_.heartbeat_version =
      static_cast<std::uint64_t>(reply.beat_version);
  peer_status_.renewal_age_ms = reply.renewal_age_ms;
  peer_status_.commit_ms = reply.commit_ms;
  peers_.SetConfigVersion(address, reply.config_version);
  co_return true;
}

// `ms` is the store's time when it responded. The response with the shortest
// delay gives the best estimate, which is the largest one.
void NodeProcess::UpdateStoreTime(std::int64_t ms) {
  if (ms <= 0) return;
  const Millis now = clock_.Now();
  if (ms < StoreTime() && now - store_time_received_ < kStoreTimeMaxAge) return;
  store_ms_ = ms;
  store_time_received_ = now;
}

Awaitable<void> NodeProcess::TakeLease(const LeaseView& view,
                                       std::int64_t store_ms) {
  const Takeover takeover{
      incarnation_, holder_stopped_, heartbeat_monitor_.renewed_before(),
      clock_.Now(), store_ms,        settings_.machine_turn};
  const EarlierHolders earlier = BoundEarlierHolders(view, takeover);
  const std::uint64_t term = view.lease ? view.lease->term + 1 : 0;
  LeaseRow row{settings_.name, settings_.peer, incarnation_, term};
  row.earlier_orders_end_ms = earlier.orders_end_ms;
  row.vm_orders_from_ms = earlier.vm_orders_from_ms;
  if (view.lease) {
    const bool lost =
        !view.lease->released && view.lease->incarnation != incarnation_;
    row.lost_holders = view.lease->lost_holders + (lost ? 1 : 0);
  }
  platform::StoreTransaction transaction;
  transaction.part = kPart;
  transaction.conditions.push_back(
      {kLeaseTable, kLeaseKey, view.lease_version});
  transaction.conditions.push_back(
      {kLeaseTable, kHeartbeatKey, view.heartbeat_version});
  transaction.writes.push_back({kLeaseTable, kLeaseKey, EncodeLease(row)});
  transaction.writes.push_back(
      {kLeaseTable, kHeartbeatKey, EncodeHeartbeat(term, 0, StoreTime())});
  const Millis sent = clock_.Now();
  auto version = co_await platform_.Commit(transaction, kCommitTimeout);
  if (!version) {
    // If only the response was lost, the next read shows this node's own
    // incarnation as holder, which counts as free, and the lease is taken
    // again.
    LogLine(LogLevel::kInfo, "lease_not_taken")
        .With("term", term)
        .With("error", version.error().what);
    heartbeat_monitor_.OnReadFailed();
    co_await kernel::Sleep(kRetryPause);
    co_return;
  }
  leads_ = true;
  operator_rows_signal_.Notify();  // A leader confirms the rows more often.
  loaded_ = false;
  term_ = term;
  fence_ = heartbeat_version_ = version->version;
  UpdateStoreTime(version->store_ms);
  heartbeat_number_ = 0;
  renewed_ = sent;
  commit_failed_ = false;
  lease_taken_ = clock_.Now();
  lease_.lease = own_lease_ = row;
  lease_.lease_version = version->version;
  // A worker that has restarted under its id may take the last orders of the
  // earlier holder by the clock of its former incarnation, until their calls
  // end.
  const Millis lease =
      jobs::LongestGrant({settings_.worker_lease, settings_.longest_lease}) +
      kLongestCall;
  scheduler_.BeginTerm(term,
                       std::max(earlier.orders_end, earlier.renewed) + lease,
                       row.lost_holders);
  scheduler_.OnRenewed(renewed_);
  scheduler_.SetConfiguration(config_);
  fleet_.BeginTerm(earlier.vm_orders_from, lease_taken_);
  written_wave_states_.clear();
  metrics_.Count("hemlockward_takeovers_total");
  LogLine(LogLevel::kInfo, "lease_taken")
      .With("term", term)
      .With("fence", fence_)
      .With("last_holder_stopped_in_ms",
            (earlier.orders_end - lease_taken_).count);
  pool_.Spawn("commit", CommitLoop(term));
  if (!co_await Load(term)) co_return;
  loaded_ = true;
  LogLine(LogLevel::kInfo, "leading")
      .With("term", term)
      .With("jobs", scheduler_.job_count())
      .With("workers", scheduler_.workers().size())
      .With("after_ms", (clock_.Now() - lease_taken_).count);
  committed_signal_.Notify();
  pool_.SpawnLoop("workers", [this, term] { return FollowWorkers(term); });
  pool_.SpawnLoop("plan", [this, term] { return PlanLoop(term); });
  pool_.SpawnLoop("fleet", [this, term] { return FleetLoop(term); });
}

Awaitable<bool> NodeProcess::LoadTable(std::uint64_t term, std::string table) {
  TableRead read;
  read.table = table;
  read.part = kPart;
  read.apply = [this, table](const platform::StoreRow& row) {
    LoadRow(table, row);
  };
  read.may_continue = [this, term] { return IsLeading(term); };
  const auto version = co_await ReadTable(platform_, std::move(read));
  co_return version.has_value();
}

void NodeProcess::LoadRow(std::string_view table,
                          const platform::StoreRow& row) {
  const Millis now = clock_.Now();
  bool read = true;
  if (table == jobs::kJobTable) {
    read = scheduler_.LoadJob(
        row.key, row.value,
        [](std::string_view source) -> std::optional<jobs::JobSpec> {
          auto spec = platform::DecodeJob(source);
          if (!spec) return std::nullopt;
          return *std::move(spec);
        },
        now, clock_.Wall());
  } else if (table == jobs::kProgressTable) {
    read = scheduler_.LoadProgress(row.key, row.value, now);
  } else if (table == jobs::kWorkerTable) {
    scheduler_.LoadWorker(row.key, row.value, now);
  } else if (table == jobs::kOrderTable) {
    fleet_.LoadRecent(row.value, StoreOffset());
  } else {
    fleet_.LoadWave(row.key, row.value);
  }
  if (read) return;
  LogLine(LogLevel::kError, "row_unreadable")
      .With("table", table)
      .With("key", row.key);
}

// Loads all persistent state; false if the lease was lost meanwhile. Only this
// node writes these tables, so the pages form one state.
Awaitable<bool> NodeProcess::Load(std::uint64_t term) {
  for (const char* it :
       {jobs::kJobTable, jobs::kProgressTable, jobs::kWorkerTable,
        jobs::kWaveTable, jobs::kOrderTable}) {
    if (!co_await LoadTable(term, it)) co_return false;
  }
  co_return IsLeading(term);
}

void NodeProcess::StepDown(std::string_view reason) {
  if (!leads_) return;
  leads_ = loaded_ = handing_over_ = releasing_ = false;
  LogLine(LogLevel::kWarning, "stepped_down")
      .With("term", term_)
      .With("reason", reason)
      .With("renewed_ms_ago", (clock_.Now() - renewed_).count);
  scheduler_.BeginTerm(term_, {0});
  lease_ = {};
  heartbeat_monitor_.OnReadFailed();
  watched_workers_.clear();
  commit_signal_.Notify();
  committed_signal_.Notify();
  plan_signal_.Notify();
  for (auto& [id, signal] : worker_signals_) signal->Notify();
}

}  // namespace hemlockward::node
