#include "peer/view_sync.h"

#include <utility>

#include "peer/gen/peer_types.h"

namespace hemlockward::peer {

namespace {

constexpr std::size_t kMaxRecentRecords = 4096;
constexpr std::size_t kMaxRecordsPerReply = 512;

}  // namespace

std::shared_ptr<const base::FleetView> ViewStore::Snapshot() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

base::Revision ViewStore::revision() const {
  const std::lock_guard lock(mutex_);
  return view_->revision;
}

std::optional<base::Millis> ViewStore::table_read_sent() const {
  const std::lock_guard lock(mutex_);
  return table_read_sent_;
}

void ViewStore::RecordTableRead(base::Millis sent, base::Revision head) {
  const std::lock_guard lock(mutex_);
  if (view_->revision < head) return;
  if (!table_read_sent_ || *table_read_sent_ < sent) table_read_sent_ = sent;
}

std::size_t ViewStore::Apply(std::span<const base::ChangeRecord> records) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<base::FleetView> next;
  std::size_t applied = 0;
  for (const base::ChangeRecord& it : records) {
    const base::Revision held = next ? next->revision : view_->revision;
    if (it.revision != held + 1) continue;
    if (!next) next = std::make_shared<base::FleetView>(*view_);
    next->Apply(it);
    recent_.push_back(it);
    if (recent_.size() > kMaxRecentRecords) recent_.pop_front();
    ++applied;
  }
  if (next) view_ = std::move(next);
  return applied;
}

bool ViewStore::Install(base::FleetView view) {
  auto next = std::make_shared<const base::FleetView>(std::move(view));
  const std::lock_guard lock(mutex_);
  if (next->revision <= view_->revision) return false;
  view_ = std::move(next);
  recent_.clear();
  return true;
}

std::optional<std::vector<base::ChangeRecord>> ViewStore::RecordsSince(
    base::Revision revision, std::size_t limit) const {
  const std::lock_guard lock(mutex_);
  std::vector<base::ChangeRecord> records;
  if (revision >= view_->revision) return records;
  const std::size_t missing = view_->revision - revision;
  if (missing > recent_.size()) return std::nullopt;
  const auto first = recent_.end() - static_cast<std::ptrdiff_t>(missing);
  const std::size_t n = std::min(missing, limit);
  records.assign(first, first + static_cast<std::ptrdiff_t>(n));
  return records;
}

void FillDeltaReply(const ViewStore& store, const gen::DeltaRequest& request,
                    gen::DeltaReply& reply) {
  const auto from = static_cast<base::Revision>(request.from_revision);
  const auto records = store.RecordsSince(from, kMaxRecordsPerReply);
  if (records && !request.wants_snapshot) {
    reply.revision = static_cast<std::int64_t>(from + records->size());
    for (const base::ChangeRecord& it : *records) {
      reply.records.push_back(base::Encode(it));
    }
    return;
  }
  const auto view = store.Snapshot();
  reply.revision = static_cast<std::int64_t>(view->revision);
  for (const auto& [id, row] : view->documents) {
    reply.rows["doc/" + id.value] = base::Encode(row);
  }
  for (const auto& [id, row] : view->vms) {
    reply.rows["vm/" + id.value] = base::Encode(row);
  }
  for (const auto& [id, row] : view->waves) {
    reply.rows["wave/" + id.value] = base::Encode(row);
  }
  reply.rows["membership"] = base::Encode(view->membership);
}

bool ApplyDeltaReply(ViewStore& store, const gen::DeltaReply& reply) {
  if (!reply.rows.empty()) {
    base::FleetView view;
    for (const auto& [key, value] : reply.rows) view.ApplyRow(key, value);
    view.revision = static_cast<base::Revision>(reply.revision);
    return store.Install(std::move(view));
  }
  std::vector<base::ChangeRecord> records;
  for (const std::string& it : reply.records) {
    auto record = base::DecodeChangeRecord(it);
    if (!record) break;
    records.push_back(std::move(*record));
  }
  return store.Apply(records) > 0;
}

base::Revision ParseHeadRevision(std::string_view text) {
  base::Revision head = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), head);
  const bool whole = ec == std::errc() && end == text.data() + text.size();
  return whole ? head : 0;
}

}  // namespace hemlockward::peer
