#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "entry/claims.h"
#include "entry/dispatch.h"
#include "entry/outcome_store.h"
#include "entry/owner.h"
#include "entry/request.h"
#include "entry/terminated_owners.h"
#include "kernel/worker_pool.h"
#include "peer/transport.h"
#include "peer/view_sync.h"

namespace hemlockward::entry {

/// Requests with an idempotency key: each runs at most once, at the one entry
/// incarnation that owns its key, and every call with the key gets the outcome
/// of that run. Thread-safe.
///
/// A key whose request was answered not-run never runs later. An entry that
/// can't reach the key's owner answers unknown, because the request may have
/// reached the owner through another entry. Exception: it answers not-run if
/// the owner is known to have terminated before the key was made.
class KeyedRequests {
 public:
  struct Options {
    base::EntryRow self;
    KeyPolicy policy;
    ClaimLimits limits;
    /// How long after its deadline a sent request may still be answered.
    base::Millis late_answer_wait;
  };

  KeyedRequests(kernel::WorkerPool& pool, const base::SystemClock& clock,
                peer::ViewStore& view, Dispatcher& dispatcher,
                Scheduler& scheduler, peer::PeerClient& peers,
                OutcomeStore& store, Options options);

  /// Makes new keys that only this incarnation runs.
  std::vector<std::string> Mint(int n);
  /// Runs a request locally or at its owner. With `respond_async` the answer is
  /// a 202 as soon as the owner has claimed the key; the outcome is stored.
  boost::asio::awaitable<Answer> Run(Request request, bool respond_async);
  /// Returns the outcome of the key's request. With `cancel`, first cancels the
  /// request unless it was already sent to a target.
  boost::asio::awaitable<Answer> Query(std::string key, bool cancel);
  /// Records that a connection to a peer's address was refused.
  void OnConnectionRefused(const std::string& address);
  /// Answers a peer's ForwardRequest or OutcomeRequest.
  boost::asio::awaitable<peer::gen::Message> AnswerPeer(
      std::shared_ptr<const peer::gen::Message> call);
  /// Requests run here that haven't finished or whose outcome is being stored.
  [[nodiscard]] int running() const { return running_; }

 private:
  struct Caller;

  tl::expected<Owner, OwnerRefusal> FindOwner(const Key& key) const;
  [[nodiscard]] bool IsSelf(const base::EntryRow& row) const;
  boost::asio::awaitable<Answer> RunLocally(Key key, Request request,
                                            bool respond_async);
  boost::asio::awaitable<void> Execute(Key key, Request request,
                                       bool respond_async);
  void Finish(const Key& key, const OutcomePtr& outcome);
  void NotifyAll(const std::vector<Waiter>& waiters, const OutcomePtr& outcome);
  Answer QueryLocally(const Key& key, bool cancel);
  bool CannotHaveRun(const Key& key, const base::EntryRow& owner);
  boost::asio::awaitable<std::optional<Answer>> Forward(const Key& key,
                                                        base::EntryRow owner,
                                                        const Request& request,
                                                        bool respond_async);
  boost::asio::awaitable<std::optional<Answer>> QueryOwner(const Key& key,
                                                           base::EntryRow owner,
                                                           bool cancel);
  boost::asio::awaitable<Answer> LoadStored(std::string key,
                                            std::string_view why_not);

  kernel::WorkerPool& pool_;
  const base::SystemClock& clock_;
  peer::ViewStore& view_;
  Dispatcher& dispatcher_;
  Scheduler& scheduler_;
  peer::PeerClient& peers_;
  OutcomeStore& store_;
  Options options_;
  std::atomic<std::uint64_t> next_key_{1};
  std::atomic<int> running_{0};

  std::mutex mutex_;  // Guards all below; "claims" in the lock order.
  Claims claims_;
  TerminatedOwners terminated_;
  std::unordered_map<Waiter, std::shared_ptr<Caller>> callers_;
  std::unordered_map<std::string, std::uint64_t> numbers_;  // Of running keys.
  Waiter next_waiter_ = 1;
};

}  // namespace hemlockward::entry
