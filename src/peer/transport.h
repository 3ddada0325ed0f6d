#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "kernel/worker_pool.h"

namespace hemlockward::peer::gen {
class Message;
}  // namespace hemlockward::peer::gen

/// Calls between hemlockward's own processes. A call is one Thrift message
/// (compact protocol) in a frame with a 4-byte big-endian length prefix; the
/// reply is one frame on the same connection. A connection carries one call at
/// a time.
namespace hemlockward::peer {

/// Longest frame that is accepted or sent, without its length prefix.
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024;

/// How far a failed call got, which decides whether it may be sent elsewhere.
enum class PeerFailure : std::uint8_t {
  kNotSent,   ///< No byte of the message left this process.
  kTimeout,   ///< The peer may have acted on the message.
  kBroken,    ///< The connection ended first; the peer may have acted.
  kBadReply,  ///< The reply can't be read; the peer may have acted.
};

std::string_view ToText(PeerFailure failure);

struct PeerError {
  PeerFailure failure = PeerFailure::kNotSent;
  std::string what;
  /// The VM refused the connection: no process listens there. Only with
  /// kNotSent.
  bool refused = false;
};

/// The bytes of a message, without the length prefix of the frame.
std::string EncodeMessage(const gen::Message& message);
/// Reads exactly one message; fails on invalid, missing or additional bytes. A
/// message of a kind that only a newer release knows has no member set.
tl::expected<gen::Message, std::string> DecodeMessage(std::string_view bytes);
/// A reply that gives the reason why a call was refused.
gen::Message ErrorMessage(const std::string& reason);

using PeerHandler =
    std::function<boost::asio::awaitable<gen::Message>(gen::Message)>;

/// Serves calls on one address. A malformed or too long frame closes its
/// connection and never reaches the handler.
class PeerServer {
 public:
  /// Throws boost::system::system_error when the address can't be bound.
  PeerServer(kernel::WorkerPool& pool, std::string_view address,
             PeerHandler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Stops accepting connections and closes all open ones.
  void Close();
  /// The bound port, which the system chooses if the address ends in `:0`.
  [[nodiscard]] int port() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Sends calls to any number of peers and reuses their connections.
class PeerClient {
 public:
  explicit PeerClient(kernel::WorkerPool& pool);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends one message to `address` (`IP:port`) and returns the reply.
  boost::asio::awaitable<tl::expected<gen::Message, PeerError>> Call(
      std::string address, gen::Message message, base::Millis timeout);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace hemlockward::peer
