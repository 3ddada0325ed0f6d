#pragma once

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/types.h"

/// What the platform and the monitoring group offer, as concepts and messages.
///
/// Wire forms (HTTP/1.1 with JSON bodies):
///   POST /table/transact
///   {"nonce","conditions":[{"key","version"}],"writes":[{"key","value"|null}]}
///        200 {"committed":true,"version":N} or 409
///        {"committed":false,"conflicts":[key...]} A nonce seen before answers
///        as the first time and writes nothing again.
///   POST /table/read      {"keys":[...]} ->
///   {"rows":[{"key","version","value"}]}; absent rows left out POST
///   /table/scan      {"prefix","after","limit"} -> {"rows":[...],"more":bool},
///   by key PUT|GET|DELETE /objects/{key}   raw bytes; PUT with If-None-Match:
///   * never overwrites (412) GET  /vms
///   {"vms":[{"vm","zone","rack","address","state":"live|leaving|gone"}]},
///   lagging POST /vms/{vm}/drain | /reboot | /checkpoint   {"nonce"} -> 202;
///   the same nonce acts once GET  /verdicts (monitor)
///   {"verdicts":[{"vm","up":bool,"age_ms"}]}
namespace hemlockward::platform {

/// Grows with each write of a row; 0 stands for a row that doesn't exist.
using RowVersion = std::uint64_t;

struct Row {
  std::string key;
  RowVersion version = 0;
  std::string value;
};

struct Condition {
  std::string key;
  RowVersion version = 0;
};

struct Write {
  std::string key;
  std::string value;
  bool remove = false;
};

/// Writes all rows or none; only if every condition holds at that moment.
struct Transaction {
  std::string nonce;  ///< Unique to this attempt; settles a lost answer.
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// The version that every written row now has.
struct Committed {
  RowVersion version = 0;
};

enum class TableFailure : std::uint8_t {
  kConflict,     ///< A condition didn't hold; nothing was written.
  kUnavailable,  ///< Nothing was written.
  kUnknown,      ///< The answer was lost and reading back failed as well.
};

struct TableError {
  TableFailure failure = TableFailure::kUnavailable;
  std::string what;
};

struct ScanPage {
  std::vector<Row> rows;
  bool more = false;
};

template <class T>
using Result = boost::asio::awaitable<tl::expected<T, TableError>>;

/// The transactional table. Reads are linearizable.
template <class T>
concept Table = requires(T table, Transaction transaction,
                         std::vector<std::string> keys, std::string text,
                         int limit) {
  { table.Transact(transaction) } -> std::same_as<Result<Committed>>;
  { table.Read(keys) } -> std::same_as<Result<std::vector<Row>>>;
  { table.Scan(text, text, limit) } -> std::same_as<Result<ScanPage>>;
};

/// The object store; for outcomes of long requests.
template <class T>
concept ObjectStore = requires(T store, std::string key, std::string bytes) {
  { store.PutIfAbsent(key, bytes) } -> std::same_as<Result<bool>>;
  { store.Get(key) } -> std::same_as<Result<std::string>>;
};

enum class ListedState : std::uint8_t { kLive, kLeaving, kGone };

struct ListedVm {
  base::VmId vm;
  base::ZoneId zone;
  base::RackId rack;
  std::string address;
  ListedState state = ListedState::kLive;
};

/// What the monitoring group says of a VM, and how long ago it judged.
struct Verdict {
  base::VmId vm;
  bool up = false;
  base::Millis age;
};

/// The lagging VM list and the acts on VMs.
template <class T>
concept VmService = requires(T vms, base::VmId vm, std::string nonce) {
  { vms.List() } -> std::same_as<Result<std::vector<ListedVm>>>;
  { vms.Drain(vm, nonce) } -> std::same_as<Result<bool>>;
  { vms.Reboot(vm, nonce) } -> std::same_as<Result<bool>>;
  { vms.Checkpoint(vm, nonce) } -> std::same_as<Result<bool>>;
};

template <class T>
concept Monitor = requires(T monitor) {
  { monitor.Verdicts() } -> std::same_as<Result<std::vector<Verdict>>>;
};

}  // namespace hemlockward::platform
