#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "base/log.h"
#include "entry/claims.h"
#include "entry/owner.h"
#include "entry/queue.h"
#include "entry/router.h"

// Cost of single decisions and of what surrounds them.
namespace {

using namespace hemlockward;  // NOLINT(google-build-using-namespace)
using base::Millis;

constexpr std::int64_t kStart = 1'700'000'000'000;

base::Membership MakeMembership(std::size_t entries) {
  base::Membership membership;
  membership.number = 1;
  for (std::size_t i = 0; i < entries; ++i) {
    base::EntryRow row;
    row.entry = base::EntryId("entry-" + std::to_string(i));
    row.incarnation = 1;
    membership.entries.push_back(row);
  }
  return membership;
}

// One pool over four zones; the entry has all tokens.
base::FleetView MakeView(std::int64_t workers) {
  base::FleetView view;
  base::ServiceDocument document;
  document.team = base::TeamId("team");
  document.service = base::ServiceId("service");
  document.pool = base::PoolId("pool");
  view.documents[document.team] = document;
  for (std::int64_t i = 0; i < workers; ++i) {
    base::VmRow row;
    row.vm = base::VmId("vm-" + std::to_string(i));
    row.pool = document.pool;
    row.zone = base::ZoneId("zone-" + std::to_string(i % 4));
    row.address = "127.0.0.1:20000";
    view.vms[row.vm] = row;
  }
  view.membership = MakeMembership(1);
  return view;
}

// One decision with its end, at half of all slots in use.
void RouterPickAndFinish(benchmark::State& state) {
  const base::FleetView view = MakeView(state.range(0));
  const base::ServiceId service("service");
  entry::SlotLedger slots(base::EntryId("entry-0"), 1, base::Seconds(30));
  slots.InstallMembership(view.membership, {0});
  entry::Router router(base::ZoneId("zone-0"), slots, {});
  router.Install(view);
  base::Random random(1);
  std::vector<entry::SlotIndex> in_use;
  for (std::int64_t i = 0; i < state.range(0) * 4; ++i) {
    in_use.push_back(router.Pick(service, {}, {0}, random)->row);
  }
  std::size_t next = 0;
  for (auto _ : state) {
    const auto route = router.Pick(service, {}, {0}, random);
    benchmark::DoNotOptimize(route);
    router.FinishAttempt(in_use[next], entry::AttemptResult::kOk, 100, {0});
    in_use[next] = route->row;
    next = (next + 1) % in_use.size();
  }
}
BENCHMARK(RouterPickAndFinish)->Arg(10)->Arg(1000)->Arg(22000);

void RouterInstall(benchmark::State& state) {
  const base::FleetView view = MakeView(state.range(0));
  entry::SlotLedger slots(base::EntryId("entry-0"), 1, base::Seconds(30));
  slots.InstallMembership(view.membership, {0});
  entry::Router router(base::ZoneId("zone-0"), slots, {});
  for (auto _ : state) router.Install(view);
}
BENCHMARK(RouterInstall)->Arg(10)->Arg(1000)->Arg(22000);

void LedgerDealsAMembership(benchmark::State& state) {
  entry::SlotLedger slots(base::EntryId("entry-0"), 1, base::Seconds(30));
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    slots.Add(base::VmId("vm-" + std::to_string(i)), 8);
  }
  base::Membership membership = MakeMembership(7);
  for (auto _ : state) {
    slots.InstallMembership(membership, {0});
    ++membership.number;
  }
}
BENCHMARK(LedgerDealsAMembership)->Arg(10)->Arg(1000)->Arg(22000);

std::string MakeUuid(std::uint32_t i) {
  char buf[40];
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-7000-8000-0000%08x",
                static_cast<unsigned long long>(kStart >> 16),
                static_cast<unsigned long long>(kStart & 0xffff), i);
  return buf;
}

void KeyParseAndOwner(benchmark::State& state) {
  const base::Membership membership = MakeMembership(7);
  const std::string text = MakeUuid(1);
  for (auto _ : state) {
    const auto key = entry::ParseKey(text);
    benchmark::DoNotOptimize(entry::OwnerOf(*key, membership, {kStart}, {}));
  }
}
BENCHMARK(KeyParseAndOwner);

void ClaimSendFinish(benchmark::State& state) {
  entry::ClaimLimits limits;
  limits.max_claims = 1U << 31;
  entry::Claims claims(limits, {});
  entry::Key key = *entry::ParseKey(MakeUuid(0));
  const auto outcome = std::make_shared<const entry::StoredOutcome>();
  std::uint32_t next = 0;
  for (auto _ : state) {
    // A key each 100 us, so that as many expire as come.
    key.timestamp = {kStart + next / 10};
    key.text = MakeUuid(next++);
    claims.Claim(key, 1, key.timestamp);
    claims.MarkSent(key.text);
    claims.Finish(key.text, outcome);
  }
}
BENCHMARK(ClaimSendFinish);

void QueuePushAndPop(benchmark::State& state) {
  entry::QueueLimits limits;
  limits.lengths = {100'000, 100'000, 100'000};
  entry::RequestQueue queue(limits);
  entry::RequestNumber next = 0;
  const auto push = [&] {
    const auto value = static_cast<base::RequestClass>(next % 3);
    const Millis deadline =
        base::Seconds(60) + Millis{std::int64_t(next % 977)};
    (void)queue.Push({next++, value, {0}, deadline, 100}, {0});
  };
  for (std::int64_t i = 0; i < state.range(0); ++i) push();
  for (auto _ : state) {
    push();
    benchmark::DoNotOptimize(queue.Pop({0}));
  }
}
BENCHMARK(QueuePushAndPop)->Arg(10)->Arg(1000)->Arg(100'000);

void QueueCancelWave(benchmark::State& state) {
  const std::int64_t n = state.range(0);
  entry::QueueLimits limits;
  limits.lengths = {100'000, 100'000, 100'000};
  limits.max_bytes = 1UL << 32;
  std::vector<entry::RequestNumber> ids;
  for (std::int64_t i = 0; i < n; ++i) {
    ids.push_back(static_cast<entry::RequestNumber>(i));
  }
  for (auto _ : state) {
    state.PauseTiming();
    entry::RequestQueue queue(limits);
    for (const entry::RequestNumber id : ids) {
      (void)queue.Push(
          {id, base::RequestClass::kNormal, {0}, base::Seconds(60), 100}, {0});
    }
    state.ResumeTiming();
    benchmark::DoNotOptimize(queue.CancelAll(ids));
  }
  state.SetComplexityN(n);
}
BENCHMARK(QueueCancelWave)->Arg(1000)->Arg(10'000)->Arg(100'000)->Complexity();

void RouteLogLine(benchmark::State& state) {
  base::ConfigureLog(base::LogLevel::kInfo, base::LogFormat::kKeyValue,
                     "/dev/null", "costs");
  for (auto _ : state) {
    base::LogLine(base::LogLevel::kInfo, "route")
        .With("request", "0123456789abcdef0123456789abcdef")
        .With("service", "service")
        .With("vm", "vm-1")
        .With("reason", entry::ToText(entry::RouteReason::kOwnZone))
        .With("revision", std::uint64_t{12345});
  }
}
BENCHMARK(RouteLogLine);

}  // namespace

BENCHMARK_MAIN();
