#include "entry/owner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <random>

#include "entry/claims.h"

namespace hemlockward::entry {
namespace {

using base::EntryRow;
using base::Membership;
using base::Millis;
using base::WallMillis;

constexpr std::int64_t kStart = 1'700'000'000'000;

EntryRow MakeEntry(std::string id, base::Incarnation incarnation = 1) {
  EntryRow row;
  row.entry = base::EntryId(std::move(id));
  row.incarnation = incarnation;
  return row;
}

std::string MakeUuid(WallMillis stamp, std::uint32_t tail) {
  char buf[40];
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-7000-8000-0000%08x",
                static_cast<unsigned long long>(stamp.count >> 16),
                static_cast<unsigned long long>(stamp.count & 0xffff), tail);
  return buf;
}

Key MakeKey(WallMillis stamp, std::uint32_t tail) {
  return *ParseKey(MakeUuid(stamp, tail));
}

TEST(ParseKey, AcceptsOnlyCanonicalKeys) {
  const std::string minted =
      MintKey(base::EntryId("e.1-a"), 0xabc, {kStart}, 7);
  const struct {
    std::string text;
    bool valid;
  } cases[] = {
      {"01919b3c-7a10-7c3e-9d5b-3f6a1c2b4d5e", true},
      {"01919B3C-7A10-7C3E-9D5B-3F6A1C2B4D5E", true},
      {"01919b3c-7a10-4c3e-9d5b-3f6a1c2b4d5e", false},  // Version 4.
      {"01919b3c-7a10-7c3e-1d5b-3f6a1c2b4d5e", false},  // Wrong variant.
      {"01919b3c7a107c3e9d5b3f6a1c2b4d5e", false},
      {"01919b3c-7a10-7c3e-9d5b-3f6a1c2b4d5g", false},
      {"", false},
      {"order-17", false},
      {minted, true},
      {minted + "0", true},  // Another counter.
      {"hk1.e.0abc.1.1", false},
      {"hk1.e.abc.1.", false},
      {"hk1..abc.1.1", false},
      {"hk1.e.ABC.1.1", false},
      {"hk1.e.fffffffffffffffff.1.1", false},
      {std::string(4000, 'a'), false},
  };
  for (const auto& c : cases) {
    const auto key = ParseKey(c.text);
    EXPECT_EQ(key.has_value(), c.valid) << c.text;
    if (!key) {
      EXPECT_FALSE(key.error().allowed.empty());
    }
  }
  const auto key = ParseKey(minted);
  EXPECT_EQ(key->entry.value, "e.1-a");
  EXPECT_EQ(key->incarnation, 0xabcU);
  EXPECT_EQ(key->timestamp.count, kStart);
  EXPECT_EQ(ParseKey("01919B3C-7A10-7C3E-9D5B-3F6A1C2B4D5E")->text,
            "01919b3c-7a10-7c3e-9d5b-3f6a1c2b4d5e");
}

RC_GTEST_PROP(ParseKey, AnyTextParsesToItselfOrFails, (std::string text)) {
  for (const std::string& input : {text, "hk1." + text, "hk1.e.1.1." + text}) {
    const auto key = ParseKey(input);
    if (key) RC_ASSERT(ParseKey(key->text)->text == key->text);
  }
}

TEST(OwnerOf, RefusalStatesTheReason) {
  const KeyPolicy policy;
  Membership membership;
  membership.number = 2;
  membership.effective_from = {kStart};
  membership.entries = {MakeEntry("a"), MakeEntry("b")};
  membership.earlier = {{{kStart - 1000}, {MakeEntry("a"), MakeEntry("c")}}};
  const auto refusal = [&](const Key& key) {
    return OwnerOf(key, membership, {kStart + 100}, policy).error();
  };
  EXPECT_EQ(refusal(MakeKey({kStart + 600}, 1)),
            OwnerRefusal::kTimestampInFuture);
  EXPECT_EQ(refusal(MakeKey({kStart - 2000}, 1)), OwnerRefusal::kNoMembership);
  EXPECT_EQ(refusal(MakeKey({kStart - 700'000}, 1)),
            OwnerRefusal::kHistoryDropped);
  const std::string gone = MintKey(base::EntryId("a"), 9, {kStart}, 1);
  EXPECT_EQ(refusal(*ParseKey(gone)), OwnerRefusal::kOwnerNotOnRecord);
  const std::string left = MintKey(base::EntryId("c"), 1, {kStart}, 1);
  EXPECT_FALSE(OwnerOf(*ParseKey(left), membership, {kStart}, policy)->present);
}

// A model of several entries, each with its own view and clock, and of control
// processes that change the membership one entry at a time.
class OwnershipModel {
 public:
  explicit OwnershipModel(std::uint32_t seed) : random_(seed) {
    committed_.number = 1;
    committed_.effective_from = {kStart};
    for (std::size_t i = 0; i < 3; ++i) {
      committed_.entries.push_back(Row(i));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].view = committed_;
      nodes_[i].skew = Skew();
      nodes_[i].stopped = !IsMember(i);
    }
  }

  void Step(std::uint32_t choice) {
    const std::size_t which = (choice >> 8) % nodes_.size();
    switch (choice % 8) {
      case 0:
        now_ += static_cast<std::int64_t>((choice >> 8) % 400);
        break;
      case 1:
        Prepare(which);
        break;
      case 2:
        Commit();
        break;
      case 3:
        Learn(which);
        break;
      case 4:
        nodes_[which].stopped = true;
        break;
      default:
        Request(which, choice >> 11);
        break;
    }
  }

 private:
  struct Node {
    Membership view;
    std::uint64_t revision = 0;
    base::Incarnation incarnation = 1;
    std::int64_t skew = 0;
    bool stopped = false;  ///< The view isn't fresh, so it routes nothing.
  };

  // Clocks differ from true time by at most half the skew between two clocks.
  std::int64_t Skew() {
    const std::int64_t half = policy_.max_skew.count / 2;
    return std::uniform_int_distribution<std::int64_t>(-half, half)(random_);
  }

  EntryRow Row(std::size_t i) const {
    return MakeEntry(std::string(1, static_cast<char>('a' + i)),
                     nodes_[i].incarnation);
  }

  bool IsMember(std::size_t i) const {
    for (const EntryRow& row : committed_.entries) {
      if (row.entry == Row(i).entry) return true;
    }
    return false;
  }

  // Prepares a change, or cancels the one that is prepared.
  void Prepare(std::size_t which) {
    ++revision_;
    if (!committed_.pending.entry.empty()) {
      committed_.pending = EntryRow{};
      return;
    }
    committed_.pending_removal = IsMember(which);
    if (committed_.pending_removal && committed_.entries.size() == 1) return;
    if (!committed_.pending_removal) ++nodes_[which].incarnation;
    committed_.pending = Row(which);
    prepared_at_ = revision_;
  }

  // Commits only if every entry knows the prepared change or has stopped
  // (rule 5).
  void Commit() {
    if (committed_.pending.entry.empty()) return;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const bool past = nodes_[i].stopped || nodes_[i].revision >= prepared_at_;
      if (IsMember(i) && !past) return;
    }
    const std::size_t which =
        static_cast<std::size_t>(committed_.pending.entry.value[0] - 'a');
    if (committed_.pending_removal) nodes_[which].stopped = true;
    committed_.earlier.emplace_back(committed_.effective_from,
                                    committed_.entries);
    committed_.effective_from =
        NextEffectiveFrom(committed_, {kStart + now_ + Skew()}, policy_);
    if (committed_.pending_removal) {
      std::erase_if(committed_.entries, [&](const EntryRow& row) {
        return row.entry == committed_.pending.entry;
      });
    } else {
      committed_.entries.push_back(committed_.pending);
    }
    committed_.pending = EntryRow{};
    ++committed_.number;
    ++revision_;
  }

  void Learn(std::size_t which) {
    nodes_[which].view = committed_;
    nodes_[which].revision = revision_;
    nodes_[which].stopped = !IsMember(which);
  }

  // Uses few keys, so that they repeat, also at other entries and much later.
  void Request(std::size_t which, std::uint32_t choice) {
    const std::size_t slot = choice % keys_.size();
    if (keys_[slot].text.empty() || (choice >> 8) % 16 == 0) {
      const std::int64_t offset = static_cast<std::int64_t>(choice % 3000);
      keys_[slot] = MakeKey({kStart + now_ + 900 - offset}, serial_++);
    }
    const Node& node = nodes_[which];
    if (node.stopped) return;
    const Key& key = keys_[slot];
    const auto owner =
        OwnerOf(key, node.view, {kStart + now_ + node.skew}, policy_);
    if (!owner) return;
    const std::string name =
        owner->row.entry.value + std::to_string(owner->row.incarnation);
    const auto [it, first] = owners_.try_emplace(key.text, name);
    RC_ASSERT(it->second == name);
  }

  KeyPolicy policy_;
  std::mt19937 random_;
  std::array<Node, 5> nodes_;
  Membership committed_;
  std::uint64_t revision_ = 0;
  std::uint64_t prepared_at_ = 0;
  std::int64_t now_ = 0;
  std::array<Key, 24> keys_;
  std::uint32_t serial_ = 0;
  std::map<std::string, std::string> owners_;
};

RC_GTEST_PROP(OwnerOf, NoKeyHasTwoOwners, ()) {
  const auto any = rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(2000, any);
  OwnershipModel model(steps[0]);
  for (const std::uint32_t step : steps) model.Step(step);
}

OutcomePtr MakeOutcome(base::Outcome value, std::size_t bytes = 10) {
  StoredOutcome outcome;
  outcome.outcome = value;
  outcome.body.assign(bytes, 'x');
  return std::make_shared<const StoredOutcome>(std::move(outcome));
}

TEST(Claims, JoinsFinishesReleasesAndCancels) {
  Claims claims({}, {});
  const WallMillis now{kStart};
  const Key key = MakeKey(now, 1);
  EXPECT_EQ(claims.Find(key).state, ClaimState::kAbsent);
  EXPECT_EQ(claims.Claim(key, 1, now).state, ClaimState::kRun);
  EXPECT_EQ(claims.Claim(key, 2, now).state, ClaimState::kJoin);
  EXPECT_EQ(claims.Claim(key, 3, now).state, ClaimState::kJoin);
  claims.RemoveWaiter(key.text, 3);
  // Not-run: Finish returns the waiters, and the key may be retried.
  EXPECT_EQ(claims.Finish(key.text, MakeOutcome(base::Outcome::kNotRun)),
            std::vector<Waiter>{2});
  EXPECT_EQ(claims.Claim(key, 4, now).state, ClaimState::kRun);
  EXPECT_TRUE(claims.MarkSent(key.text));
  EXPECT_EQ(claims.Cancel(key, now).state, CancelState::kSent);
  claims.Finish(key.text, MakeOutcome(base::Outcome::kDone));
  EXPECT_EQ(claims.Claim(key, 5, now).state, ClaimState::kFinished);
  EXPECT_EQ(claims.Cancel(key, now).state, CancelState::kFinished);

  const Key other = MakeKey(now, 2);
  claims.Claim(other, 6, now);
  claims.Claim(other, 7, now);
  const CancelResult cancelled = claims.Cancel(other, now);
  EXPECT_TRUE(cancelled.was_claimed);
  EXPECT_EQ(cancelled.waiters, std::vector<Waiter>{7});
  EXPECT_FALSE(claims.MarkSent(other.text));
  EXPECT_EQ(claims.Claim(other, 8, now).state, ClaimState::kCancelled);
}

TEST(Claims, StaysWithinItsBounds) {
  ClaimLimits limits;
  limits.max_claims = 100;
  limits.max_outcome_bytes = 20'000;
  Claims claims(limits, {});
  const WallMillis now{kStart};
  for (std::uint32_t i = 0; i < 150; ++i) {
    const Key key = MakeKey(now + Millis{i}, i);
    const ClaimState state = claims.Claim(key, i, now).state;
    EXPECT_EQ(state, i < 100 ? ClaimState::kRun : ClaimState::kFull);
    claims.Finish(key.text, MakeOutcome(base::Outcome::kDone, 1000));
    EXPECT_LE(claims.outcome_bytes(), limits.max_outcome_bytes);
  }
  // The oldest outcome was dropped, but not the record that the key ran.
  EXPECT_EQ(claims.Claim(MakeKey(now, 0), 1, now).state,
            ClaimState::kForgotten);
  EXPECT_EQ(claims.Cancel(MakeKey(now, 1000), now).state, CancelState::kFull);
  claims.Expire(now + base::Hours(1));
  EXPECT_EQ(claims.size(), 0U);
  EXPECT_EQ(claims.outcome_bytes(), 0U);
}

// A key that was sent or cancelled must never run again, even after its record
// expires, the limits are exceeded or the clock is set back.
RC_GTEST_PROP(Claims, AKeyIsNeverRunAgain, ()) {
  const auto any = rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(600, any);
  ClaimLimits limits;
  limits.max_claims = 8;
  limits.max_outcome_bytes = 600;
  Claims claims(limits, {});
  std::array<Key, 16> keys;
  struct KeyHistory {
    bool claimed = false;
    bool sent = false;
    bool cancelled = false;
  };
  std::map<std::string, KeyHistory> histories;
  std::uint32_t serial = 0;
  WallMillis now{kStart};
  for (const std::uint32_t step : steps) {
    Key& key = keys[(step >> 8) % keys.size()];
    const std::int64_t amount = (step >> 12) % 200'000;
    if (key.text.empty() || step % 31 == 0) {
      key = MakeKey(now + Millis{-amount}, serial++);
    }
    KeyHistory& history = histories[key.text];
    switch (step % 6) {
      case 0:
        now = now + Millis{amount - 60'000};
        break;
      case 1:
      case 2:
        if (claims.Claim(key, 1, now).state != ClaimState::kRun) break;
        RC_ASSERT(!history.claimed && !history.sent && !history.cancelled);
        history.claimed = true;
        break;
      case 3:
        if (!history.claimed || !claims.MarkSent(key.text)) break;
        RC_ASSERT(!history.cancelled);
        history.sent = true;
        break;
      case 4: {
        if (!history.claimed) break;
        const auto outcome =
            history.sent ? base::Outcome::kUnknown : base::Outcome::kNotRun;
        claims.Finish(key.text, MakeOutcome(outcome, 100));
        history.claimed = false;
        break;
      }
      default:
        if (claims.Cancel(key, now).state != CancelState::kCancelled) break;
        RC_ASSERT(!history.sent);
        history.cancelled = true;
        break;
    }
    RC_ASSERT(claims.outcome_bytes() <= limits.max_outcome_bytes);
  }
}

}  // namespace
}  // namespace hemlockward::entry
