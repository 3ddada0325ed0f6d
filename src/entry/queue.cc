#include "entry/queue.h"

#include <algorithm>

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::RequestClass;

constexpr std::size_t kUrgent = static_cast<std::size_t>(RequestClass::kUrgent);

/// Pops of higher classes after which a class gets a turn, by class.
constexpr std::array<int, base::kRequestClassCount> kPopsBeforeTurn = {0, 4,
                                                                       16};
/// Weight of the newest interval between pops in the moving average.
constexpr double kPopIntervalWeight = 0.1;
/// Fraction of kUrgentStartLimit that turns of lower classes may use.
constexpr double kTurnFraction = 0.5;

}  // namespace

std::string_view ToText(QueueRefusal value) {
  switch (value) {
    case QueueRefusal::kQueueFull:
      return "queue is full";
    case QueueRefusal::kByteLimit:
      return "queue holds too many bytes";
    case QueueRefusal::kExpired:
      return "deadline has passed";
  }
  return "unknown";
}

RequestQueue::RequestQueue(QueueLimits limits) : limits_(limits) {}

tl::expected<void, QueueRefusal> RequestQueue::Push(
    const QueuedRequest& request, Millis now) {
  const auto index = static_cast<std::size_t>(request.request_class);
  ClassQueue& class_queue = class_queues_[index];
  if (request.deadline <= now) return tl::unexpected(QueueRefusal::kExpired);
  if (class_queue.length >= limits_.lengths[index]) {
    return tl::unexpected(QueueRefusal::kQueueFull);
  }
  if (bytes_ + request.bytes > limits_.max_bytes) {
    return tl::unexpected(QueueRefusal::kByteLimit);
  }
  const Node node = Allocate();
  items_[node] = {request, class_queue.last, kNone};
  if (class_queue.last == kNone) {
    class_queue.first = node;
  } else {
    items_[class_queue.last].next = node;
  }
  class_queue.last = node;
  ++class_queue.length;
  bytes_ += request.bytes;
  index_[request.id] = node;
  deadlines_.emplace(request.deadline, node);
  return {};
}

std::optional<QueuedRequest> RequestQueue::Pop(Millis now, ClassMask allowed) {
  ClassMask usable = 0;
  std::array<Node, base::kRequestClassCount> firsts{};
  for (std::size_t i = 0; i < class_queues_.size(); ++i) {
    firsts[i] = FirstUnexpired(class_queues_[i], now);
    const auto bit = static_cast<ClassMask>(1U << i);
    if (firsts[i] != kNone && (allowed & bit) != 0) usable |= bit;
  }
  if (usable == 0) return std::nullopt;
  UpdatePopInterval(now);
  const std::size_t chosen = ChooseClass(now, usable);
  const QueuedRequest request = items_[firsts[chosen]].request;
  Remove(firsts[chosen]);
  class_queues_[chosen].skipped_pops = 0;
  for (std::size_t i = chosen + 1; i < class_queues_.size(); ++i) {
    if (class_queues_[i].length > 0) ++class_queues_[i].skipped_pops;
  }
  last_pop_ = now;
  backlog_at_last_pop_ = size() > 0;
  return request;
}

bool RequestQueue::Cancel(RequestNumber id) {
  const auto it = index_.find(id);
  if (it == index_.end()) return false;
  Remove(it->second);
  return true;
}

std::size_t RequestQueue::CancelAll(std::span<const RequestNumber> ids) {
  std::size_t removed = 0;
  for (const RequestNumber id : ids) removed += Cancel(id) ? 1 : 0;
  return removed;
}

std::vector<QueuedRequest> RequestQueue::TakeExpired(Millis now) {
  std::vector<QueuedRequest> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const Node node = deadlines_.begin()->second;
    expired.push_back(items_[node].request);
    Remove(node);
  }
  return expired;
}

std::vector<QueuedRequest> RequestQueue::TakeAll() {
  std::vector<QueuedRequest> all;
  all.reserve(size());
  for (ClassQueue& class_queue : class_queues_) {
    while (class_queue.first != kNone) {
      all.push_back(items_[class_queue.first].request);
      Remove(class_queue.first);
    }
  }
  return all;
}

int RequestQueue::CountWaiting(RequestClass value) const {
  return class_queues_[static_cast<std::size_t>(value)].length;
}

int RequestQueue::CountAhead(RequestClass value) const {
  int ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(value); ++i) {
    ahead += class_queues_[i].length;
  }
  return ahead;
}

RequestQueue::Node RequestQueue::Allocate() {
  if (free_.empty()) {
    items_.emplace_back();
    return static_cast<Node>(items_.size() - 1);
  }
  const Node node = free_.back();
  free_.pop_back();
  return node;
}

void RequestQueue::Remove(Node node) {
  const Item item = items_[node];
  ClassQueue& class_queue =
      class_queues_[static_cast<std::size_t>(item.request.request_class)];
  (item.previous == kNone ? class_queue.first : items_[item.previous].next) =
      item.next;
  (item.next == kNone ? class_queue.last : items_[item.next].previous) =
      item.previous;
  --class_queue.length;
  if (class_queue.length == 0) class_queue.skipped_pops = 0;
  bytes_ -= item.request.bytes;
  index_.erase(item.request.id);
  deadlines_.erase({item.request.deadline, node});
  free_.push_back(node);
}

// Intervals with an empty queue are ignored: they do not show how fast slots
// become free.
void RequestQueue::UpdatePopInterval(Millis now) {
  if (!backlog_at_last_pop_) return;
  const auto gap = static_cast<double>((now - last_pop_).count);
  mean_pop_interval_ms_ += kPopIntervalWeight * (gap - mean_pop_interval_ms_);
}

bool RequestQueue::CanUrgentWait(Millis now, ClassMask usable) const {
  if ((usable & MaskOf(RequestClass::kUrgent)) == 0) return true;
  const Node first = FirstUnexpired(class_queues_[kUrgent], now);
  const Millis waited = now - items_[first].request.enqueued;
  const double needed =
      static_cast<double>(waited.count) + 2 * mean_pop_interval_ms_;
  return needed < kTurnFraction * static_cast<double>(kUrgentStartLimit.count);
}

bool RequestQueue::IsTurnDue(std::size_t index, Millis now,
                             ClassMask usable) const {
  if ((usable & (1U << index)) == 0) return false;
  if (class_queues_[index].skipped_pops < kPopsBeforeTurn[index]) return false;
  const Node first = FirstUnexpired(class_queues_[index], now);
  const bool aged = now - items_[first].request.enqueued >= kAgingLimit;
  return aged || CanUrgentWait(now, usable);
}

std::size_t RequestQueue::ChooseClass(Millis now, ClassMask usable) const {
  for (std::size_t i = class_queues_.size() - 1; i > kUrgent; --i) {
    if (IsTurnDue(i, now, usable)) return i;
  }
  std::size_t first = kUrgent;
  while ((usable & (1U << first)) == 0) ++first;
  return first;
}

// Requests of one class mostly have similar timeouts, so the expired ones are
// at the front. TakeExpired should run before Pop to keep the scan short.
RequestQueue::Node RequestQueue::FirstUnexpired(const ClassQueue& class_queue,
                                                Millis now) const {
  Node node = class_queue.first;
  while (node != kNone && items_[node].request.deadline <= now) {
    node = items_[node].next;
  }
  return node;
}

}  // namespace hemlockward::entry
