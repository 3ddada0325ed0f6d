#include "entry/slots.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace hemlockward::entry {
namespace {

using base::EntryRow;
using base::Membership;
using base::Millis;

constexpr int kSlots = 8;
constexpr Millis kHold = base::Seconds(30);

EntryRow MakeEntry(std::size_t i, base::Incarnation incarnation) {
  EntryRow row;
  row.entry = base::EntryId("e" + std::to_string(i));
  row.incarnation = incarnation;
  return row;
}

Membership MakeMembership(std::uint64_t number, std::size_t entries) {
  Membership membership;
  membership.number = number;
  for (std::size_t i = 0; i < entries; ++i) {
    membership.entries.push_back(MakeEntry(i, 1));
  }
  return membership;
}

TEST(DefaultTokens, DealsEverySlotOnceAndEvenly) {
  for (std::size_t entries = 1; entries <= 12; ++entries) {
    const Membership membership = MakeMembership(1, entries);
    std::vector<int> totals(entries, 0);
    for (int vm = 0; vm < 300; ++vm) {
      const std::string name = "vm-" + std::to_string(vm);
      int sum = 0;
      for (std::size_t i = 0; i < entries; ++i) {
        const int tokens = DefaultTokens(
            membership, membership.entries[i].entry, 1, name, kSlots);
        sum += tokens;
        totals[i] += tokens;
      }
      EXPECT_EQ(sum, kSlots);
    }
    const int fair = 300 * kSlots / static_cast<int>(entries);
    for (const int total : totals) EXPECT_NEAR(total, fair, fair / 4.0 + 1);
  }
}

// Model of several entries with one ledger each, a network that loses,
// duplicates and reorders messages, membership changes, and requests that
// outlive their entry. It guards against more requests on a worker than it has
// slots, and against tokens that stay lost.
class SlotModel {
 public:
  static constexpr std::size_t kEntries = 7;
  static constexpr std::size_t kVms = 2;

  // Uses `entries` entries, the first `first` of which are initial members.
  SlotModel(std::size_t entries, std::size_t first) : entries_(entries) {
    truth_ = MakeMembership(1, first);
    for (std::size_t i = 0; i < kEntries; ++i) Start(i);
  }

