#include "net/peer_link.h"

#include <event2/buffer.h>

#include "net/net_error.h"
#include "wire/wire_error.h"

namespace rwf {

PeerLink::PeerLink(EventLoop* loop, int fd, const LinkIdentity* identity,
                   bool is_dialer, Callbacks callbacks)
    : loop_(loop),
      bev_(bufferevent_socket_new(loop->base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      is_dialer_(is_dialer),
      callbacks_(std::move(callbacks)),
      handshake_(identity, is_dialer) {
  bufferevent_setcb(bev_, &PeerLink::HandleRead, nullptr,
                    &PeerLink::HandleEvent, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  handshake_timer_ = loop->After(kHandshakeTimeout, [this] {
    ScheduleClose({NetErrc::kDeadline, "handshake timed out"});
  });
  wire::MessageT hello;
  hello.body.Set(handshake_.MakeHello());
  Send(hello);
}

PeerLink::~PeerLink() { bufferevent_free(bev_); }

size_t PeerLink::queued_bytes() const {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

void PeerLink::Send(const wire::MessageT& message) {
  if (!is_closing_) SendPacked(PackMessage(message));
}

void PeerLink::SendPacked(std::string_view packed) {
  if (is_closing_) return;
  if (queued_bytes() > kMaxQueuedBytes) {
    ScheduleClose(
        {NetErrc::kTooLarge, "send queue full: peer reads too slowly"});
    return;
  }
  const std::string frame = writer_.WritePacked(packed);
  bytes_sent_ += frame.size();
  bufferevent_write(bev_, frame.data(), frame.size());
}

void PeerLink::HandleRead(bufferevent* bev, void* self) {
  auto* link = static_cast<PeerLink*>(self);
  evbuffer* buf = bufferevent_get_input(bev);
  std::string bytes(evbuffer_get_length(buf), '\0');
  evbuffer_remove(buf, bytes.data(), bytes.size());
  link->bytes_received_ += bytes.size();
  link->reader_.Append(bytes);
  while (!link->is_closing_) {
    const auto next = link->reader_.Next();
    if (!next) {
      link->ScheduleClose(next.error());
      return;
    }
    if (!next->has_value()) return;
    const Result<void> handled = link->HandleMessage(**next);
    if (!handled) link->ScheduleClose(handled.error());
  }
}

void PeerLink::HandleEvent(bufferevent*, short what, void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  static_cast<PeerLink*>(self)->ScheduleClose(
      {NetErrc::kBroken, "peer closed the link"});
}

Result<void> PeerLink::HandleMessage(const wire::MessageT& message) {
  if (!is_ready()) return HandleHandshake(message);
  if (message.body.type == wire::Body::Hello ||
      message.body.type == wire::Body::HelloProof) {
    return Fail(WireErrc::kUnexpected, "handshake message after the handshake");
  }
  callbacks_.on_message(this, message);
  return {};
}

Result<void> PeerLink::HandleHandshake(const wire::MessageT& message) {
  if (const auto* hello = message.body.AsHello(); hello != nullptr) {
    const auto proof = handshake_.OnHello(*hello);
    if (!proof) return tl::unexpected<Error>(proof.error());
    wire::MessageT proof_reply;
    proof_reply.body.Set(wire::HelloProofT(*proof));
    Send(proof_reply);
    return {};
  }
  if (const auto* proof = message.body.AsHelloProof(); proof != nullptr) {
    Result<void> checked = handshake_.OnProof(*proof);
    if (!checked) return checked;
    // In both directions, the proof is the last frame that is not authenticated
    // with the session key.
    reader_.SetKey(handshake_.receive_key());
    writer_.SetKey(handshake_.send_key());
    handshake_timer_.reset();
    callbacks_.on_ready(this);
    return {};
  }
  return Fail(WireErrc::kUnexpected, "message before the end of the handshake");
}

void PeerLink::ScheduleClose(Error error) {
  if (is_closing_) return;
  is_closing_ = true;
  bufferevent_disable(bev_, EV_READ);
  close_timer_ = loop_->After(
      Duration::zero(),
      [this, error = std::move(error)] { callbacks_.on_closed(this, error); });
}

}  // namespace rwf
