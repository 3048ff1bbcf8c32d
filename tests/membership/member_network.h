#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/failure_detector.h"
#include "virtual_clock.h"

namespace rwf {

// Simulates a fleet of failure detectors on virtual time, with message loss,
// partitions, pauses and crashes.
class MemberNetwork {
 public:
  struct Node {
    std::string id;
    std::unique_ptr<FailureDetector> detector;
    bool running = true;
    bool powered = true;  // if false, connections are not refused
    uint64_t generation = 1;
    TimePoint paused_until{};
    uint64_t bytes = 0;  // sent and received, including headers
    Duration busy{};     // real time in the detector and encoder
    std::vector<std::pair<TimePoint, MemberEvent>> events;
  };
  // 4 bytes length, 8 sequence number, 16 HMAC and 40 TCP/IP headers.
  static constexpr uint64_t kFrameOverheadBytes = 68;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  MemberNetwork(size_t n, size_t zones, uint64_t seed) : random(seed) {
    for (size_t it = 0; it < n; ++it) {
      EntryVm vm;
      vm.id = "vm" + std::to_string(it);
      vm.zone = "zone" + std::to_string(it % zones);
      config.entry_vms.push_back(vm);
    }
    config.generation = 1;
    nodes.reserve(n);  // callbacks hold pointers to nodes
    for (size_t it = 0; it < n; ++it) {
      nodes.push_back({config.entry_vms[it].id});
      index_[nodes[it].id] = it;
      Start(it);
    }
  }

  void Start(size_t n) {
    Node& node = nodes[n];
    node.running = node.powered = true;
    // Connections to the previous process are reset.
    std::erase_if(open_links_, [&](const auto& link) {
      if (link.first != n && link.second != n) return false;
      Node& other = nodes[link.first == n ? link.second : link.first];
      if (other.running) other.detector->OnLinkDown(node.id, false, now);
      return true;
    });
    const WallTime start{std::chrono::milliseconds(
        1'700'000'000'000 + ToMillis(now.time_since_epoch()) + n)};
    node.detector = std::make_unique<FailureDetector>(
        node.id, MakeIncarnation(start), random());
    node.detector->SetConfig(config, now);
    Node* raw = &node;
    node.detector->set_heartbeat_filler(
        [raw](wire::HeartbeatT* heartbeat, TimePoint) {
          heartbeat->generation = raw->generation;
          heartbeat->ready = true;
          heartbeat->store_contact_vm = "vm0";
        });
    clock.At(now + Duration(random() % kTickInterval.count()),
             [this, n, raw, detector = node.detector.get()] {
               Tick(n, raw, detector);
             });
  }

  // Ends the process. Connections break at once, unless power is lost.
  void Crash(size_t n, bool power_loss) {
    nodes[n].running = false;
    nodes[n].powered = !power_loss;
    crashed_detectors_.push_back(std::move(nodes[n].detector));
    for (auto it = open_links_.begin(); it != open_links_.end();) {
      if (it->first != n && it->second != n) {
        ++it;
        continue;
      }
      const size_t other = it->first == n ? it->second : it->first;
      if (!power_loss && nodes[other].running) {
        nodes[other].detector->OnLinkDown(nodes[n].id, false, now);
      }
      it = power_loss ? std::next(it) : open_links_.erase(it);
    }
  }

  void Run(Duration d) { clock.Run(d); }

  size_t Count(MemberEventKind kind) const {
    size_t n = 0;
    for (const Node& node : nodes) {
      for (const auto& [at, event] : node.events) n += event.kind == kind;
    }
    return n;
  }
  // Returns the time when the last of the running nodes, other than `vm`, saw
  // its first `kind` event about `vm`, or zero if one of them saw none.
  TimePoint LastEventTime(MemberEventKind kind, const std::string& vm) const {
    TimePoint last{};
    for (const Node& node : nodes) {
      if (node.id == vm || !node.running) continue;
      TimePoint seen{};
      for (const auto& [at, event] : node.events) {
        if (event.kind != kind || event.vm != vm) continue;
        seen = at;
        break;
      }
      if (seen == TimePoint{}) return seen;
      last = std::max(last, seen);
    }
    return last;
  }

  size_t links() const { return open_links_.size(); }

  Config config;
  std::vector<Node> nodes;
  VirtualClock clock;
  TimePoint& now = clock.now;
  std::mt19937_64 random;
  double loss = 0;
  Duration latency = std::chrono::milliseconds(1);
  Duration jitter = std::chrono::milliseconds(20);
  bool full_mesh = false;  // all VMs link to each other
  // Returns true if messages from the first node to the second are lost.
  std::function<bool(size_t, size_t)> cut = [](size_t, size_t) {
    return false;
  };

