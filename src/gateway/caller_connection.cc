#include "gateway/caller_connection.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace rwf {

CallerConnection::CallerConnection(Owner* owner, evutil_socket_t fd)
    : owner_(owner),
      bev_(bufferevent_socket_new(owner->loop()->base(), fd,
                                  BEV_OPT_CLOSE_ON_FREE)),
      input_holder_(owner->buffers(), BufferUse::kReceiving,
                    [this] { ReclaimInput(); }),
      output_holder_(owner->buffers(), BufferUse::kSending,
                     [this] { owner_->Close(this); }) {
  bufferevent_setcb(bev_, &CallerConnection::HandleRead,
                    &CallerConnection::HandleWrite,
                    &CallerConnection::HandleEvent, this);
  bufferevent_setwatermark(bev_, EV_READ, 0, kMaxUnreadBytes);
  evbuffer_add_cb(bufferevent_get_output(bev_), &CallerConnection::HandleOutput,
                  this);
  UpdateReadTimeout();
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection() { bufferevent_free(bev_); }

size_t CallerConnection::OutputBytes() const {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

void CallerConnection::UpdateReadTimeout() {
  Duration timeout{};  // zero: none
  if (is_reading_ && !must_wait_) {
    timeout = has_head_ ? kStallTimeout : owner_->limits().header_timeout;
  } else if (!is_lingering_ && !is_reading_ && !held_ && queue_.empty() &&
             !is_delivering()) {
    timeout = owner_->limits().idle_timeout;
  }
  if (timeout == read_timeout_) return;
  read_timeout_ = timeout;
  const timeval stall = ToTimeval(kStallTimeout);
  const timeval tv = ToTimeval(timeout);
  bufferevent_set_timeouts(bev_, timeout > Duration::zero() ? &tv : nullptr,
                           &stall);
}

void CallerConnection::CountInput() {
  const TimePoint now = EventLoop::Now();
  size_t n = evbuffer_get_length(input()) + unread_bytes_;
  if (is_reading_) n += parser_.buffered_bytes();
  if (held_) n += held_->buffered_bytes;
  input_holder_.Set(n, now);
}

void CallerConnection::CountOutput() {
  output_holder_.Set(OutputBytes() + queue_.waiting_bytes(), EventLoop::Now());
}

void CallerConnection::CountUnreadBytes() {
  int n = 0;
  const bool is_known = ioctl(bufferevent_getfd(bev_), FIONREAD, &n) == 0;
  unread_bytes_ = is_known && n > 0 ? static_cast<size_t>(n) : 0;
  CountInput();
}

void CallerConnection::HandleOutput(evbuffer*, const evbuffer_cb_info* info,
                                    void* arg) {
  if (info->n_deleted == 0) return;
  auto* it = static_cast<CallerConnection*>(arg);
  it->progress_at_ = it->delivery_progress_at_ = EventLoop::Now();
  it->output_holder_.OnProgress(it->progress_at_);
  it->untracked_bytes_ += info->n_deleted;
  if (it->untracked_bytes_ > kMaxUntrackedBytes) it->StartDeliveryChecks();
  it->CountOutput();
}

void CallerConnection::HandleRead(bufferevent*, void* arg) {
  auto* it = static_cast<CallerConnection*>(arg);
  it->progress_at_ = EventLoop::Now();
  it->input_holder_.OnProgress(it->progress_at_);
  it->unread_bytes_ = 0;
  it->ReadMore();
}

bool CallerConnection::MayRead() const {
  if (queue_.is_closed() || is_paused_) return false;
  if (is_reading_) return true;
  return queue_.MayStart(true) &&
         queue_.waiting_bytes() + OutputBytes() <= kMaxWaitingBytes;
}

void CallerConnection::ReadMore() {
  // A request may be answered while it is handled.
  if (is_in_read_loop_) return;
  is_in_read_loop_ = true;
  for (bool goes_on = true; goes_on;) {
    if (queue_.is_closed()) {
      // What follows the last request is never started.
      evbuffer_drain(input(), evbuffer_get_length(input()));
      break;
    }
    if (held_) {
      if (!queue_.empty()) break;
      ReceivedMessage request = *std::exchange(held_, std::nullopt);
      Start(std::move(request));
      continue;
    }
    if (must_wait_) {
      if (!queue_.empty()) break;
      must_wait_ = false;
      OnHead();
      continue;
    }
    goes_on = MayRead() && evbuffer_get_length(input()) > 0 && ReadSome();
  }
  is_in_read_loop_ = false;
  CountInput();
  UpdateReadTimeout();
  UpdateDisconnectCheck();
}

void CallerConnection::UpdateDisconnectCheck() {
  const bool is_suspended =
      is_paused_ || evbuffer_get_length(input()) >= kMaxUnreadBytes;
  if (!is_suspended) {
    disconnect_timer_.reset();
  } else if (disconnect_timer_ == nullptr) {
    disconnect_timer_ = owner_->loop()->Every(kDisconnectCheckInterval,
                                              [this] { CheckDisconnected(); });
  }
}

void CallerConnection::CheckDisconnected() {
  tcp_info info{};
  socklen_t n = sizeof(info);
  const int ec =
      getsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_INFO, &info, &n);
  if (ec == 0 && info.tcpi_state == TCP_ESTABLISHED) return;
  owner_->Close(this);
}

void CallerConnection::BeginMessage() {
  const CallerLimits& limits = owner_->limits();
  is_reading_ = true;
  has_head_ = false;
  must_wait_ = false;
  message_started_at_ = EventLoop::Now();
  parser_.Reset();
  parser_.set_limits({static_cast<size_t>(limits.max_header_bytes),
                      static_cast<size_t>(limits.max_body_bytes)});
}

bool CallerConnection::ReadSome() {
  if (!is_reading_) BeginMessage();
  evbuffer_iovec chunk;
  if (evbuffer_peek(input(), -1, nullptr, &chunk, 1) < 1) return false;
  const size_t n =
      parser_.Feed({static_cast<const char*>(chunk.iov_base), chunk.iov_len});
  evbuffer_drain(input(), n);
  switch (parser_.state()) {
    case ParseState::kHead: {
      const Duration timeout = owner_->limits().header_timeout;
      if (timeout > Duration::zero() &&
          EventLoop::Now() - message_started_at_ > timeout)
        Refuse(408);
      return true;
    }
    case ParseState::kBody: {
      if (!has_head_) OnHead();
      CountInput();
      const BufferAccount* buffers = owner_->buffers();
      if (buffers != nullptr && buffers->is_scarce() &&
          parser_.buffered_bytes() > BufferAccount::kSmallBodyBytes) {
        is_paused_ = true;
        bufferevent_disable(bev_, EV_READ);
        owner_->OnPaused();
      }
      return true;
    }
    case ParseState::kComplete:
      OnMessage();
      return true;
    case ParseState::kHeadTooLarge:
      Refuse(431);
      return true;
    case ParseState::kBodyTooLarge:
      Refuse(413);
      return true;
    case ParseState::kMalformed:
      Refuse(400);
      return true;
    case ParseState::kOutOfMemory:
      ReclaimInput();
      return true;
  }
  return false;
}

bool CallerConnection::MayPipeline(const ReceivedMessage& request) const {
  // An interim response must not go before the responses to earlier requests.
  return !request.headers.Has("Expect") && owner_->MayPipeline(request);
}

void CallerConnection::OnHead() {
  if (!queue_.empty() && !MayPipeline(parser_.message())) {
    must_wait_ = true;
    return;
  }
  has_head_ = true;
  if (parser_.message().headers.Has("Expect")) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(bev_, kContinue.data(), kContinue.size());
  }
}

