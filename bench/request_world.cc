#include "bench/request_world.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace hemlockward::bench {
namespace {

using base::Millis;
using base::RequestClass;
using entry::SlotIndex;

/// Virtual time in microseconds, finer than the decisions see.
using Micros = std::int64_t;

constexpr std::size_t kServices = 5;
constexpr std::size_t kWorkersPerService = 10;
constexpr int kSlots = 8;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kBurst = 10 * kSecond;
constexpr Micros kEnd = kServices * kBurst + 5 * kSecond;
/// 1.25 times what a pool of 80 slots holds at 100 ms a request.
constexpr double kBurstPerSecond = 1000;
constexpr double kQuietPerSecond = kBurstPerSecond / 20;
constexpr Millis kTimeout = base::Seconds(20);
constexpr Micros kNearOneWay = 200;
constexpr Micros kFarOneWay = 1400;
constexpr Micros kHeartbeat = 250'000;
constexpr Micros kRefusedPause = 50'000;
constexpr Micros kShortestLoanPause = 5'000;
constexpr Micros kLongestLoanPause = 80'000;
constexpr int kMostPerLoan = 16;
constexpr std::uint64_t kBodyBytes = 2048;
constexpr std::uint64_t kLoanRequestBytes = 70;
constexpr std::uint64_t kLoanReplyBytes = 24;
constexpr std::uint64_t kGrantBytes = 16;
constexpr std::size_t kWorkers = kServices * kWorkersPerService;

struct Request {
  std::size_t service = 0;
  std::size_t received_at = 0;  ///< Entry that its caller sent it to.
  RequestClass request_class = RequestClass::kNormal;
  Micros arrived = 0;
  Micros run = 0;
};

struct WorkerState {
  std::size_t service = 0;
  std::size_t zone = 0;
  int in_progress = 0;
};

// One entry; `in_use` is what it has in progress per worker without tokens.
struct EntryState {
  std::size_t zone = 0;
  std::vector<entry::RequestQueue> queues;
  std::unique_ptr<entry::SlotLedger> slots;
  std::unique_ptr<entry::Router> router;
  std::array<int, kWorkers> in_use{};
  /// Requests waiting at each entry, as the last heartbeat said.
  std::vector<std::array<int, kServices>> known_waiting;
  std::array<bool, kServices> borrowing{};
};

base::VmId VmName(std::size_t worker) {
  return base::VmId("vm-" + std::to_string(worker));
}

base::ServiceId ServiceName(std::size_t service) {
  return base::ServiceId("service-" + std::to_string(service));
}

base::ZoneId ZoneName(std::size_t zone) {
  return base::ZoneId("zone-" + std::to_string(zone));
}

class World {
 public:
  explicit World(const WorldCase& world_case)
      : case_(world_case),
        arrivals_(world_case.seed),
        random_(world_case.seed) {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      workers_.push_back({i % kServices, i % case_.zones, 0});
    }
    for (std::size_t i = 0; i < case_.entries; ++i) AddEntry(i);
    if (case_.sharing == Sharing::kTokens) DealTokens();
  }

  WorldResult Run() {
    for (std::size_t service = 0; service < kServices; ++service) {
      ScheduleArrival(service);
    }
    Heartbeat();
    while (!events_.empty()) {
      // The top is const to protect its order; it is popped at once.
      const Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      Integrate(event.time);
      now_ = event.time;
      event.run();
    }
    result_.seconds = static_cast<double>(kEnd) / kSecond;
    result_.utilisation = busy_ / (static_cast<double>(kServices * kBurst) *
                                   kSlots * kWorkersPerService);
    return std::move(result_);
  }

 private:
  struct Event {
    Micros time;
    std::uint64_t order;
    std::function<void()> run;
    friend bool operator<(const Event& a, const Event& b) {
      return std::tie(a.time, a.order) > std::tie(b.time, b.order);
    }
  };

  void After(Micros delay, std::function<void()> run) {
    events_.push({now_ + delay, next_event_++, std::move(run)});
  }

  [[nodiscard]] Millis Now() const { return {now_ / 1000}; }

  // For arrivals only, so that all ways of sharing meet the same ones.
  double Uniform() {
    return static_cast<double>(arrivals_() >> 11) * 0x1.0p-53;
  }

  // The service whose turn it is to burst; kServices when none does.
  [[nodiscard]] std::size_t Bursting(Micros time) const {
    return static_cast<std::size_t>(time / kBurst);
  }