  void Step(std::uint32_t choice) {
    const std::size_t i = (choice >> 8) % entries_;
    const std::size_t j = (choice >> 11) % entries_;
    const auto vm = static_cast<SlotIndex>((choice >> 14) % kVms);
    switch (choice % 16) {
      case 0:
        now_ += Millis{(choice >> 8) % 20'000};
        EndOrphans();
        break;
      case 1:
        if ((choice >> 17) % 4 == 0) ChangeMembership(i);
        break;
      case 2:
        nodes_[i].frozen = (choice >> 17) % 2 == 0;
        break;
      case 3:
      case 4:
        Learn(i);
        break;
      case 5:
        if (!nodes_[i].requests.empty()) Release(i, choice >> 17);
        break;
      case 6:
      case 7:
        if (i != j) SendReport(i, j);
        break;
      case 8:
        if (i != j) AskForLoan(i, j, choice >> 17);
        break;
      case 9:
        if (i != j) GiveBack(i, j, choice >> 17);
        break;
      case 10:
      case 11:
        Deliver(choice >> 8, true);
        break;
      case 12:
        Deliver(choice >> 8, (choice >> 16) % 2 == 0);
        break;
      case 13:
        nodes_[i].ledger->Add(Vm(vm), (choice >> 17) % 2 == 0 ? kSlots : 6);
        break;
      case 14:
        for (std::size_t k = 0; k < entries_; ++k) {
          if (k != i) SendReport(k, i);
        }
        break;
      default:
        for (std::uint32_t n = 0; n <= (choice >> 17) % 8; ++n) Acquire(i, vm);
        break;
    }
    CheckBound();
  }

  // After all reports are delivered and all requests have ended, every token
  // must be held again.
  void CheckNothingStaysLost() {
    ++truth_.number;
    for (Node& node : nodes_) {
      node.requests.clear();
      node.frozen = false;
    }
    for (std::size_t i = 0; i < kEntries; ++i) Restart(i);
    for (std::size_t i = 0; i < kEntries; ++i) Learn(i);
    now_ += kHold;
    for (std::size_t i = 0; i < kEntries; ++i) {
      for (std::size_t j = 0; j < kEntries; ++j) {
        if (i != j) Report(i, j);
      }
      nodes_[i].ledger->ClaimPending(now_);
    }
    for (SlotIndex vm = 0; vm < kVms; ++vm) {
      int held = 0;
      for (Node& node : nodes_) {
        if (node.ledger->size() > vm) held += node.ledger->Held(vm);
      }
      RC_ASSERT(held == kSlots);
    }
  }

 private:
  struct Node {
    std::unique_ptr<SlotLedger> ledger;
    base::Incarnation incarnation = 1;
    bool frozen = false;
    std::vector<SlotIndex> requests;  ///< In progress, by row.
  };

  struct Orphan {
    SlotIndex vm;
    Millis ends;
  };

  static base::VmId Vm(SlotIndex vm) {
    return base::VmId("vm-" + std::to_string(vm));
  }

  void Start(std::size_t i) {
    const EntryRow row = MakeEntry(i, nodes_[i].incarnation);
    nodes_[i].ledger =
        std::make_unique<SlotLedger>(row.entry, row.incarnation, kHold);
    for (SlotIndex vm = 0; vm < kVms; ++vm) {
      nodes_[i].ledger->Add(Vm(vm), kSlots);
    }
    nodes_[i].ledger->InstallMembership(truth_, now_);
  }

  // Ends all requests and resets every row to kSlots slots, which steps may
  // have changed.
  void Restart(std::size_t i) {
    for (SlotIndex vm = 0; vm < kVms; ++vm) {
      while (nodes_[i].ledger->InUse(vm) > 0) nodes_[i].ledger->Release(vm);
      nodes_[i].ledger->Add(Vm(vm), kSlots);
    }
  }

  bool IsMember(std::size_t i) const {
    for (const EntryRow& row : truth_.entries) {
      if (row.entry == MakeEntry(i, 0).entry) return true;
    }
    return false;
  }

  // Adds or removes an entry. A removed entry stops routing, but its requests
  // keep running on the workers for kHold. It restarts as a new incarnation.
  void ChangeMembership(std::size_t i) {
    if (IsMember(i) && truth_.entries.size() == 1) return;
    truth_.earlier.emplace_back(truth_.effective_from, truth_.entries);
    ++truth_.number;
    if (!IsMember(i)) {
      truth_.entries.push_back(MakeEntry(i, nodes_[i].incarnation));
      return;
    }
    std::erase_if(truth_.entries, [&](const EntryRow& row) {
      return row.entry == MakeEntry(i, 0).entry;
    });
    for (const SlotIndex vm : nodes_[i].requests) {
      orphans_.push_back({vm, now_ + kHold});
    }
    nodes_[i].requests.clear();
    ++nodes_[i].incarnation;
    Start(i);
  }

  void EndOrphans() {
    std::erase_if(orphans_,
                  [&](const Orphan& orphan) { return orphan.ends <= now_; });
  }

  void Learn(std::size_t i) {
    if (!nodes_[i].frozen) nodes_[i].ledger->InstallMembership(truth_, now_);
  }

  void Acquire(std::size_t i, SlotIndex vm) {
    Node& node = nodes_[i];
    if (node.frozen || !node.ledger->Acquire(vm)) return;
    node.requests.push_back(vm);
  }

  void Release(std::size_t i, std::uint32_t choice) {
    Node& node = nodes_[i];
    const std::size_t which = choice % node.requests.size();
    node.ledger->Release(node.requests[which]);
    node.requests.erase(node.requests.begin() +
                        static_cast<std::ptrdiff_t>(which));
  }

  void Report(std::size_t from, std::size_t to) {
    const EntryRow row = MakeEntry(from, nodes_[from].incarnation);
    nodes_[to].ledger->OnReport(row.entry, row.incarnation,
                                nodes_[from].ledger->Report(), now_);
  }

  void SendReport(std::size_t from, std::size_t to) {
    if (nodes_[from].frozen) return;
    const EntryRow row = MakeEntry(from, nodes_[from].incarnation);
    const SlotReport report = nodes_[from].ledger->Report();
    network_.push_back([this, to, row, report] {
      nodes_[to].ledger->OnReport(row.entry, row.incarnation, report, now_);
    });
  }

  // A reply to an old incarnation is dropped.
  void AskForLoan(std::size_t from, std::size_t to, std::uint32_t wanted) {
    const base::Incarnation incarnation = nodes_[from].incarnation;
    const std::uint64_t number = nodes_[from].ledger->membership_number();
    const LoanTicket ticket = nodes_[from].ledger->BeginLoan();
    network_.push_back([=, this] {
      const std::vector<SlotIndex> rows = {0, 1};
      const auto granted = nodes_[to].ledger->Lend(
          number, rows, static_cast<int>(wanted % 9), 0);
      const std::uint64_t replied = nodes_[to].ledger->membership_number();
      network_.push_back([=, this] {
        if (nodes_[from].incarnation != incarnation) return;
        nodes_[from].ledger->AcceptLoan(ticket, replied, granted);
      });
    });
  }

  void GiveBack(std::size_t from, std::size_t to, std::uint32_t wanted) {
    const std::vector<SlotIndex> rows = {0, 1};
    SlotLedger& giver = *nodes_[from].ledger;
    const std::uint64_t number = giver.membership_number();
    const auto returned =
        giver.Lend(number, rows, static_cast<int>(wanted % 9), 0);
    const base::Incarnation receiver = nodes_[to].incarnation;
    // Delivered at most once, unlike a reply to a loan request.
    auto pending = std::make_shared<bool>(true);
    network_.push_back([=, this] {
      if (!std::exchange(*pending, false)) return;
      if (nodes_[to].incarnation != receiver) return;
      nodes_[to].ledger->AcceptReturned(number, returned);
    });
  }

  // Delivers or drops any message in transit. Unless `lost_after`, the message
  // stays and may be delivered again.
  void Deliver(std::uint32_t choice, bool lost_after) {
    if (network_.empty()) return;
    const std::size_t which = choice % network_.size();
    const std::function<void()> message = network_[which];
    if (lost_after) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(which));
    }
    if ((choice >> 8) % 8 != 0) message();
  }

