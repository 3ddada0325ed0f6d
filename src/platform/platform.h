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

/// Interfaces of the platform and of the monitoring group: concepts and
/// messages.
///
/// Wire forms (HTTP/1.1 with JSON bodies):
///   POST /table/transact
///   {"nonce","conditions":[{"key","version"}],"writes":[{"key","value"|null}]}
///     200 {"committed":true,"version":N}
///     or 409 {"committed":false,"conflicts":[key...]}
///     A repeated nonce gets the first answer again and writes nothing.
///   POST /table/read {"keys":[...]}
///     {"rows":[{"key","version","value"}]}, without absent rows
///   POST /table/scan {"prefix","after","limit"}
///     {"rows":[...],"more":bool}, ordered by key
///   PUT|GET|DELETE /objects/{key}
///     Raw bytes. PUT with If-None-Match: * never overwrites (412).
///   GET /vms
///     {"vms":[{"vm","zone","rack","address","state":"live|leaving|gone"}]}
///     The list may be out of date.
///   POST /vms/{vm}/drain | /reboot | /checkpoint {"nonce"}
///     202; a repeated nonce has no further effect.
///   GET /verdicts (monitor)
///     {"verdicts":[{"vm","up":bool,"age_ms"}]}
namespace hemlockward::platform {

/// Increases with each write of a row; 0 means that the row doesn't exist.
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

/// An atomic write: all rows if every condition holds, otherwise none.
struct Transaction {
  std::string nonce;  ///< Unique; makes it safe to send the transaction again.
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// A committed transaction; `version` is the new version of every written row.
struct Committed {
  RowVersion version = 0;
};

enum class TableFailure : std::uint8_t {
  kConflict,     ///< A condition didn't hold; nothing was written.
  kUnavailable,  ///< Nothing was written.
  kUnknown,      ///< The answer was lost, and neither a retry nor reading back
                 ///< showed the outcome; the rows may have been written.
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

/// The object store, which holds the outcomes of long requests.
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

/// The monitoring group's judgement of a VM; `age` is the time since then.
struct Verdict {
  base::VmId vm;
  bool up = false;
  base::Millis age;
};

/// The VM list, which may be out of date, and the operations on VMs.
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