  void Integrate(Micros until) {
    const std::size_t service = Bursting(now_);
    if (service >= kServices) return;
    const Micros end =
        std::min(until, static_cast<Micros>(service + 1) * kBurst);
    int in_progress = 0;
    for (std::size_t i = service; i < kWorkers; i += kServices) {
      in_progress += workers_[i].in_progress;
    }
    busy_ += static_cast<double>(end - now_) * in_progress;
  }

  void Note(std::uint64_t a, std::uint64_t b) {
    const std::uint64_t words[3] = {static_cast<std::uint64_t>(now_), a, b};
    const std::string_view bytes(reinterpret_cast<const char*>(words),
                                 sizeof words);
    result_.signature = base::StableHash(bytes, result_.signature);
  }

  void AddEntry(std::size_t i) {
    EntryState state;
    state.zone = i % case_.zones;
    entry::QueueLimits limits;
    limits.lengths = {5000, 5000, 5000};
    for (std::size_t n = 0; n < kServices; ++n)
      state.queues.emplace_back(limits);
    state.known_waiting.resize(case_.entries);
    const base::EntryId id("entry-" + std::to_string(i));
    state.slots = std::make_unique<entry::SlotLedger>(id, 1, base::Seconds(30));
    state.router = std::make_unique<entry::Router>(
        ZoneName(state.zone), *state.slots, entry::EjectionPolicy{});
    entries_.push_back(std::move(state));
  }

  void DealTokens() {
    base::FleetView view;
    for (std::size_t i = 0; i < kServices; ++i) {
      base::ServiceDocument document;
      document.team = base::TeamId("team-" + std::to_string(i));
      document.service = ServiceName(i);
      document.pool = base::PoolId("pool-" + std::to_string(i));
      view.documents[document.team] = document;
    }
    for (std::size_t i = 0; i < kWorkers; ++i) {
      base::VmRow row;
      row.vm = VmName(i);
      row.pool = base::PoolId("pool-" + std::to_string(workers_[i].service));
      row.zone = ZoneName(workers_[i].zone);
      view.vms[row.vm] = row;
    }
    view.membership.number = 1;
    for (std::size_t i = 0; i < case_.entries; ++i) {
      base::EntryRow row;
      row.entry = base::EntryId("entry-" + std::to_string(i));
      row.incarnation = 1;
      view.membership.entries.push_back(row);
    }
    for (EntryState& state : entries_) {
      state.slots->InstallMembership(view.membership, {0});
      state.router->Install(view);
      for (const base::EntryRow& row : view.membership.entries) {
        state.slots->OnReport(row.entry, 1, {1, {}}, {0});
      }
    }
    worker_of_row_.resize(kWorkers);
    for (std::size_t i = 0; i < kWorkers; ++i) {
      worker_of_row_[entries_[0].slots->Find(VmName(i))] = i;
    }
  }

  void ScheduleArrival(std::size_t service) {
    const bool burst = Bursting(now_) == service;
    const double rate = burst ? kBurstPerSecond : kQuietPerSecond;
    const double gap = -std::log(1 - Uniform()) / rate;
    Micros delay = static_cast<Micros>(gap * kSecond);
    // A gap drawn in the quiet must not reach far into the burst.
    const Micros start = static_cast<Micros>(service) * kBurst;
    if (now_ < start) delay = std::min(delay, start - now_);
    if (now_ + delay >= kEnd) return;
    After(delay, [this, service] {
      Arrive(service);
      ScheduleArrival(service);
    });
  }

  void Arrive(std::size_t service) {
    Request request;
    request.service = service;
    request.received_at = arrivals_() % case_.entries;
    const double kind = Uniform();
    request.request_class = kind < 0.2   ? RequestClass::kUrgent
                            : kind < 0.8 ? RequestClass::kNormal
                                         : RequestClass::kBatch;
    request.arrived = now_;
    const bool longer = Uniform() < 0.1;
    const double run = longer ? 100 + 360 * Uniform() : 40 + 80 * Uniform();
    request.run = static_cast<Micros>(run * 1000);
    requests_.push_back(request);
    const std::size_t id = requests_.size() - 1;
    const std::size_t target = case_.sharing == Sharing::kHomeEntry
                                   ? ChooseHome(request)
                                   : request.received_at;
    if (target == request.received_at) {
      Enqueue(target, id);
      return;
    }
    CountMessage(kBodyBytes);
    After(Between(target, request.received_at),
          [this, target, id] { Enqueue(target, id); });
  }

  void CountMessage(std::uint64_t bytes) {
    ++result_.messages;
    result_.bytes += bytes;
  }

  [[nodiscard]] Micros Between(std::size_t a, std::size_t b) const {
    return entries_[a].zone == entries_[b].zone ? kNearOneWay : kFarOneWay;
  }

