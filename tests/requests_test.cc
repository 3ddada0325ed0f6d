#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstdlib>
#include <map>
#include <new>

#include "entry/admission.h"
#include "entry/ejection.h"
#include "entry/queue.h"
#include "entry/retry.h"
#include "entry/router.h"

// Counts all allocations of the program, to test code that must not allocate.
static std::size_t allocations = 0;

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

// Tests of the request queue, admission, retries, ejection and routing.
namespace hemlockward::entry {
namespace {

using base::Millis;
using base::RequestClass;
using base::Seconds;

QueuedRequest MakeRequest(RequestNumber id, RequestClass value, Millis now,
                          Millis timeout = Seconds(60)) {
  return {id, value, now, now + timeout, 100};
}

TEST(RequestQueue, IsBoundedByCountBytesAndDeadline) {
  QueueLimits limits;
  limits.lengths = {2, 2, 0};
  limits.max_bytes = 350;
  RequestQueue queue(limits);
  const Millis now{0};
  const auto push = [&](RequestNumber id, RequestClass value, Millis timeout) {
    return queue.Push(MakeRequest(id, value, now, timeout), now);
  };
  EXPECT_TRUE(push(1, RequestClass::kNormal, {10}));
  EXPECT_TRUE(push(2, RequestClass::kNormal, {20}));
  EXPECT_EQ(push(3, RequestClass::kNormal, {10}).error(),
            QueueRefusal::kQueueFull);
  EXPECT_EQ(push(4, RequestClass::kBatch, {10}).error(),
            QueueRefusal::kQueueFull);
  EXPECT_EQ(push(5, RequestClass::kUrgent, {0}).error(),
            QueueRefusal::kExpired);
  EXPECT_TRUE(push(6, RequestClass::kUrgent, {30}));
  EXPECT_EQ(push(7, RequestClass::kUrgent, {30}).error(),
            QueueRefusal::kByteLimit);
  EXPECT_EQ(queue.TakeExpired({10}).size(), 1U);
  EXPECT_EQ(queue.Pop({10})->id, 6U);
  EXPECT_EQ(queue.Pop({10}, MaskOf(RequestClass::kUrgent)), std::nullopt);
  EXPECT_EQ(queue.Pop({10})->id, 2U);
  EXPECT_EQ(queue.bytes(), 0U);
}

// Pops one request every `gap` while urgent and batch requests are always
// waiting. Returns the number of pops by class.
std::map<RequestClass, int> PopUnderFlood(Millis gap, int pops) {
  RequestQueue queue({});
  std::map<RequestClass, int> popped;
  Millis now{0};
  RequestNumber id = 0;
  for (int i = 0; i < 20; ++i) {
    (void)queue.Push(
        MakeRequest(++id, RequestClass::kBatch, now, base::Hours(9)), now);
  }
  for (int i = 0; i < pops; ++i) {
    (void)queue.Push(MakeRequest(++id, RequestClass::kUrgent, now), now);
    (void)queue.Push(MakeRequest(++id, RequestClass::kUrgent, now), now);
    ++popped[queue.Pop(now)->request_class];
    now += gap;
    (void)queue.TakeExpired(now);
  }
  return popped;
}

TEST(RequestQueue, BatchGetsTurnsOnlyWhileUrgentCanWait) {
  EXPECT_GT(PopUnderFlood({1}, 400)[RequestClass::kBatch], 5);
  // A turn for batch would delay urgent requests beyond their limit.
  EXPECT_EQ(PopUnderFlood({4000}, 140)[RequestClass::kBatch], 0);
  // After kAgingLimit batch gets its turns regardless.
  EXPECT_GT(PopUnderFlood({4000}, 400)[RequestClass::kBatch], 5);
}

RC_GTEST_PROP(RequestQueue, EveryRequestLeavesOnce, ()) {
  const auto any = rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(500, any);
  QueueLimits limits;
  limits.lengths = {20, 20, 20};
  RequestQueue queue(limits);
  std::map<RequestNumber, int> inside;
  Millis now{0};
  RequestNumber next = 1;
  const auto leave = [&](RequestNumber id) {
    RC_ASSERT(inside.erase(id) == 1);
  };
  for (const std::uint32_t step : steps) {
    switch (step % 8) {
      case 0:
        now += Millis{(step >> 8) % 50};
        break;
      case 1:
        for (const QueuedRequest& request : queue.TakeExpired(now)) {
          leave(request.id);
        }
        break;
      case 2: {
        const RequestNumber id = 1 + (step >> 8) % next;
        RC_ASSERT(queue.Cancel(id) == inside.contains(id));
        inside.erase(id);
        break;
      }
      case 3:
        if (const auto request = queue.Pop(now)) {
          RC_ASSERT(request->deadline > now);
          leave(request->id);
        }
        break;
      default: {
        const auto value = static_cast<RequestClass>((step >> 8) % 3);
        const Millis timeout{(step >> 10) % 200};
        const auto request = MakeRequest(next, value, now, timeout);
        if (queue.Push(request, now)) inside[next] = 1;
        ++next;
      }
    }
    RC_ASSERT(queue.size() == inside.size());
    RC_ASSERT(queue.bytes() == 100 * inside.size());
  }
  for (const QueuedRequest& request : queue.TakeAll()) leave(request.id);
  RC_ASSERT(inside.empty() && queue.size() == 0);
}

TEST(RunTimes, LearnsAwayFromAWrongDeclaration) {
  RunTimes times(10'000);
  EXPECT_NEAR(times.MeanMillis(), 10'000, 1);
  for (int i = 0; i < 5000; ++i) times.Observe(i % 10 == 0 ? 1000 : 100);
  EXPECT_NEAR(times.MeanMillis(), 190, 30);
  EXPECT_NEAR(times.QuantileMillis(0.5), 100, 20);
  EXPECT_NEAR(times.QuantileMillis(0.95), 1000, 200);
}

TEST(Admit, ShedsOnlyWhatCannotFinish) {
  const struct {
    AdmissionInput view;
    Millis remaining;
    bool admitted;
    Millis retry_after;
  } cases[] = {
      {{0, 1, 8, 10, 100, 100}, {50}, true, {0}},  // A free slot: admitted.
      {{0, 1, 8, 10, 100, 100}, {0}, false, {1000}},
      {{80, 0, 8, 10, 100, 100}, {1200}, true, {0}},
      {{80, 0, 8, 10, 100, 100}, {1100}, false, {1000}},
      {{800, 0, 8, 10, 100, 100}, {1000}, false, {10'000}},
      {{80, 0, 0, 10, 100, 100}, {100}, true, {0}},  // No tokens yet.
      {{0, 0, 0, 0, 100, 100}, {9000}, false, {1000}},
  };
  for (const auto& c : cases) {
    const auto admitted = Admit(c.view, c.remaining);
    EXPECT_EQ(admitted.has_value(), c.admitted) << c.view.waiting_ahead;
    if (!admitted) {
      EXPECT_EQ(admitted.error().retry_after, c.retry_after);
    }
  }
}

TEST(DecideRetry, NeverRepeatsWhatMayNotRunTwice) {
  const RetryPolicy policy;
  const Millis left = Seconds(60);
  using base::Outcome;
  using Failure = AttemptFailure;
  const struct {
    AttemptHistory history;
    Failure failure;
    RetryAction action;
    Outcome outcome;
  } cases[] = {
      {{false, 0, 1, 0, left}, Failure::kNotSent, RetryAction::kRetry, {}},
      {{false, 0, 1, 0, left}, Failure::kRefused, RetryAction::kRetry, {}},
      {{false, 1, 1, 1, left},
       Failure::kBroken,
       RetryAction::kAnswer,
       Outcome::kUnknown},
      {{false, 1, 1, 1, left},
       Failure::kTimeout,
       RetryAction::kAnswer,
       Outcome::kUnknown},
      {{false, 1, 1, 1, left},
       Failure::kServerError,
       RetryAction::kAnswer,
       Outcome::kDone},
      {{false, 1, 2, 1, left},
       Failure::kRefused,
       RetryAction::kAnswer,
       Outcome::kUnknown},
      {{true, 1, 1, 1, left}, Failure::kBroken, RetryAction::kRetry, {}},
      {{true, 3, 3, 3, left},
       Failure::kServerError,
       RetryAction::kAnswer,
       Outcome::kDone},
      {{true, 4, 4, 2, left},
       Failure::kTimeout,
       RetryAction::kAnswer,
       Outcome::kUnknown},
      {{true, 0, 12, 0, left},
       Failure::kRefused,
       RetryAction::kAnswer,
       Outcome::kNotRun},
      {{true, 1, 1, 1, {0}},
       Failure::kBroken,
       RetryAction::kAnswer,
       Outcome::kUnknown},
  };
  base::Random random(1);
  for (const auto& c : cases) {
    RetryBudget budget(policy);
    const auto decision =
        DecideRetry(c.history, c.failure, policy, budget, random);
    EXPECT_EQ(decision.action, c.action) << decision.reason;
    EXPECT_FALSE(decision.reason.empty());
    if (decision.action == RetryAction::kAnswer) {
      EXPECT_EQ(decision.outcome, c.outcome) << decision.reason;
    }
  }
}

TEST(TokensToKeep, OneThatWaitsGivesNothingAndIsNotAsked) {
  EXPECT_EQ(TokensToKeep({1, 6, 9}), 6);
  EXPECT_EQ(TokensToKeep({0, 6, 0}), 6);
  EXPECT_EQ(TokensToKeep({0, 7, 9}), 3);
  EXPECT_EQ(TokensToKeep({0, 1, 9}), 0);
  EXPECT_FALSE(IsWorthAsking(1));
  EXPECT_TRUE(IsWorthAsking(0));
}

TEST(RetryBudget, IsAShareOfSuccesses) {
  RetryPolicy policy;
  policy.max_budget = 2;
  RetryBudget budget(policy);
  EXPECT_TRUE(budget.Spend() && budget.Spend());
  EXPECT_FALSE(budget.Spend());
  for (int i = 0; i < 11; ++i) budget.OnSuccess();
  EXPECT_TRUE(budget.Spend());
  EXPECT_FALSE(budget.Spend());
}

TEST(PoolHealth, EjectsABoundedShareAndReadmitsByTrial) {
  PoolHealth health({});
  for (SlotIndex worker = 0; worker < 10; ++worker) health.Add(worker);
  // Three of ten workers fail every request; at most a fifth may be ejected.
  for (int round = 0; round < 50; ++round) {
    for (SlotIndex worker = 0; worker < 10; ++worker) {
      if (health.State(worker) != HealthState::kHealthy) continue;
      health.OnResult(worker, worker >= 3, {0});
    }
  }
  EXPECT_EQ(health.ejected(), 2);
  EXPECT_EQ(health.StartTrial({4999}), kNoSlot);
  const SlotIndex first = health.StartTrial({5000});
  ASSERT_NE(first, kNoSlot);
  EXPECT_EQ(health.State(first), HealthState::kTrial);
  EXPECT_EQ(health.OnResult(first, true, {5000}), HealthChange::kReadmitted);
  const SlotIndex second = health.StartTrial({5000});
  EXPECT_EQ(health.StartTrial({5000}), kNoSlot);
  health.OnResult(second, false, {5000});
  // The ejection time has doubled.
  EXPECT_EQ(health.StartTrial({14'999}), kNoSlot);
  EXPECT_EQ(health.StartTrial({15'000}), second);
}

TEST(PoolHealth, JobsThatFailEverywhereEjectNobody) {
  PoolHealth health({});
  for (SlotIndex worker = 0; worker < 10; ++worker) health.Add(worker);
  for (int i = 0; i < 5000; ++i) {
    health.OnResult(static_cast<SlotIndex>(i % 10), (i / 10) % 3 == 0, {0});
  }
  EXPECT_EQ(health.ejected(), 0);
}

// A view of one service with `near` workers in zone a and `far` in zone b.
base::FleetView MakeView(int near, int far) {
  base::FleetView view;
  base::ServiceDocument document;
  document.team = base::TeamId("t");
  document.service = base::ServiceId("s");
  document.pool = base::PoolId("p");
  document.slots_per_vm = 2;
  view.documents[document.team] = document;
  for (int i = 0; i < near + far; ++i) {
    base::VmRow row;
    row.vm = base::VmId("vm-" + std::to_string(i));
    row.pool = document.pool;
    row.zone = base::ZoneId(i < near ? "a" : "b");
    view.vms[row.vm] = row;
  }
  return view;
}

class RouterTest : public testing::Test {
 protected:
  RouterTest() {
    base::Membership membership;
    membership.number = 1;
    membership.entries.resize(1);
    membership.entries[0].entry = base::EntryId("e");
    slots_.InstallMembership(membership, {0});
  }

  tl::expected<Route, RouteError> Pick(std::vector<SlotIndex> avoid = {}) {
    return router_.Pick(base::ServiceId("s"), avoid, {0}, random_);
  }

  SlotLedger slots_{base::EntryId("e"), 0, Seconds(30)};
  Router router_{base::ZoneId("a"), slots_, {}};
  base::Random random_{1};
};

TEST_F(RouterTest, NearFirstThenAcrossThenWait) {
  EXPECT_EQ(Pick().error(), RouteError::kUnknownService);
  router_.Install(MakeView(0, 0));
  EXPECT_EQ(Pick().error(), RouteError::kNoWorkers);
  router_.Install(MakeView(2, 1));
  EXPECT_EQ(router_.FreeSlots(base::ServiceId("s")), 6);
  std::vector<Route> routes;
  for (int i = 0; i < 6; ++i) {
    const auto route = Pick();
    ASSERT_TRUE(route);
    EXPECT_EQ(route->reason,
              i < 4 ? RouteReason::kOwnZone : RouteReason::kOwnZoneFull);
    routes.push_back(*route);
  }
  EXPECT_EQ(router_.FreeSlots(base::ServiceId("s")), 0);
  EXPECT_EQ(Pick().error(), RouteError::kNoFreeSlot);
  router_.FinishAttempt(routes[0].row, AttemptResult::kOk, 5, {0});
  EXPECT_EQ(Pick()->row, routes[0].row);
}

TEST_F(RouterTest, AFasterZoneWins) {
  router_.Install(MakeView(2, 2));
  int far = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto route = Pick();
    ASSERT_TRUE(route);
    const bool near = route->worker->zone.value == "a";
    router_.FinishAttempt(route->row, AttemptResult::kOk, near ? 80 : 20, {0});
    if (!near && i >= 1000) ++far;
  }
  EXPECT_GT(far, 900);
}

TEST_F(RouterTest, LeavingWorkersGetNothingAndAreReportedWhileBusy) {
  router_.Install(MakeView(1, 0));
  const auto route = Pick();
  base::FleetView view = MakeView(1, 0);
  view.vms.begin()->second.state = base::VmState::kLeaving;
  router_.Install(view);
  EXPECT_EQ(Pick().error(), RouteError::kNoWorkers);
  EXPECT_EQ(router_.BusyFormerMembers(), std::vector<std::string>{"vm-0"});
  router_.FinishAttempt(route->row, AttemptResult::kOk, 5, {0});
  EXPECT_TRUE(router_.BusyFormerMembers().empty());
  router_.Install(MakeView(1, 0));
  EXPECT_TRUE(Pick());
}

TEST_F(RouterTest, AvoidsWorkersOnWhichTheRequestFailed) {
  router_.Install(MakeView(3, 0));
  for (int i = 0; i < 20; ++i) {
    const auto route = Pick({0, 1});
    EXPECT_EQ(route->row, 2U);
    router_.FinishAttempt(route->row, AttemptResult::kNotStarted, 0, {0});
  }
}

TEST_F(RouterTest, DecisionsAllocateNothing) {
  router_.Install(MakeView(500, 500));
  const base::ServiceId service("s");
  const std::array<SlotIndex, 2> avoid = {1, 2};
  // Warm-up: each row has been listed as changed once, so the lists have their
  // final capacity.
  for (int i = 0; i < 2000; ++i) {
    router_.FinishAttempt(router_.Pick(service, avoid, {0}, random_)->row,
                          AttemptResult::kOk, 5, {0});
  }
  const std::size_t before = allocations;
  for (int i = 0; i < 2000; ++i) {
    const auto route = router_.Pick(service, avoid, {0}, random_);
    router_.FinishAttempt(route->row, AttemptResult::kOk, 5, {0});
  }
  EXPECT_EQ(allocations, before);
}

TEST_F(RouterTest, EjectedWorkersGetOneTrial) {
  router_.Install(MakeView(4, 0));
  for (int i = 0; i < 200; ++i) {
    const auto route = Pick();
    const auto result =
        route->row == 1 ? AttemptResult::kFailed : AttemptResult::kOk;
    router_.FinishAttempt(route->row, result, 5, {0});
  }
  EXPECT_EQ(router_.Health(1), HealthState::kEjected);
  for (int i = 0; i < 6; ++i) EXPECT_NE(Pick()->row, 1U);
  EXPECT_EQ(Pick().error(), RouteError::kNoFreeSlot);
  const auto trial =
      router_.Pick(base::ServiceId("s"), {}, Seconds(5), random_);
  EXPECT_EQ(trial->reason, RouteReason::kTrial);
  EXPECT_FALSE(router_.Pick(base::ServiceId("s"), {}, Seconds(5), random_));
  EXPECT_EQ(
      router_.FinishAttempt(trial->row, AttemptResult::kOk, 5, Seconds(5)),
      HealthChange::kReadmitted);
}

}  // namespace
}  // namespace hemlockward::entry
