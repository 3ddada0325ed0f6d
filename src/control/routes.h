#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/change_writer.h"
#include "control/fleet_state.h"
#include "control/lease_keeper.h"
#include "control/operations.h"
#include "kernel/http.h"
#include "kernel/registry.h"
#include "peer/view_sync.h"
#include "platform/table.h"

/// The operators' HTTP API. Each route is a plug-in named by its method and
/// first path part under /v1, for example `PUT teams`.
namespace hemlockward::control {

using TableOperations = Operations<platform::TableClient, base::SystemClock>;
using TableLeases = LeaseKeeper<platform::TableClient, base::SystemClock>;

/// What routes work with; outlives every request.
struct RouteContext {
  const base::SystemClock& clock;
  const peer::ViewStore& store;
  const FleetState& state;
  const RunnerSettings& settings;
  const TableLeases& leases;
  TableOperations& operations;
  kernel::HttpClient& http;
  base::Metrics& metrics;
  const std::atomic<bool>& stopping;
};

using Route = boost::asio::awaitable<kernel::HttpResponse> (*)(
    RouteContext& context, kernel::HttpRequest request);
using Routes = kernel::Registry<Route>;

/// Finds the route and answers; unknown ones get 404 with what there is.
boost::asio::awaitable<kernel::HttpResponse> Answer(
    RouteContext& context, kernel::HttpRequest request);

}  // namespace hemlockward::control