  [[nodiscard]] Micros ToWorker(std::size_t e, std::size_t worker) const {
    return entries_[e].zone == workers_[worker].zone ? kNearOneWay : kFarOneWay;
  }

  // The entry with the fewest requests waiting for each of its home slots.
  std::size_t ChooseHome(const Request& request) {
    EntryState& own = entries_[request.received_at];
    const auto& queue = own.queues[request.service];
    own.known_waiting[request.received_at][request.service] =
        static_cast<int>(queue.size());
    if (queue.size() == 0 &&
        FreeWorker(request.received_at, request.service) != kWorkers) {
      return request.received_at;
    }
    std::size_t best = request.received_at;
    double least = HUGE_VAL;
    for (std::size_t e = 0; e < case_.entries; ++e) {
      int homes = 0;
      for (std::size_t i = request.service; i < kWorkers; i += kServices) {
        if (HomeOf(i) == e) ++homes;
      }
      if (homes == 0) continue;
      const double waiting =
          (own.known_waiting[e][request.service] + 1.0) / homes;
      if (waiting >= least) continue;
      least = waiting;
      best = e;
    }
    ++own.known_waiting[best][request.service];
    return best;
  }

  [[nodiscard]] std::size_t HomeOf(std::size_t worker) const {
    return (worker / kServices + worker) % case_.entries;
  }

  // The least loaded worker by what entry `e` knows; kWorkers when none.
  std::size_t FreeWorker(std::size_t e, std::size_t service) {
    std::size_t best = kWorkers;
    int least = kSlots;
    const std::size_t first = random_() % kWorkersPerService;
    for (std::size_t n = 0; n < kWorkersPerService; ++n) {
      const std::size_t i =
          service + kServices * ((first + n) % kWorkersPerService);
      if (case_.sharing == Sharing::kHomeEntry && HomeOf(i) != e) continue;
      if (entries_[e].in_use[i] >= least) continue;
      least = entries_[e].in_use[i];
      best = i;
    }
    return best;
  }

  void Enqueue(std::size_t e, std::size_t id) {
    const Request& request = requests_[id];
    const Millis deadline = Millis{request.arrived / 1000} + kTimeout;
    const entry::QueuedRequest queued{id,
                                      request.request_class,
                                      {request.arrived / 1000},
                                      deadline,
                                      kBodyBytes};
    if (!entries_[e].queues[request.service].Push(queued, Now())) {
      ++result_.expired;
      return;
    }
    Pump(e, request.service);
  }

  // Takes a slot of the service at entry `e`; kWorkers when none is free.
  std::size_t TakeSlot(std::size_t e, std::size_t service) {
    EntryState& state = entries_[e];
    if (case_.sharing != Sharing::kTokens) {
      const std::size_t worker = FreeWorker(e, service);
      if (worker != kWorkers) ++state.in_use[worker];
      return worker;
    }
    const auto route =
        state.router->Pick(service_names_[service], {}, Now(), random_);
    return route ? worker_of_row_[route->row] : kWorkers;
  }

  void GiveSlot(std::size_t e, std::size_t worker, Micros elapsed) {
    EntryState& state = entries_[e];
    if (case_.sharing != Sharing::kTokens) {
      --state.in_use[worker];
      return;
    }
    const auto result = elapsed == 0 ? entry::AttemptResult::kNotStarted
                                     : entry::AttemptResult::kOk;
    state.router->FinishAttempt(state.slots->Find(VmName(worker)), result,
                                static_cast<double>(elapsed) / 1000, Now());
  }

  void Pump(std::size_t e, std::size_t service) {
    entry::RequestQueue& queue = entries_[e].queues[service];
    result_.expired += queue.TakeExpired(Now()).size();
    while (queue.size() > 0) {
      const std::size_t worker = TakeSlot(e, service);
      if (worker == kWorkers) break;
      const auto request = queue.Pop(Now());
      Note(e * kWorkers + worker, request->id);
      Send(e, request->id, worker);
    }
    if (queue.size() > 0) Borrow(e, service);
  }

  void Send(std::size_t e, std::size_t id, std::size_t worker) {
    const Micros way = ToWorker(e, worker);
    const Micros sent = now_;
    After(way, [=, this] {
      WorkerState& state = workers_[worker];
      if (state.in_progress >= kSlots) {
        ++result_.overshoot;
        After(way, [=, this] { Refused(e, id, worker); });
        return;
      }
      ++state.in_progress;
      Started(requests_[id]);
      After(requests_[id].run, [=, this] {
        --workers_[worker].in_progress;
        After(way, [=, this] { Answered(e, id, worker, now_ - sent); });
      });
    });
  }

