#include "entry/queue.h"

#include <algorithm>

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::RequestClass;

constexpr std::size_t kUrgent = static_cast<std::size_t>(RequestClass::kUrgent);

/// Pops of higher classes after which a class is due a turn.
constexpr std::array<int, base::kRequestClassCount> kTurnAfter = {0, 4, 16};
/// Weight of the newest gap between two pops in the learned pace.
constexpr double kPaceWeight = 0.1;
/// Share of kUrgentStart that turns of lower classes may use up.
constexpr double kTurnShare = 0.5;

}  // namespace

std::string_view ToText(QueueRefusal value) {
  switch (value) {
    case QueueRefusal::kTooMany:
      return "queue is full";
    case QueueRefusal::kTooManyBytes:
      return "queue holds too many bytes";
    case QueueRefusal::kTooLate:
      return "deadline has passed";
  }
  return "unknown";
}

RequestQueue::RequestQueue(QueueLimits limits) : limits_(limits) {}

tl::expected<void, QueueRefusal> RequestQueue::Push(
    const QueuedRequest& request, Millis now) {
  const auto index = static_cast<std::size_t>(request.request_class);
  Line& line = lines_[index];
  if (request.deadline <= now) return tl::unexpected(QueueRefusal::kTooLate);
  if (line.length >= limits_.lengths[index]) {
    return tl::unexpected(QueueRefusal::kTooMany);
  }
  if (bytes_ + request.bytes > limits_.max_bytes) {
    return tl::unexpected(QueueRefusal::kTooManyBytes);
  }
  const Node node = Allocate();
  items_[node] = {request, line.last, kNone};
  if (line.last == kNone) {
    line.first = node;
  } else {
    items_[line.last].next = node;
  }
  line.last = node;
  ++line.length;
  bytes_ += request.bytes;
  index_[request.id] = node;
  deadlines_.emplace(request.deadline, node);
  return {};
}

std::optional<QueuedRequest> RequestQueue::Pop(Millis now, ClassMask allowed) {
  ClassMask usable = 0;
  std::array<Node, base::kRequestClassCount> firsts{};
  for (std::size_t i = 0; i < lines_.size(); ++i) {
    firsts[i] = FirstAlive(lines_[i], now);
    const auto bit = static_cast<ClassMask>(1U << i);
    if (firsts[i] != kNone && (allowed & bit) != 0) usable |= bit;
  }
  if (usable == 0) return std::nullopt;
  LearnPace(now);
  const std::size_t chosen = ChooseLine(now, usable);
  const QueuedRequest request = items_[firsts[chosen]].request;
  Remove(firsts[chosen]);
  lines_[chosen].passed_over = 0;
  for (std::size_t i = chosen + 1; i < lines_.size(); ++i) {
    if (lines_[i].length > 0) ++lines_[i].passed_over;
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
  for (Line& line : lines_) {
    while (line.first != kNone) {
      all.push_back(items_[line.first].request);
      Remove(line.first);
    }
  }
  return all;
}

int RequestQueue::Waiting(RequestClass value) const {
  return lines_[static_cast<std::size_t>(value)].length;
}

int RequestQueue::Ahead(RequestClass value) const {
  int ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(value); ++i) {
    ahead += lines_[i].length;
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
  Line& line = lines_[static_cast<std::size_t>(item.request.request_class)];
  (item.previous == kNone ? line.first : items_[item.previous].next) =
      item.next;
  (item.next == kNone ? line.last : items_[item.next].previous) = item.previous;
  --line.length;
  if (line.length == 0) line.passed_over = 0;
  bytes_ -= item.request.bytes;
  index_.erase(item.request.id);
  deadlines_.erase({item.request.deadline, node});
  free_.push_back(node);
}

// Only gaps during which something waited tell how fast slots end.
void RequestQueue::LearnPace(Millis now) {
  if (!backlog_at_last_pop_) return;
  const auto gap = static_cast<double>((now - last_pop_).count);
  pop_gap_ms_ += kPaceWeight * (gap - pop_gap_ms_);
}

bool RequestQueue::UrgentCanWait(Millis now, ClassMask usable) const {
  if ((usable & MaskOf(RequestClass::kUrgent)) == 0) return true;
  const Node first = FirstAlive(lines_[kUrgent], now);
  const Millis waited = now - items_[first].request.enqueued;
  const double needed = static_cast<double>(waited.count) + 2 * pop_gap_ms_;
  return needed < kTurnShare * static_cast<double>(kUrgentStart.count);
}

bool RequestQueue::TurnIsDue(std::size_t line, Millis now,
                             ClassMask usable) const {
  if ((usable & (1U << line)) == 0) return false;
  if (lines_[line].passed_over < kTurnAfter[line]) return false;
  const Node first = FirstAlive(lines_[line], now);
  const bool aged = now - items_[first].request.enqueued >= kAging;
  return aged || UrgentCanWait(now, usable);
}

std::size_t RequestQueue::ChooseLine(Millis now, ClassMask usable) const {
  for (std::size_t i = lines_.size() - 1; i > kUrgent; --i) {
    if (TurnIsDue(i, now, usable)) return i;
  }
  std::size_t first = kUrgent;
  while ((usable & (1U << first)) == 0) ++first;
  return first;
}

// Requests of one class mostly have like deadlines, so expired ones lie in
// front; TakeExpired is expected to run before Pop.
RequestQueue::Node RequestQueue::FirstAlive(const Line& line,
                                            Millis now) const {
  Node node = line.first;
  while (node != kNone && items_[node].request.deadline <= now) {
    node = items_[node].next;
  }
  return node;
}

}  // namespace hemlockward::entry