 private:
  // Adds the real time spent in a scope to Node::busy.
  struct ScopedDetectorTime {
    explicit ScopedDetectorTime(Node* node)
        : node(node), start(std::chrono::steady_clock::now()) {}
    ~ScopedDetectorTime() {
      node->busy += std::chrono::steady_clock::now() - start;
    }
    ScopedDetectorTime(const ScopedDetectorTime&) = delete;
    ScopedDetectorTime& operator=(const ScopedDetectorTime&) = delete;

    Node* node;
    TimePoint start;
  };

  void Tick(size_t n, Node* node, FailureDetector* detector) {
    if (node->detector.get() != detector) return;
    if (node->paused_until > now) {
      clock.At(node->paused_until, [=, this] { Tick(n, node, detector); });
      return;
    }
    {
      const ScopedDetectorTime busy(node);
      Send(n, detector->Tick(now));
    }
    Connect(n);
    Collect(node);
    clock.At(now + kTickInterval, [=, this] { Tick(n, node, detector); });
  }

  void Connect(size_t n) {
    std::vector<std::string> wanted = nodes[n].detector->WantedLinks();
    if (full_mesh &&
        open_links_.size() < nodes.size() * (nodes.size() - 1) / 2) {
      wanted.clear();
      for (const Node& node : nodes) {
        if (node.id != nodes[n].id) wanted.push_back(node.id);
      }
    }
    for (const std::string& peer : wanted) {
      const size_t m = index_[peer];
      const auto key = std::minmax(n, m);
      if (open_links_.contains(key) && nodes[m].powered) continue;
      TimePoint& next = next_try_[{n, m}];
      if (now < next) continue;
      next = now + std::chrono::seconds(1);
      if (!nodes[m].powered || cut(n, m) || cut(m, n)) continue;
      if (!nodes[m].running) {
        nodes[n].detector->OnLinkDown(peer, true, now);
        continue;
      }
      if (nodes[m].paused_until > now) continue;
      open_links_.insert(key);
      Send(n, nodes[n].detector->OnLinkUp(
                  peer, nodes[m].detector->incarnation(), now));
      Send(m, nodes[m].detector->OnLinkUp(
                  nodes[n].id, nodes[n].detector->incarnation(), now));
    }
  }

  void Collect(Node* node) {
    for (MemberEvent& event : node->detector->TakeEvents()) {
      node->events.emplace_back(now, std::move(event));
    }
  }

  void Send(size_t from, std::vector<MemberMessage> messages) {
    for (MemberMessage& message : messages) {
      const size_t to = index_[message.peer];
      auto shared = std::make_shared<wire::BodyUnion>(std::move(message.body));
      const uint64_t bytes = SizeOf(*shared);
      nodes[from].bytes += bytes;
      if (!open_links_.contains(std::minmax(from, to)) || cut(from, to))
        continue;
      if (loss > 0 && std::uniform_real_distribution<double>()(random) < loss) {
        continue;
      }
      clock.At(now + latency + Duration(random() % jitter.count()),
               [=, this] { Deliver(from, to, shared, bytes); });
    }
  }

  void Deliver(size_t from, size_t to,
               const std::shared_ptr<wire::BodyUnion>& body, uint64_t bytes) {
    Node& node = nodes[to];
    if (!node.running) return;
    if (node.paused_until > now) {
      clock.At(node.paused_until + std::chrono::milliseconds(1),
               [=, this] { Deliver(from, to, body, bytes); });
      return;
    }
    node.bytes += bytes;
    const ScopedDetectorTime busy(&node);
    FailureDetector& it = *node.detector;
    const std::string& peer = nodes[from].id;
    if (const auto* x = body->AsHeartbeat()) {
      Send(to, it.OnHeartbeat(peer, *x, now));
    } else if (const auto* x = body->AsHeartbeatAck()) {
      Send(to, it.OnAck(peer, *x, now));
    } else if (const auto* x = body->AsProbe()) {
      Send(to, it.OnProbe(peer, *x, now));
    } else if (const auto* x = body->AsProbeReply()) {
      it.OnProbeReply(peer, *x, now);
    }
    Collect(&node);
  }

  static uint64_t SizeOf(const wire::BodyUnion& body) {
    wire::MessageT message;
    message.body = body;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Message::Pack(builder, &message));
    return builder.GetSize() + kFrameOverheadBytes;
  }

  std::map<std::string, size_t> index_;
  std::set<std::pair<size_t, size_t>> open_links_;
  std::map<std::pair<size_t, size_t>, TimePoint> next_try_;
  std::vector<std::unique_ptr<FailureDetector>> crashed_detectors_;
};

}  // namespace rwf