  void CheckBound() const {
    for (SlotIndex vm = 0; vm < kVms; ++vm) {
      std::ptrdiff_t in_progress = 0;
      int tokens = 0;
      for (const Node& node : nodes_) {
        in_progress +=
            std::count(node.requests.begin(), node.requests.end(), vm);
        tokens += std::max(node.ledger->Held(vm), node.ledger->InUse(vm));
      }
      for (const Orphan& orphan : orphans_) {
        in_progress += orphan.vm == vm;
        tokens += orphan.vm == vm;
      }
      RC_ASSERT(tokens <= kSlots);
      RC_ASSERT(in_progress <= kSlots);
    }
  }

  std::size_t entries_;
  std::array<Node, kEntries> nodes_;
  Membership truth_;
  std::deque<std::function<void()>> network_;
  std::vector<Orphan> orphans_;
  Millis now_{1000};
};

RC_GTEST_PROP(SlotLedger, NeverMoreInUseThanSlots, ()) {
  const auto any = rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(1500, any);
  const std::size_t entries = 2 + steps[0] % 6;
  SlotModel model(entries, 1 + steps[1] % entries);
  for (const std::uint32_t step : steps) model.Step(step);
  model.CheckNothingStaysLost();
}

TEST(SlotLedger, LateRowSettlesOnlyWithEveryPeerAtTheNumber) {
  const Membership membership = MakeMembership(5, 2);
  SlotLedger ledger(membership.entries[0].entry, 1, kHold);
  ledger.InstallMembership(membership, {0});
  const SlotIndex row = ledger.Add(base::VmId("vm-1"), kSlots);
  EXPECT_EQ(ledger.Free(row), 0);
  const base::EntryId peer = membership.entries[1].entry;
  ledger.OnReport(peer, 1, {4, {}}, {0});
  EXPECT_EQ(ledger.Free(row), 0);
  ledger.OnReport(peer, 1, {5, {"vm-1"}}, {0});
  EXPECT_EQ(ledger.Free(row), 0);
  ledger.OnReport(peer, 1, {5, {}}, {0});
  EXPECT_EQ(ledger.Free(row), 4);
  EXPECT_EQ(ledger.Free(ledger.Add(base::VmId("vm-2"), kSlots)), 4);
}

TEST(SlotLedger, LoansAreTakenOnceAndOnlyAtTheirNumber) {
  const Membership membership = MakeMembership(1, 1);
  SlotLedger ledger(membership.entries[0].entry, 1, kHold);
  ledger.InstallMembership(membership, {0});
  const SlotIndex row = ledger.Add(base::VmId("vm-1"), kSlots);
  const std::vector<SlotIndex> rows = {row};
  EXPECT_TRUE(ledger.Lend(2, rows, 3, 0).empty());
  const auto granted = ledger.Lend(1, rows, 3, 6);
  ASSERT_EQ(granted.size(), 1U);
  EXPECT_EQ(granted[0].tokens, 2);
  const LoanTicket ticket = ledger.BeginLoan();
  EXPECT_EQ(ledger.AcceptLoan(ticket, 1, granted), 2);
  EXPECT_EQ(ledger.AcceptLoan(ticket, 1, granted), 0);
  EXPECT_EQ(ledger.AcceptLoan(ledger.BeginLoan(), 2, granted), 0);
  EXPECT_EQ(ledger.Held(row), kSlots);
  // The other entries do not wait for the report of a non-member.
  SlotLedger outsider(base::EntryId("e9"), 1, kHold);
  outsider.InstallMembership(membership, {0});
  outsider.Add(base::VmId("vm-1"), kSlots);
  EXPECT_EQ(outsider.AcceptLoan(outsider.BeginLoan(), 1, granted), 0);
}

TEST(SlotLedger, APeerAheadIsNoReport) {
  const Membership membership = MakeMembership(5, 2);
  SlotLedger ledger(membership.entries[0].entry, 1, kHold);
  ledger.InstallMembership(membership, {0});
  const SlotIndex row = ledger.Add(base::VmId("vm-1"), kSlots);
  ledger.OnReport(membership.entries[1].entry, 1, {6, {}}, {0});
  EXPECT_EQ(ledger.Free(row), 0);
}

TEST(SlotLedger, ASkippedNumberMayHideARemoval) {
  SlotLedger ledger(base::EntryId("e0"), 1, kHold);
  ledger.InstallMembership(MakeMembership(1, 2), {0});
  ledger.InstallMembership(MakeMembership(3, 2), {0});
  const SlotIndex row = ledger.Add(base::VmId("vm-1"), kSlots);
  ledger.OnReport(base::EntryId("e1"), 1, {3, {}}, {0});
  EXPECT_EQ(ledger.Free(row), 0);
  ledger.ClaimPending(kHold);
  EXPECT_EQ(ledger.Free(row), 4);
}

}  // namespace
}  // namespace hemlockward::entry
