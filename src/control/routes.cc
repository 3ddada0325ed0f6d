#include "control/routes.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <utility>
#include <vector>

#include "control/reports.h"

namespace hemlockward::control {

namespace asio = boost::asio;
namespace json = boost::json;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

using ResponseTask = asio::awaitable<HttpResponse>;
using RouteRegistration = kernel::Registration<Route>;

constexpr base::Millis kEntryTimeout = base::Seconds(1);
constexpr std::size_t kMaxNameBytes = 100;

// Restricts the characters because names become part of table keys and paths.
bool IsName(std::string_view text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

HttpResponse InvalidName(std::string_view what) {
  return kernel::ProblemResponse(
      400, "wrong name",
      std::string(what) + ": 1 to 100 letters, digits, '-', '_' or '.'");
}

// The status tells the client whether the change was made.
HttpResponse RefusalResponse(const Refusal& refusal) {
  json::object body{{"title", refusal.what}};
  int status = 503;
  switch (refusal.kind) {
    case RefusalKind::kFindings:
      status = 422;
      body["findings"] = json::parse(ToJson(refusal.findings));
      break;
    case RefusalKind::kConflict:
      status = 409;
      body["stored"] = refusal.stored;
      body["stored_etag"] = refusal.stored_etag;
      break;
    case RefusalKind::kNotFound:
      status = 404;
      break;
    case RefusalKind::kUnavailable:
      body["detail"] = "nothing was changed";
      break;
    case RefusalKind::kUnknown:
      status = 504;
      body["detail"] = "the change may or may not have been made";
      break;
  }
  body["status"] = status;
  HttpResponse response{status, {}, json::serialize(body)};
  response.With("Content-Type", "application/problem+json");
  return response;
}

HttpResponse AppliedResponse(int status, const Applied& applied) {
  json::object body{{"accepted", true}, {"revision", applied.revision}};
  HttpResponse response = kernel::JsonResponse(status, json::serialize(body));
  if (!applied.etag.empty()) response.With("ETag", applied.etag);
  return response;
}

// A 409 contains both the current document and the one sent.
HttpResponse DocumentRefusal(const Refusal& refusal, const std::string& sent) {
  HttpResponse response = RefusalResponse(refusal);
  if (refusal.kind != RefusalKind::kConflict) return response;
  json::object body = json::parse(response.body).as_object();
  body["sent"] = sent;
  response.body = json::serialize(body);
  return response;
}

ResponseTask PutDocument(RouteContext& context, HttpRequest request) {
  const auto parts = kernel::SplitPath(request.Path());
  if (parts.size() != 4 || parts[3] != "document") {
    co_return kernel::ProblemResponse(404, "not found",
                                      "/v1/teams/{team}/document");
  }
  if (!IsName(parts[2])) co_return InvalidName("team");
  base::TeamId team{std::string(parts[2])};
  std::string file = request.Query("file");
  if (file.empty()) file = team.value + ".yaml";
  std::string match(request.Header("If-Match"));
  std::string sent = request.body;
  const auto applied = co_await context.operations.PutDocument(
      std::move(team), request.body, std::move(match), std::move(file));
  if (!applied) co_return DocumentRefusal(applied.error(), sent);
  co_return AppliedResponse(200, *applied);
}

ResponseTask GetDocument(RouteContext& context, HttpRequest request) {
  const auto parts = kernel::SplitPath(request.Path());
  const bool named = parts.size() == 4 && parts[3] == "document";
  const auto view = context.store.Snapshot();
  const auto it =
      named ? view->documents.find(base::TeamId(std::string(parts[2])))
            : view->documents.end();
  if (it == view->documents.end()) {
    co_return kernel::ProblemResponse(404, "not found", "no such document");
  }
  HttpResponse response{200, {}, it->second.source};
  response.With("Content-Type", "application/yaml")
      .With("ETag", EtagOf(it->second.source))
      .With("Hemlockward-Revision", std::to_string(view->revision));
  co_return response;
}

ReportInputs MakeReportInputs(RouteContext& context,
                              const base::FleetView& view) {
  return {view, context.state, context.settings, context.clock.Wall()};
}

struct WaveRequest {
  base::WaveId wave;
  std::vector<base::PoolId> pools;
};

tl::expected<WaveRequest, std::string> ReadWaveRequest(
    const std::string& body) {
  WaveRequest request;
  try {
    const json::value value = json::parse(body);
    const json::object& object = value.as_object();
    request.wave = base::WaveId(json::value_to<std::string>(object.at("wave")));
    if (object.contains("pools")) {
      for (const json::value& it : object.at("pools").as_array()) {
        request.pools.emplace_back(json::value_to<std::string>(it));
      }
    }
  } catch (const std::exception& e) {
    return tl::unexpected(std::string(e.what()));
  }
  return request;
}

ResponseTask PostWave(RouteContext& context, HttpRequest request) {
  auto wave = ReadWaveRequest(request.body);
  if (!wave) {
    co_return kernel::ProblemResponse(
        400, "wrong body",
        wave.error() + "; allowed: {\"wave\":NAME,\"pools\":[NAME...]}");
  }
  if (!IsName(wave->wave.value)) co_return InvalidName("wave");
  const auto view = context.store.Snapshot();
  if (!request.Query("plan").empty()) {
    base::WaveRow row;
    row.wave = wave->wave;
    row.pools = wave->pools;
    row.started = context.clock.Wall();
    co_return kernel::JsonResponse(
        200, PlanReport(MakeReportInputs(context, *view), row));
  }
  const auto applied = co_await context.operations.StartWave(
      std::move(wave->wave), std::move(wave->pools));
  if (!applied) co_return RefusalResponse(applied.error());
  co_return AppliedResponse(201, *applied);
}

ResponseTask DeleteWave(RouteContext& context, HttpRequest request) {
  const auto parts = kernel::SplitPath(request.Path());
  if (parts.size() != 3) {
    co_return kernel::ProblemResponse(404, "not found", "/v1/waves/{id}");
  }
  base::WaveId wave{std::string(parts[2])};
  const auto applied = co_await context.operations.StopWave(std::move(wave));
  if (!applied) co_return RefusalResponse(applied.error());
  co_return AppliedResponse(200, *applied);
}

ResponseTask GetWaves(RouteContext& context, HttpRequest /*request*/) {
  const auto view = context.store.Snapshot();
  co_return kernel::JsonResponse(200,
                                 WavesReport(MakeReportInputs(context, *view)));
}

ResponseTask GetFleet(RouteContext& context, HttpRequest /*request*/) {
  const auto view = context.store.Snapshot();
  co_return kernel::JsonResponse(200,
                                 FleetReport(MakeReportInputs(context, *view)));
}

// Only the entry that handled a request records its routing decisions.
ResponseTask WhyRequest(RouteContext& context, std::string id) {
  const auto view = context.store.Snapshot();
  for (const base::EntryRow& it : view->membership.entries) {
    HttpRequest request{"GET", "/v1/why/request/" + id, {}, {}};
    auto answer = co_await context.http.Call(it.http_address,
                                             std::move(request), kEntryTimeout);
    if (answer && answer->status == 200) co_return std::move(*answer);
  }
  co_return kernel::ProblemResponse(404, "not found",
                                    "no entry remembers this request");
}

ResponseTask GetWhy(RouteContext& context, HttpRequest request) {
  const auto parts = kernel::SplitPath(request.Path());
  if (parts.size() != 4) {
    co_return kernel::ProblemResponse(404, "not found",
                                      "/v1/why/{vm|pool|wave|request}/{id}");
  }
  std::string id(parts[3]);
  if (parts[2] == "request") {
    if (!IsName(id)) co_return InvalidName("request");
    co_return co_await WhyRequest(context, std::move(id));
  }
  const auto view = context.store.Snapshot();
  const ReportInputs inputs = MakeReportInputs(context, *view);
  std::string report;
  if (parts[2] == "vm") report = WhyVm(inputs, base::VmId(id));
  if (parts[2] == "pool") report = WhyPool(inputs, base::PoolId(id));
  if (parts[2] == "wave") report = WhyWave(inputs, base::WaveId(id));
  if (report.empty()) {
    co_return kernel::ProblemResponse(404, "not found", "nothing of that name");
  }
  co_return kernel::JsonResponse(200, std::move(report));
}

const RouteRegistration kPutDocument("PUT teams", &PutDocument);
const RouteRegistration kGetDocument("GET teams", &GetDocument);
const RouteRegistration kPostWave("POST waves", &PostWave);
const RouteRegistration kDeleteWave("DELETE waves", &DeleteWave);
const RouteRegistration kGetWaves("GET waves", &GetWaves);
const RouteRegistration kGetFleet("GET fleet", &GetFleet);
const RouteRegistration kGetWhy("GET why", &GetWhy);

HttpResponse Readiness(const RouteContext& context) {
  if (context.stopping) return {503, {}, "stopping\n"};
  if (context.store.revision() == 0) {
    return {503, {}, "no view of the fleet yet\n"};
  }
  return {200, {}, "ready\n"};
}

void SetGauges(RouteContext& context) {
  const auto view = context.store.Snapshot();
  base::Metrics& metrics = context.metrics;
  metrics.Set("hemlockward_revision", {}, static_cast<double>(view->revision));
  metrics.Set("hemlockward_shards_held", {}, context.leases.HeldCount());
  std::map<std::string, int> states;
  for (const auto& [id, row] : view->vms) {
    ++states[std::string(base::ToText(row.state))];
  }
  for (const std::string_view it :
       {"member", "leaving", "empty", "rebooting", "returning", "lost"}) {
    const std::string state(it);
    metrics.Set("hemlockward_vms", "state=\"" + state + "\"", states[state]);
  }
  const Accounts accounts = context.state.accounts();
  for (const auto& [team, document] : view->documents) {
    const auto it = accounts.find(document.service);
    if (it == accounts.end()) continue;
    const auto left =
        BudgetLeft(it->second, document.budget, context.clock.Wall());
    metrics.Set("hemlockward_budget_left_ms",
                "service=\"" + document.service.value + "\"",
                static_cast<double>(left.count));
  }
}

HttpResponse MetricsResponse(RouteContext& context) {
  SetGauges(context);
  HttpResponse response{200, {}, context.metrics.ToPrometheus()};
  response.With("Content-Type", "text/plain; version=0.0.4");
  return response;
}

std::string KnownRoutes() {
  std::string text;
  for (const auto& [name, route] : Routes::Instance().All()) {
    if (!text.empty()) text += ", ";
    text += name;
  }
  return text;
}

}  // namespace

ResponseTask Answer(RouteContext& context, HttpRequest request) {
  const std::string path(request.Path());
  if (path == "/healthz") co_return HttpResponse{200, {}, "ok\n"};
  if (path == "/readyz") co_return Readiness(context);
  if (path == "/metrics") co_return MetricsResponse(context);
  const auto parts = kernel::SplitPath(path);
  const bool versioned = parts.size() >= 2 && parts[0] == "v1";
  const Route* route = nullptr;
  if (versioned) {
    route =
        Routes::Instance().Find(request.method + " " + std::string(parts[1]));
  }
  if (route == nullptr) {
    co_return kernel::ProblemResponse(404, "not found",
                                      "routes under /v1: " + KnownRoutes());
  }
  context.metrics.Count("hemlockward_operator_requests_total");
  co_return co_await (*route)(context, std::move(request));
}

}  // namespace hemlockward::control
