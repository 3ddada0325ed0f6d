#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "platform/platform.h"

/// Encodes and decodes the JSON bodies of the platform's HTTP interface (see
/// platform.h). Clients and stand-ins share this code, so their formats agree.
namespace hemlockward::platform {

/// The reason why a body can't be decoded.
struct WireError {
  std::string what;
};

template <class T>
using Decoded = tl::expected<T, WireError>;

/// Answer to a transaction: committed with `version`, or the keys whose
/// conditions did not hold.
struct TransactReply {
  bool committed = false;
  RowVersion version = 0;
  std::vector<std::string> conflicts;
};

struct ScanRequest {
  std::string prefix;
  std::string after;  ///< Only rows with a greater key are returned.
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