  void Started(const Request& request) {
    const double wait = static_cast<double>(now_ - request.arrived) / 1000;
    result_.waits_ms.push_back(wait);
    if (request.request_class == RequestClass::kUrgent) {
      result_.urgent_waits_ms.push_back(wait);
    }
  }

  void Refused(std::size_t e, std::size_t id, std::size_t worker) {
    GiveSlot(e, worker, 0);
    const Micros pause =
        kRefusedPause + static_cast<Micros>(random_() % kRefusedPause);
    After(pause, [=, this] { Enqueue(e, id); });
  }

  void Answered(std::size_t e, std::size_t id, std::size_t worker,
                Micros elapsed) {
    ++result_.done;
    GiveSlot(e, worker, elapsed);
    if (e != requests_[id].received_at) CountMessage(kBodyBytes);
    Pump(e, requests_[id].service);
  }

  void Heartbeat() {
    for (EntryState& state : entries_) {
      for (std::size_t e = 0; e < case_.entries; ++e) {
        for (std::size_t n = 0; n < kServices; ++n) {
          state.known_waiting[e][n] =
              static_cast<int>(entries_[e].queues[n].size());
        }
      }
    }
    if (now_ < kEnd) After(kHeartbeat, [this] { Heartbeat(); });
  }

  void Borrow(std::size_t e, std::size_t service) {
    if (case_.sharing != Sharing::kTokens) return;
    if (std::exchange(entries_[e].borrowing[service], true)) return;
    AskNext(e, service, Lenders(e, service), 0, 0, kShortestLoanPause);
  }

  std::vector<std::size_t> Lenders(std::size_t e, std::size_t service) {
    std::vector<std::size_t> lenders;
    for (std::size_t n = 1; n < case_.entries; ++n) {
      const std::size_t peer = (e + n) % case_.entries;
      const int waiting = entries_[e].known_waiting[peer][service];
      if (entry::IsWorthAsking(waiting)) lenders.push_back(peer);
    }
    return lenders;
  }

  void AskNext(std::size_t e, std::size_t service,
               std::vector<std::size_t> lenders, std::size_t next, int taken,
               Micros pause) {
    EntryState& state = entries_[e];
    const std::size_t waiting = state.queues[service].size();
    if (waiting == 0) {
      state.borrowing[service] = false;
      return;
    }
    if (next == lenders.size()) {
      const Micros longer = std::min(pause * 2, kLongestLoanPause);
      const Micros wait = taken > 0 ? kShortestLoanPause : longer;
      After(wait, [=, this] {
        AskNext(e, service, Lenders(e, service), 0, 0, wait);
      });
      return;
    }
    const std::size_t lender = lenders[next];
    const int wanted = std::min(static_cast<int>(waiting), kMostPerLoan);
    const auto ticket = state.slots->BeginLoan();
    CountMessage(kLoanRequestBytes);
    After(Between(e, lender), [=, this] {
      const auto granted = Lend(lender, service, wanted);
      CountMessage(kLoanReplyBytes + kGrantBytes * granted.size());
      After(Between(e, lender), [=, this] {
        const int got = entries_[e].slots->AcceptLoan(ticket, 1, granted);
        if (got > 0) Pump(e, service);
        AskNext(e, service, lenders, next + 1, taken + got, pause);
      });
    });
  }

  std::vector<entry::SlotGrant> Lend(std::size_t lender, std::size_t service,
                                     int wanted) {
    EntryState& state = entries_[lender];
    entry::LoanInput view;
    view.own_waiting = static_cast<int>(state.queues[service].size());
    view.own_free = state.router->FreeSlots(service_names_[service]);
    view.peer_waiting = wanted;
    return state.slots->Lend(1, state.router->Rows(service_names_[service]),
                             wanted, entry::TokensToKeep(view));
  }

  WorldCase case_;
  base::Random arrivals_;
  base::Random random_;
  WorldResult result_;
  Micros now_ = 0;
  double busy_ = 0;
  std::uint64_t next_event_ = 0;
  std::priority_queue<Event> events_;
  std::vector<WorkerState> workers_;
  std::vector<EntryState> entries_;
  std::vector<Request> requests_;
  std::vector<std::size_t> worker_of_row_;
  std::array<base::ServiceId, kServices> service_names_ = {
      ServiceName(0), ServiceName(1), ServiceName(2), ServiceName(3),
      ServiceName(4)};
};

}  // namespace

WorldResult RunWorld(const WorldCase& world_case) {
  return World(world_case).Run();
}

}  // namespace hemlockward::bench
