#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

#include "peer/gen/peer_types.h"
#include "peer/transport.h"

namespace hemlockward::peer {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// Most items accepted in a container, whatever count the frame announces.
constexpr std::int32_t kMaxItems = 1'000'000;
// The messages of peer.thrift nest at most three levels deep.
constexpr int kMaxNesting = 8;

std::shared_ptr<TConfiguration> Limits() {
  return std::make_shared<TConfiguration>(static_cast<int>(kMaxFrameBytes),
                                          static_cast<int>(kMaxFrameBytes),
                                          kMaxNesting);
}

}  // namespace

std::string EncodeMessage(const gen::Message& message) {
  const auto buf = std::make_shared<TMemoryBuffer>(Limits());
  Protocol protocol(buf);
  message.write(&protocol);
  return buf->getBufferAsString();
}

// `bytes` is untrusted: all lengths and counts in it are checked against
// limits.
tl::expected<gen::Message, std::string> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxFrameBytes)
    return tl::unexpected(std::string("frame too long"));
  // TMemoryBuffer takes a mutable pointer but only reads from an observed one.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto buf = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
      Limits());
  Protocol protocol(buf, static_cast<std::int32_t>(kMaxFrameBytes), kMaxItems);
  try {
    gen::Message message;
    const std::uint32_t n = message.read(&protocol);
    if (n != bytes.size())
      return tl::unexpected(std::string("bytes after the message"));
    return message;
  } catch (const std::exception& e) {
    return tl::unexpected(std::string(e.what()));
  }
}

gen::Message ErrorMessage(const std::string& reason) {
  gen::Error error;
  error.__set_reason(reason);
  gen::Message message;
  message.__set_error(error);
  return message;
}

}  // namespace hemlockward::peer
