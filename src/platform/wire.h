#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "platform/platform.h"

/// JSON bodies of the platform's HTTP interface (see platform.h), in both
/// directions, so that clients and stand-ins can't drift apart.
namespace hemlockward::platform {

/// A body that can't be read; `what` says why.
struct WireError {
  std::string what;
};

template <class T>
using Decoded = tl::expected<T, WireError>;

/// Answer to a transaction: committed at `version`, or the keys in conflict.
struct TransactReply {
  bool committed = false;
  RowVersion version = 0;
  std::vector<std::string> conflicts;
};

struct ScanRequest {
  std::string prefix;
  std::string after;  ///< Rows up to and including this key are left out.
  int limit = 0;
};

std::string Encode(const Transaction& transaction);
std::string Encode(const TransactReply& reply);
std::string Encode(const ScanRequest& request);
std::string Encode(const ScanPage& page);
std::string Encode(const std::vector<ListedVm>& vms);
std::string Encode(const std::vector<Verdict>& verdicts);
std::string EncodeKeys(const std::vector<std::string>& keys);
std::string EncodeNonce(std::string_view nonce);

Decoded<Transaction> DecodeTransaction(std::string_view text);
Decoded<TransactReply> DecodeTransactReply(std::string_view text);
Decoded<ScanRequest> DecodeScanRequest(std::string_view text);
Decoded<ScanPage> DecodeScanPage(std::string_view text);
Decoded<std::vector<ListedVm>> DecodeVms(std::string_view text);
Decoded<std::vector<Verdict>> DecodeVerdicts(std::string_view text);
Decoded<std::vector<std::string>> DecodeKeys(std::string_view text);
Decoded<std::string> DecodeNonce(std::string_view text);

std::string_view ToText(ListedState value);

}  // namespace hemlockward::platform