void CallerConnection::OnMessage() {
  ReceivedMessage request = parser_.Take();
  is_reading_ = false;
  request.received_at = EventLoop::Now();
  CountInput();
  if (queue_.empty() || queue_.MayStart(MayPipeline(request))) {
    Start(std::move(request));
  } else {
    held_ = std::move(request);
  }
}

void CallerConnection::Start(ReceivedMessage request) {
  const ExchangeId id = owner_->NewExchange(this);
  queue_.Add(id, MayPipeline(request), request.method == "HEAD");
  if (!request.keep_alive || owner_->closes_after_responses()) EndInput();
  owner_->Handle(id, std::move(request));
}

void CallerConnection::Refuse(int status, HttpHeaders headers) {
  is_input_refused_ = true;
  headers.Add("Content-Type", "application/json");
  queue_.AddRefusal(
      {status, std::move(headers), Body(R"({"error":"request refused"})")});
  EndInput();
  SendReady();
}

void CallerConnection::EndInput() {
  queue_.Close();
  is_reading_ = false;
  must_wait_ = false;
  held_.reset();
  parser_.Reset();
  if (is_paused_) {
    // What still arrives is discarded.
    is_paused_ = false;
    bufferevent_enable(bev_, EV_READ);
  }
  evbuffer_drain(input(), evbuffer_get_length(input()));
  unread_bytes_ = 0;
  CountInput();
}

void CallerConnection::ReclaimInput() {
  if (!is_reading_ && !held_) {
    // What was sent ahead of its turn counts as not read.
    EndInput();
    return;
  }
  HttpHeaders headers;
  headers.Add(owner_->retry_after_name(),
              fmt::format("{:.2f}", ToSeconds(kMemoryRetryAfter)));
  Refuse(503, std::move(headers));
}

void CallerConnection::Resume() {
  is_paused_ = false;
  bufferevent_enable(bev_, EV_READ);
  ReadMore();
}

void CallerConnection::Answer(ExchangeId id, ExchangeQueue::Response response) {
  if (queue_.Answer(id, std::move(response))) SendReady();
}

