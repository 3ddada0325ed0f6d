#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "platform/wire.h"
#include "standin/fleet_list.h"
#include "standin/memory_table.h"
#include "standin/vm_directory.h"

namespace hemlockward::standin {
namespace {

using platform::ListedState;
using platform::Transaction;
using platform::TransactReply;

// Against a model with one integer per key: a transaction commits exactly when
// all its versions are current, and then writes all its rows.
RC_GTEST_PROP(MemoryTableProperty, CommitsAllOrNothing, ()) {
  MemoryTable table;
  std::map<std::string, platform::Row> model;
  const int steps = *rc::gen::inRange(1, 30);
  for (int i = 0; i < steps; ++i) {
    Transaction transaction;
    transaction.nonce = std::to_string(i);
    bool holds = true;
    for (const std::string key : {"a", "b", "c"}) {
      if (*rc::gen::arbitrary<bool>()) continue;
      const auto row = model.find(key);
      const platform::RowVersion current =
          row == model.end() ? 0 : row->second.version;
      const bool stale = *rc::gen::inRange(0, 4) == 0;
      transaction.conditions.push_back({key, stale ? current + 1 : current});
      holds = holds && !stale;
      const bool remove = *rc::gen::inRange(0, 4) == 0;
      transaction.writes.push_back({key, std::to_string(i), remove});
    }
    const TransactReply reply = table.Transact(transaction);
    RC_ASSERT(reply.committed == holds);
    for (const auto& it : transaction.writes) {
      if (!holds) break;
      if (it.remove) {
        model.erase(it.key);
      } else {
        model[it.key] = {it.key, reply.version, it.value};
      }
    }
    // The same nonce answers the same and changes nothing.
    RC_ASSERT(table.Transact(transaction).committed == holds);
    const auto rows = table.Read({"a", "b", "c"});
    RC_ASSERT(rows.size() == model.size());
    for (const auto& it : rows) {
      RC_ASSERT(model.at(it.key).version == it.version);
      RC_ASSERT(model.at(it.key).value == it.value);
    }
  }
}

RC_GTEST_PROP(WireProperty, AnyBytesDecodeOrFail, (const std::string& bytes)) {
  // NOLINTBEGIN(bugprone-unused-return-value): only crashes matter here.
  (void)platform::DecodeTransaction(bytes);
  (void)platform::DecodeTransactReply(bytes);
  (void)platform::DecodeScanPage(bytes);
  (void)platform::DecodeVms(bytes);
  (void)platform::DecodeVerdicts(bytes);
  // NOLINTEND(bugprone-unused-return-value)
}

RC_GTEST_PROP(WireProperty, TransactionsSurviveTheWire,
              (const std::string& nonce, const std::string& value)) {
  // JSON text is UTF-8; table values of this project are ASCII JSON.
  const auto ascii = [](const std::string& text) {
    std::string kept;
    for (const char c : text) {
      if (c > 0) kept += c;
    }
    return kept;
  };
  Transaction sent;
  sent.nonce = ascii(nonce);
  sent.conditions = {{"k", 18'000'000'000'000'000'000U}};
  sent.writes = {{"k", ascii(value), false}, {"l", "", true}};
  const auto read = platform::DecodeTransaction(platform::Encode(sent));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->nonce == sent.nonce);
  RC_ASSERT(read->conditions[0].version == sent.conditions[0].version);
  RC_ASSERT(read->writes[0].value == sent.writes[0].value);
  RC_ASSERT(read->writes[1].remove);
}

TEST(VmDirectoryTest, TheListLagsAndActsCountOncePerNonce) {
  platform::ListedVm vm;
  vm.vm = base::VmId("v");
  vm.address = "127.0.0.1:1";
  VmDirectory directory({vm}, {100});
  EXPECT_TRUE(directory.SetState(vm.vm, ListedState::kGone, {200}));
  EXPECT_FALSE(directory.SetState(base::VmId("w"), ListedState::kGone, {200}));
  EXPECT_EQ(directory.List({199}).front().state, ListedState::kLive);
  EXPECT_EQ(directory.List({200}).front().state, ListedState::kGone);

  EXPECT_TRUE(directory.BeginAct(vm.vm, "reboot", "n"));
  EXPECT_FALSE(directory.BeginAct(vm.vm, "reboot", "n"));
  EXPECT_TRUE(directory.BeginAct(vm.vm, "drain", "n"));
  EXPECT_FALSE(directory.BeginAct(base::VmId("w"), "drain", "n"));
  EXPECT_EQ(directory.Acts().at("v").at("reboot"), 1);
}

TEST(FleetListTest, FaultyLinesAreAllReportedAndLeftOut) {
  base::Findings findings;
  const auto vms = ParseVms(
      {"a zone-a rack-1 127.0.0.1:1", "b zone-a", "a zone-b rack-2 127.0.0.1:2",
       "c zone-a rack-1 nowhere", "d zone-a rack-1 127.0.0.1:4 more"},
      findings);
  ASSERT_EQ(vms.size(), 1U);
  EXPECT_EQ(vms.front().rack.value, "rack-1");
  EXPECT_EQ(findings.items().size(), 4U);
}

}  // namespace
}  // namespace hemlockward::standin
