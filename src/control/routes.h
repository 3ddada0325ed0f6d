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

/// The operators' HTTP API. Each route registers itself under its method and
/// its first path segment below /v1, for example `PUT teams`.
namespace hemlockward::control {

using TableOperations = Operations<platform::TableClient, base::SystemClock>;
using TableLeases = LeaseKeeper<platform::TableClient, base::SystemClock>;

/// Dependencies of the routes; outlives every request.
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

/// Dispatches the request; an unknown route gets 404 with a list of all routes.
boost::asio::awaitable<kernel::HttpResponse> Answer(
    RouteContext& context, kernel::HttpRequest request);

}  // namespace hemlockward::control