void CallerConnection::SendReady() {
  evbuffer* buf = bufferevent_get_output(bev_);
  while (const auto next = queue_.TakeNext()) {
    const ExchangeQueue::Response& response = *next->response;
    HttpHeaders headers = response.headers;
    if (next->is_last) headers.Add("Connection", "close");
    is_last_sent_ = next->is_last;
    const std::string head = SerializeResponseHead(
        response.status, headers, response.body.size(), next->is_head);
    evbuffer_add(buf, head.data(), head.size());
    if (HasResponseBody(response.status, next->is_head) &&
        !response.body.AddTo(buf)) {
      // The rest of the response is missing, so nothing may follow it.
      close_timer_ = owner_->loop()->After(Duration::zero(),
                                           [this] { owner_->Close(this); });
      break;
    }
  }
  CountOutput();
  UpdateReadTimeout();
}

void CallerConnection::StartDeliveryChecks() {
  if (delivery_timer_ != nullptr) return;
  delivery_timer_ = owner_->loop()->Every(kDeliveryCheckInterval,
                                          [this] { CheckDelivery(); });
}

void CallerConnection::CheckDelivery() {
  int n = 0;
  const bool is_known = ioctl(bufferevent_getfd(bev_), SIOCOUTQ, &n) == 0;
  const size_t unacknowledged = is_known && n > 0 ? static_cast<size_t>(n) : 0;
  const TimePoint now = EventLoop::Now();
  if (unacknowledged < unacknowledged_bytes_)
    progress_at_ = delivery_progress_at_ = now;
  unacknowledged_bytes_ = unacknowledged;
  if (unacknowledged > 0 || OutputBytes() > 0) {
    StartDeliveryChecks();
  } else {
    untracked_bytes_ = 0;
    delivery_timer_.reset();
  }
  UpdateReadTimeout();
}

void CallerConnection::HandleWrite(bufferevent*, void* arg) {
  auto* it = static_cast<CallerConnection*>(arg);
  if (it->is_lingering_ || it->OutputBytes() > 0) return;
  if (it->is_input_closed_) {
    it->owner_->Close(it);
  } else if (it->is_last_sent_) {
    it->Linger();
  } else {
    it->ReadMore();
  }
}

void CallerConnection::Linger() {
  queue_.Close();
  is_lingering_ = true;
  lingering_since_ = EventLoop::Now();
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
  ScheduleLingerEnd();
  // Reading is disabled after a read timeout.
  bufferevent_enable(bev_, EV_READ);
  ReadMore();
}

TimePoint CallerConnection::LingerEnd() const {
  // A caller that goes on sending does not prolong it.
  const TimePoint end = lingering_since_ + kLingerTimeout;
  if (delivery_progress_at_ == TimePoint{}) return end;
  // Input that was refused may go on without end.
  const bool is_short = is_input_refused_ && !is_delivering();
  return std::max(
      end, delivery_progress_at_ + (is_short ? kLingerTimeout : kStallTimeout));
}

void CallerConnection::ScheduleLingerEnd() {
  const Duration left = LingerEnd() - EventLoop::Now();
  close_timer_ =
      owner_->loop()->After(std::max(left, Duration::zero()), [this] {
        if (EventLoop::Now() >= LingerEnd()) {
          owner_->Close(this);
        } else {
          ScheduleLingerEnd();
        }
      });
}

void CallerConnection::HandleEvent(bufferevent*, short what, void* arg) {
  auto* it = static_cast<CallerConnection*>(arg);
  if ((what & BEV_EVENT_TIMEOUT) == 0) {
    it->OnDisconnected((what & BEV_EVENT_EOF) != 0);
  } else if ((what & BEV_EVENT_WRITING) != 0) {
    it->OnWriteTimeout();
  } else if (it->is_reading_) {
    it->Refuse(408);
    // Reading goes on, so that a disconnected caller is noticed.
    bufferevent_enable(it->bev_, EV_READ);
  } else {
    it->OnIdleTimeout();
  }
}

void CallerConnection::OnWriteTimeout() {
  if (EventLoop::Now() - delivery_progress_at_ >= kStallTimeout) {
    owner_->Close(this);
    return;
  }
  // The caller reads more slowly than the kernel frees room for more bytes.
  // Writing is disabled after a write timeout.
  bufferevent_enable(bev_, EV_WRITE);
}

void CallerConnection::OnIdleTimeout() {
  CheckDelivery();
  if (!is_delivering()) {
    Linger();
    return;
  }
  // The timeout starts once the caller has the response.
  bufferevent_enable(bev_, EV_READ);
}

void CallerConnection::OnDisconnected(bool is_end_of_file) {
  if (!is_end_of_file || has_unanswered() || OutputBytes() == 0) {
    owner_->Close(this);
    return;
  }
  // The caller may have ended only its requests and still read the responses.
  is_input_closed_ = true;
  EndInput();
  ReadMore();
}

void CallerConnection::CloseAfterResponses() {
  if (!queue_.empty()) EndInput();
}

void CallerConnection::CloseIfIdle() {
  if (!is_lingering_ && !is_reading_ && !held_ && queue_.empty() &&
      OutputBytes() == 0 && evbuffer_get_length(input()) == 0)
    Linger();
}

}  // namespace rwf
