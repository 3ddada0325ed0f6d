// bench-capacity: the slopes that docs/CAPACITY.md is worked out from. Prints a
// line for each quantity and size: bytes, or microseconds of processor time.
#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "base/fleet.h"
#include "peer/gen/peer_types.h"
#include "peer/transport.h"
#include "peer/view_sync.h"
#include "platform/wire.h"

namespace hemlockward::bench {
namespace {

constexpr int kSizes[] = {1000, 5000, 22000};  // VMs.
constexpr int kVmsPerPool = 272;               // 22,000 VMs in 81 pools.
constexpr int kRacksPerZone = 230;
constexpr int kZones = 24;

double ProcessorMicros() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) * 1e6 +
         static_cast<double>(ts.tv_nsec) / 1e3;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double MicrosOf(int repeats, const std::function<void()>& work) {
  const double start = ProcessorMicros();
  for (int i = 0; i < repeats; ++i) work();
  return (ProcessorMicros() - start) / repeats;
}

void Print(const char* what, int n, double value, const char* unit) {
  std::printf("%-40s n=%-6d %14.1f %s\n", what, n, value, unit);
}

std::string Numbered(const char* prefix, int n) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%s-%05d", prefix, n);
  return buf;
}

base::VmRow MakeVm(int i) {
  base::VmRow row;
  row.vm = base::VmId(Numbered("vm", i));
  row.pool = base::PoolId(Numbered("pool", i / kVmsPerPool));
  row.zone = base::ZoneId(Numbered("zone", i % kZones));
  row.rack = base::RackId(Numbered("rack", i / 4 % (kZones * kRacksPerZone)));
  row.address = "10.1.2.3:8000";
  row.wave = base::WaveId("wave-2026-12");
  row.changed = {1'780'000'000'000};
  return row;
}

base::ServiceDocument MakeDocument(int i) {
  base::ServiceDocument document;
  document.team = base::TeamId(Numbered("team", i));
  document.service = base::ServiceId(Numbered("service", i));
  document.pool = base::PoolId(Numbered("pool", i));
  document.source = std::string(900, 'x');  // A document with its comments.
  return document;
}

base::FleetView MakeView(int vms) {
  base::FleetView view;
  for (int i = 0; i < vms; ++i) {
    base::VmRow row = MakeVm(i);
    view.vms.emplace(row.vm, std::move(row));
  }
  for (int i = 0; i < vms * 480 / 22000 + 1; ++i) {
    base::ServiceDocument document = MakeDocument(i);
    view.documents.emplace(document.team, std::move(document));
  }
  view.revision = 1;
  return view;
}

void MeasureView(int n) {
  const double before = HeapBytes();
  peer::ViewStore store;
  store.Install(MakeView(n));
  Print("view: heap", n, HeapBytes() - before, "bytes");

  base::Revision revision = store.revision();
  const std::string row = base::Encode(MakeVm(n / 2));
  const double apply = MicrosOf(20, [&] {
    const base::ChangeRecord record{++revision,
                                    {{"vm/" + Numbered("vm", n / 2), row}}};
    store.Apply(std::span(&record, 1));
  });
  Print("view: apply one change", n, apply, "us");

  peer::gen::DeltaRequest request;
  request.wants_snapshot = true;
  peer::gen::Message reply;
  peer::gen::DeltaReply rows;
  const double fill =
      MicrosOf(1, [&] { peer::FillDeltaReply(store, request, rows); });
  reply.__set_delta_reply(rows);
  Print("view: snapshot for a peer", n, fill, "us");
  Print("view: snapshot for a peer", n,
        static_cast<double>(peer::EncodeMessage(reply).size()), "bytes");
}

void MeasurePlatformLists(int n) {
  std::vector<platform::ListedVm> vms;
  std::vector<platform::Verdict> verdicts;
  for (int i = 0; i < n; ++i) {
    const base::VmRow row = MakeVm(i);
    platform::ListedVm listed;
    listed.vm = row.vm;
    listed.zone = row.zone;
    listed.rack = row.rack;
    listed.address = row.address;
    vms.push_back(std::move(listed));
    verdicts.push_back({row.vm, true, {1500}});
  }
  const std::string list = platform::Encode(vms);
  const std::string judged = platform::Encode(verdicts);
  Print("platform: whole VM list", n, static_cast<double>(list.size()),
        "bytes");
  Print("platform: all verdicts", n, static_cast<double>(judged.size()),
        "bytes");
  Print("platform: decode VM list", n,
        MicrosOf(3, [&] { (void)platform::DecodeVms(list); }), "us");
  Print("platform: decode verdicts", n,
        MicrosOf(3, [&] { (void)platform::DecodeVerdicts(judged); }), "us");
}

void MeasureRecords() {
  const base::VmRow vm = MakeVm(7);
  const base::ChangeRecord one{1000, {{"vm/" + vm.vm.value, base::Encode(vm)}}};
  Print("log: record of one VM change", 1,
        static_cast<double>(base::Encode(one).size()), "bytes");
  const base::ServiceDocument document = MakeDocument(7);
  const base::ChangeRecord change{
      1000, {{"doc/" + document.team.value, base::Encode(document)}}};
  Print("log: record of one document change", 1,
        static_cast<double>(base::Encode(change).size()), "bytes");
  const std::string encoded = base::Encode(one);
  Print("log: decode record of one VM change", 1,
        MicrosOf(2000, [&] { (void)base::DecodeChangeRecord(encoded); }), "us");
  const std::vector<std::string> head{"head"};
  platform::ScanPage page;
  page.rows.push_back({"head", 123456, "123456"});
  Print("table: head read, both bodies", 1,
        static_cast<double>(platform::EncodeKeys(head).size() +
                            platform::Encode(page).size()),
        "bytes");
}

void MeasureHeartbeat(int services) {
  peer::gen::Heartbeat heartbeat;
  heartbeat.sender = "entry-03";
  heartbeat.incarnation = 0x7123456789abcdef;
  heartbeat.revision = 1'000'000;
  heartbeat.table_age_ms = 250;
  heartbeat.sent_ms = 1'234'567'890;
  for (int i = 0; i < services; ++i)
    heartbeat.demand[Numbered("service", i)] = 40;
  peer::gen::Message message;
  message.__set_heartbeat(heartbeat);
  Print("peer: heartbeat, services with a queue", services,
        static_cast<double>(peer::EncodeMessage(message).size()), "bytes");
  Print("peer: encode and decode a heartbeat", services,
        MicrosOf(
            2000,
            [&] { (void)peer::DecodeMessage(peer::EncodeMessage(message)); }),
        "us");
}

}  // namespace
}  // namespace hemlockward::bench

int main() {
  using namespace hemlockward::bench;  // NOLINT(google-build-using-namespace)
  MeasureRecords();
  for (const int n : {0, 5, 81}) MeasureHeartbeat(n);
  for (const int n : kSizes) MeasureView(n);
  for (const int n : kSizes) MeasurePlatformLists(n);
  return 0;
}
