#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/types.h"

/// Queue of the requests of one service that wait for a slot at one entry.
namespace hemlockward::entry {

using RequestNumber = std::uint64_t;  ///< Unique within one entry process.

struct QueuedRequest {
  RequestNumber id = 0;
  base::RequestClass request_class = base::RequestClass::kNormal;
  base::Millis enqueued{};
  base::Millis deadline{};  ///< On the entry's monotonic clock.
  std::size_t bytes = 0;    ///< Memory that it uses while queued.
};

struct QueueLimits {
  /// Maximum number of queued requests per class; from queue_length in the
  /// service document.
  std::array<int, base::kRequestClassCount> lengths = {1000, 1000, 1000};
  std::size_t max_bytes = 64UL * 1024 * 1024;  ///< Sum over all classes.
};

enum class QueueRefusal : std::uint8_t { kQueueFull, kByteLimit, kExpired };
std::string_view ToText(QueueRefusal value);

/// Set of request classes; bit n represents RequestClass n.
using ClassMask = std::uint8_t;
inline constexpr ClassMask kAllClasses = 0b111;
constexpr ClassMask MaskOf(base::RequestClass value) {
  return static_cast<ClassMask>(1U << static_cast<unsigned>(value));
}

/// A bounded priority queue with three classes. Not thread-safe: the owner must
/// lock.
///
/// Higher classes are served first. A lower class that was skipped for enough
/// pops gets a single turn if the oldest urgent request can still start well
/// within kUrgentStartLimit at the recent rate of pops, or if the oldest
/// request of the lower class has waited kAgingLimit. Push, Pop and Cancel take
/// O(log n).
class RequestQueue {
 public:
  /// Time within which an urgent request must start, provided that slots of its
  /// pool become free.
  static constexpr base::Millis kUrgentStartLimit{7200};
  /// A lower class whose oldest request has waited this long gets its turns
  /// regardless of urgent requests.
  static constexpr base::Millis kAgingLimit = base::Minutes(10);

  explicit RequestQueue(QueueLimits limits);

  /// The new limits apply to later pushes; queued requests are not dropped.
  void SetLimits(QueueLimits limits) { limits_ = limits; }
  tl::expected<void, QueueRefusal> Push(const QueuedRequest& request,
                                        base::Millis now);
  /// Removes and returns the next unexpired request of the allowed classes
  /// (those with quota left). Expired requests stay until TakeExpired.
  std::optional<QueuedRequest> Pop(base::Millis now,
                                   ClassMask allowed = kAllClasses);
  /// Removes a request; false if it is not in the queue.
  bool Cancel(RequestNumber id);
  /// Removes several requests in O(k log n) for k ids. Returns how many were
  /// queued.
  std::size_t CancelAll(std::span<const RequestNumber> ids);
  /// Removes and returns the requests whose deadline is `now` or earlier; the
  /// caller answers them as not run.
  std::vector<QueuedRequest> TakeExpired(base::Millis now);
  /// Removes and returns all requests, urgent first; for a planned shutdown.
  std::vector<QueuedRequest> TakeAll();

  [[nodiscard]] std::size_t size() const { return index_.size(); }
  [[nodiscard]] int CountWaiting(base::RequestClass value) const;
  /// Number of queued requests that are served before a new one of this class.
  [[nodiscard]] int CountAhead(base::RequestClass value) const;
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  using Node = std::uint32_t;
  static constexpr Node kNone = ~Node{0};

  struct Item {
    QueuedRequest request;
    Node previous = kNone;
    Node next = kNone;
  };

  struct ClassQueue {
    Node first = kNone;
    Node last = kNone;
    int length = 0;
    int skipped_pops = 0;  ///< Pops from higher classes since its last turn.
  };

  Node Allocate();
  void Remove(Node node);
  void UpdatePopInterval(base::Millis now);
  [[nodiscard]] bool CanUrgentWait(base::Millis now, ClassMask usable) const;
  [[nodiscard]] bool IsTurnDue(std::size_t index, base::Millis now,
                               ClassMask usable) const;
  [[nodiscard]] std::size_t ChooseClass(base::Millis now,
                                        ClassMask usable) const;
  [[nodiscard]] Node FirstUnexpired(const ClassQueue& class_queue,
                                    base::Millis now) const;

  QueueLimits limits_;
  std::vector<Item> items_;
  std::vector<Node> free_;
  std::unordered_map<RequestNumber, Node> index_;
  std::array<ClassQueue, base::kRequestClassCount> class_queues_;
  std::set<std::pair<base::Millis, Node>> deadlines_;
  std::size_t bytes_ = 0;
  base::Millis last_pop_{};
  bool backlog_at_last_pop_ = false;
  double mean_pop_interval_ms_ = static_cast<double>(kUrgentStartLimit.count);
};

}  // namespace hemlockward::entry
