#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <string>
#include <utility>

#include "ctl/command.h"
#include "ctl/output.h"

namespace hemlockward::ctl {

namespace asio = boost::asio;
namespace json = boost::json;
using CommandRegistration = kernel::Registration<Command>;
using kernel::HttpRequest;

namespace {

std::string WaveBody(const Invocation& invocation) {
  json::array pools;
  for (std::size_t i = 1; i < invocation.arguments.size(); ++i) {
    pools.push_back(json::value(invocation.arguments[i]));
  }
  return json::serialize(json::object{{"wave", invocation.arguments[0]},
                                      {"pools", std::move(pools)}});
}

void PrintRows(const json::value& rows, std::ostream& out,
               std::initializer_list<std::string_view> columns) {
  constexpr int kColumnWidth = 14;
  for (const std::string_view it : columns) {
    out << std::left << std::setw(kColumnWidth) << it << ' ';
  }
  out << '\n';
  for (const json::value& row : rows.as_array()) {
    for (const std::string_view it : columns) {
      out << std::left << std::setw(kColumnWidth)
          << MemberText(row.as_object(), it) << ' ';
    }
    out << '\n';
  }
}

void PrintFleet(const json::value& body, std::ostream& out) {
  const json::object& fleet = body.as_object();
  out << "revision " << MemberText(fleet, "revision") << ", membership "
      << MemberText(fleet, "membership") << "\n\n";
  PrintRows(fleet.at("pools"), out,
            {"pool", "vms", "up", "out_by_us", "failed", "no_verdict", "floor",
             "target"});
  out << '\n';
  for (const json::value& pool : fleet.at("pools").as_array()) {
    const json::value& services = pool.as_object().at("services");
    if (services.as_array().empty()) continue;
    PrintRows(services, out,
              {"service", "team", "budget_left_ms", "below_by_us_ms"});
  }
  out << '\n';
  PrintRows(fleet.at("vms"), out,
            {"vm", "pool", "state", "zone", "rack", "reason"});
}

void PrintWaves(const json::value& body, std::ostream& out) {
  PrintRows(body.as_object().at("waves"), out,
            {"wave", "state", "total", "done", "out", "failed", "todo", "limit",
             "reason"});
}

asio::awaitable<int> GetAndPrint(Invocation& invocation, std::string path,
                                 void (*print)(const json::value&,
                                               std::ostream&)) {
  HttpRequest request{"GET", std::move(path), {}, {}};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  co_return PrintAnswer(invocation, result, print);
}

asio::awaitable<int> PlanWave(Invocation& invocation) {
  HttpRequest request{"POST", "/v1/waves?plan=1", {}, WaveBody(invocation)};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  co_return PrintAnswer(invocation, result, &PrintTree);
}

// Whether the wave exists; tells whether it was started if the reply was lost.
asio::awaitable<bool> WaveExists(Invocation& invocation) {
  HttpRequest request{"GET", "/v1/why/wave/" + invocation.arguments[0], {}, {}};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  co_return result.state == CallState::kAnswered&& result.response.status ==
      200;
}

asio::awaitable<int> StartWave(Invocation& invocation) {
  HttpRequest request{"POST", "/v1/waves", {}, WaveBody(invocation)};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  if (result.state == CallState::kUnknown && co_await WaveExists(invocation)) {
    invocation.out << "wave " << invocation.arguments[0] << " exists\n";
    co_return kDone;
  }
  co_return PrintAnswer(invocation, result, &PrintTree);
}

// Stopping is idempotent, so the request is repeated once if the reply is lost.
asio::awaitable<int> StopWave(Invocation& invocation) {
  HttpRequest request{"DELETE", "/v1/waves/" + invocation.arguments[0], {}, {}};
  CallResult result = co_await invocation.api.Call(request);
  if (result.state == CallState::kUnknown) {
    result = co_await invocation.api.Call(std::move(request));
  }
  co_return PrintAnswer(invocation, result, &PrintTree);
}

asio::awaitable<int> ShowWaves(Invocation& invocation) {
  if (invocation.arguments.empty()) {
    co_return co_await GetAndPrint(invocation, "/v1/waves", &PrintWaves);
  }
  co_return co_await GetAndPrint(
      invocation, "/v1/why/wave/" + invocation.arguments[0], &PrintTree);
}

asio::awaitable<int> ShowFleet(Invocation& invocation) {
  co_return co_await GetAndPrint(invocation, "/v1/fleet", &PrintFleet);
}

// `why KIND ID`; KIND defaults to `vm`.
asio::awaitable<int> ExplainDecision(Invocation& invocation) {
  const bool has_kind = invocation.arguments.size() > 1;
  std::string path = "/v1/why/";
  path += has_kind ? invocation.arguments[0] : "vm";
  path += '/';
  path += invocation.arguments.back();
  co_return co_await GetAndPrint(invocation, std::move(path), &PrintTree);
}

const CommandRegistration kPlanWave("wave plan",
                                    {"WAVE [POOL...]",
                                     "say what a wave would take", &PlanWave});
const CommandRegistration kStartWave("wave start",
                                     {"WAVE [POOL...]",
                                      "start a maintenance wave", &StartWave});
const CommandRegistration kStopWave("wave stop",
                                    {"WAVE", "take out no more VMs",
                                     &StopWave});
const CommandRegistration kShowWaves("wave show",
                                     {"[WAVE]", "show all waves, or one",
                                      &ShowWaves});
const CommandRegistration kFleet("fleet", {"", "show pools, budgets and VMs",
                                           &ShowFleet});
const CommandRegistration kWhy("why", {"[vm|pool|wave|request] ID",
                                       "say what was decided and why",
                                       &ExplainDecision});

}  // namespace

}  // namespace hemlockward::ctl
