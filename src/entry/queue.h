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

/// Requests of one service that wait for a slot at one entry.
namespace hemlockward::entry {

using RequestNumber = std::uint64_t;  ///< Unique within one entry process.

struct QueuedRequest {
  RequestNumber id = 0;
  base::RequestClass request_class = base::RequestClass::kNormal;
  base::Millis enqueued{};
  base::Millis deadline{};  ///< On the entry's monotonic clock.
  std::size_t bytes = 0;    ///< Memory held while it waits.
};

struct QueueLimits {
  /// Requests waiting at most, per class; from the document's queue_length.
  std::array<int, base::kRequestClassCount> lengths = {1000, 1000, 1000};
  std::size_t max_bytes = 64UL * 1024 * 1024;  ///< All classes together.
};

enum class QueueRefusal : std::uint8_t { kQueueFull, kByteLimit, kExpired };
std::string_view ToText(QueueRefusal value);

/// Set of classes; bit n stands for RequestClass n.
using ClassMask = std::uint8_t;
inline constexpr ClassMask kAllClasses = 0b111;
constexpr ClassMask MaskOf(base::RequestClass value) {
  return static_cast<ClassMask>(1U << static_cast<unsigned>(value));
}

/// A bounded queue in three classes. Not thread-safe: the owner locks.
///
/// Urgent goes first. A lower class that was passed over long enough gets a
/// single turn, but only while the oldest urgent request can still start well
/// within kUrgentStartLimit at the pace at which slots have been ending, or
/// after the lower one has waited kAgingLimit. Push, Pop and Cancel cost O(log
/// n).
class RequestQueue {
 public:
  /// Within this, urgent work starts whenever a slot of its pool ends.
  static constexpr base::Millis kUrgentStartLimit{7200};
  /// A lower class that waited this long gets its turns in any case.
  static constexpr base::Millis kAgingLimit = base::Minutes(10);

  explicit RequestQueue(QueueLimits limits);

  /// New limits bound what comes from now on; nothing waiting is dropped.
  void SetLimits(QueueLimits limits) { limits_ = limits; }
  tl::expected<void, QueueRefusal> Push(const QueuedRequest& request,
                                        base::Millis now);
  /// Takes the next request of the allowed classes (those with quota left)
  /// whose deadline hasn't passed. Expired ones stay until TakeExpired.
  std::optional<QueuedRequest> Pop(base::Millis now,
                                   ClassMask allowed = kAllClasses);
  /// Removes a request; false when it isn't waiting here any more.
  bool Cancel(RequestNumber id);
  /// Removes many; cost is linear in `ids` but for a logarithm of the queue.
  /// Returns how many were waiting.
  std::size_t CancelAll(std::span<const RequestNumber> ids);
  /// Takes those whose deadline is `now` or earlier, to be answered not-run.
  std::vector<QueuedRequest> TakeExpired(base::Millis now);
  /// Takes everything, urgent first; for a planned stop.
  std::vector<QueuedRequest> TakeAll();

  [[nodiscard]] std::size_t size() const { return index_.size(); }
  [[nodiscard]] int CountWaiting(base::RequestClass value) const;
  /// Requests that are served before a new one of this class.
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
    int skipped_pops = 0;  ///< Pops that went to a higher class meanwhile.
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
