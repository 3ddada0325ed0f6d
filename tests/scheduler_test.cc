#include "entry/scheduler.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::RequestClass;

constexpr Millis kNow{1000};

// Two entries that share one VM with 8 slots and a batch quota of 1.
class SchedulerTest : public testing::Test {
 protected:
  SchedulerTest() {
    auto view = std::make_shared<base::FleetView>();
    view->revision = 1;
    base::ServiceDocument document;
    document.team = base::TeamId("t");
    document.service = service_;
    document.pool = base::PoolId("p");
    document.limits[static_cast<std::size_t>(RequestClass::kBatch)].quota = 1;
    view->documents[document.team] = document;
    base::VmRow vm;
    vm.vm = base::VmId("vm-1");
    vm.pool = document.pool;
    view->vms[vm.vm] = vm;
    view->membership.number = 1;
    view->membership.entries = {rows_[0], rows_[1]};
    for (Scheduler& it : schedulers_) it.Install(view, kNow);
    for (std::size_t i = 0; i < 2; ++i) {
      PeerStatus status;
      status.entry = rows_[i].entry;
      status.incarnation = rows_[i].incarnation;
      status.slots = schedulers_[i].Status().slots;
      schedulers_[1 - i].OnPeerReport(status, kNow);
    }
  }

  static base::EntryRow MakeEntry(const char* id) {
    base::EntryRow row;
    row.entry = base::EntryId(id);
    row.incarnation = 1;
    return row;
  }

  // Enqueues a request; true if it got a slot immediately.
  bool Run(Scheduler& scheduler, RequestClass value) {
    Request request;
    request.service = service_;
    request.request_class = value;
    request.deadline = kNow + base::Minutes(9);
    request.number = scheduler.NextNumber();
    auto wait = std::make_shared<SlotWait>();
    wait->signal = std::make_shared<Signal>(context_.get_executor());
    wait->service = service_;
    wait->request_class = value;
    EXPECT_TRUE(scheduler.Enqueue(request, wait, false, kNow));
    return wait->hold.has_value();
  }

  boost::asio::io_context context_;
  base::ServiceId service_{"s"};
  std::array<base::EntryRow, 2> rows_ = {MakeEntry("e0"), MakeEntry("e1")};
  std::array<Scheduler, 2> schedulers_ = {
      Scheduler(rows_[0], base::Seconds(30), 1),
      Scheduler(rows_[1], base::Seconds(30), 1)};
};

TEST_F(SchedulerTest, TokensThatQuotaBlocksAreLent) {
  const bool first = Run(schedulers_[0], RequestClass::kBatch);
  Scheduler& with_quota = schedulers_[first ? 0 : 1];
  Scheduler& without = schedulers_[first ? 1 : 0];
  EXPECT_FALSE(Run(without, RequestClass::kBatch));
  EXPECT_TRUE(without.Status().demand.empty());
  while (Run(with_quota, RequestClass::kUrgent)) {
  }
  EXPECT_FALSE(with_quota.Status().demand.empty());
  EXPECT_EQ(without.Lend(service_, 1, 9).size(), 1U);
  // Tokens that a waiting request could use are not lent.
  EXPECT_TRUE(with_quota.Lend(service_, 1, 9).empty());
}

}  // namespace
}  // namespace hemlockward::entry
