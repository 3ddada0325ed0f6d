#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/findings.h"
#include "base/fleet.h"
#include "base/log.h"
#include "control/change_writer.h"
#include "control/document.h"
#include "peer/view_sync.h"
#include "platform/platform.h"

/// Changes made by operators: team documents and waves.
namespace hemlockward::control {

enum class RefusalKind : std::uint8_t {
  kFindings,     ///< The input is invalid; see `findings`.
  kConflict,     ///< Another operator changed it; see `stored`.
  kNotFound,     ///< The object does not exist.
  kUnavailable,  ///< Nothing was changed; try again.
  kUnknown,      ///< It may or may not have been changed.
};

struct Refusal {
  RefusalKind kind = RefusalKind::kUnavailable;
  std::string what;
  base::Findings findings;
  std::string stored;       ///< With kConflict: the current document.
  std::string stored_etag;  ///< With kConflict: its entity tag.
};

template <class T>
using OperationResult = boost::asio::awaitable<tl::expected<T, Refusal>>;

/// An accepted document or wave.
struct Applied {
  base::Revision revision = 0;
  std::string etag;  ///< Of the current document, quoted.
};

/// Entity tag of a document: a quoted hash of its text.
std::string EtagOf(std::string_view source);

/// Converts a failed write into a refusal: kUnknown or kUnavailable.
Refusal ToRefusal(const platform::TableError& error);

/// Compares `if_match` with the entity tag of the current document of `team`.
/// Empty means no condition; `*` matches any existing document.
std::optional<Refusal> CheckIfMatch(const base::FleetView& view,
                                    const base::TeamId& team,
                                    std::string_view if_match);

/// Findings as one JSON array of {file,line,column,problem,allowed}.
std::string ToJson(const base::Findings& findings);

template <platform::Table TableT, base::ClockSource Clock>
class Operations {
 public:
  Operations(const Clock& clock, peer::ViewStore& store,
             peer::ViewPoller<TableT, Clock>& poller,
             ChangeWriter<TableT>& writer)
      : clock_(clock), store_(store), poller_(poller), writer_(writer) {}

  /// Validates the document by itself and against the fleet, then commits it.
  OperationResult<Applied> PutDocument(base::TeamId team, std::string text,
                                       std::string if_match, std::string file) {
    auto document = ParseDocument(text, file);
    if (!document) co_return InvalidDocument(std::move(document.error()));
    if (document->team != team) {
      base::Findings findings;
      findings.Add({file, 1, 1},
                   "the document is of team '" + document->team.value + "'",
                   "team '" + team.value + "'");
      co_return InvalidDocument(std::move(findings));
    }
    for (int i = 0; i < kMaxConflictRetries; ++i) {
      auto polled = co_await poller_.PollOnce();
      if (!polled) co_return tl::unexpected(ToRefusal(polled.error()));
      const auto view = store_.Snapshot();
      if (auto refusal = CheckIfMatch(*view, team, if_match)) {
        co_return tl::unexpected(std::move(*refusal));
      }
      auto findings = CheckAgainstFleet(*document, *view, file);
      if (!findings.empty()) co_return InvalidDocument(std::move(findings));
      Change change;
      change.required_revision = view->revision;
      change.rows = {{"doc/" + team.value, base::Encode(*document)}};
      auto accepted = co_await writer_.Write(std::move(change));
      if (accepted) {
        Log("document", team.value, accepted->revision);
        co_return Applied{accepted->revision, EtagOf(text)};
      }
      if (!IsConflict(accepted.error())) {
        co_return tl::unexpected(ToRefusal(accepted.error()));
      }
    }
    co_return tl::unexpected(RetriesExhausted());
  }

  /// Starts a wave over `pools`; empty means all pools.
  OperationResult<Applied> StartWave(base::WaveId wave,
                                     std::vector<base::PoolId> pools) {
    for (int i = 0; i < kMaxConflictRetries; ++i) {
      auto polled = co_await poller_.PollOnce();
      if (!polled) co_return tl::unexpected(ToRefusal(polled.error()));
      const auto view = store_.Snapshot();
      if (view->waves.contains(wave)) co_return WaveExists(wave);
      base::WaveRow row;
      row.wave = wave;
      row.pools = pools;
      row.started = clock_.Wall();
      auto accepted = co_await WriteWave(*view, std::move(row));
      if (accepted) co_return Applied{accepted->revision, {}};
      if (!IsConflict(accepted.error())) {
        co_return tl::unexpected(ToRefusal(accepted.error()));
      }
    }
    co_return tl::unexpected(RetriesExhausted());
  }

  /// Stops a wave, so that it takes out no more VMs. Idempotent.
  OperationResult<Applied> StopWave(base::WaveId wave) {
    for (int i = 0; i < kMaxConflictRetries; ++i) {
      auto polled = co_await poller_.PollOnce();
      if (!polled) co_return tl::unexpected(ToRefusal(polled.error()));
      const auto view = store_.Snapshot();
      const auto it = view->waves.find(wave);
      if (it == view->waves.end()) {
        co_return tl::unexpected(Refusal{
            RefusalKind::kNotFound, "no wave " + wave.value, {}, {}, {}});
      }
      if (it->second.stopped) co_return Applied{view->revision, {}};
      base::WaveRow row = it->second;
      row.stopped = true;
      row.reason = "stopped by an operator";
      auto accepted = co_await WriteWave(*view, std::move(row));
      if (accepted) co_return Applied{accepted->revision, {}};
      if (!IsConflict(accepted.error())) {
        co_return tl::unexpected(ToRefusal(accepted.error()));
      }
    }
    co_return tl::unexpected(RetriesExhausted());
  }

 private:
  static constexpr int kMaxConflictRetries = 20;

  static bool IsConflict(const platform::TableError& error) {
    return error.failure == platform::TableFailure::kConflict;
  }
  static Refusal RetriesExhausted() {
    return {RefusalKind::kUnavailable, "too many changes at once", {}, {}, {}};
  }
  static tl::unexpected<Refusal> InvalidDocument(base::Findings findings) {
    return tl::unexpected(Refusal{RefusalKind::kFindings,
                                  "the document is wrong",
                                  std::move(findings),
                                  {},
                                  {}});
  }
  static tl::unexpected<Refusal> WaveExists(const base::WaveId& wave) {
    return tl::unexpected(Refusal{
        RefusalKind::kConflict, "wave " + wave.value + " exists", {}, {}, {}});
  }
  static void Log(std::string_view what, std::string_view id,
                  base::Revision revision) {
    base::LogLine(base::LogLevel::kInfo, "accepted")
        .With("change", what)
        .With("id", id)
        .With("revision", revision);
  }

  platform::Result<Accepted> WriteWave(const base::FleetView& view,
                                       base::WaveRow row) {
    Change change;
    change.required_revision = view.revision;
    change.rows = {{"wave/" + row.wave.value, base::Encode(row)}};
    auto accepted = co_await writer_.Write(std::move(change));
    if (accepted) Log("wave", row.wave.value, accepted->revision);
    co_return accepted;
  }

  const Clock& clock_;
  peer::ViewStore& store_;
  peer::ViewPoller<TableT, Clock>& poller_;
  ChangeWriter<TableT>& writer_;
};

}  // namespace hemlockward::control
