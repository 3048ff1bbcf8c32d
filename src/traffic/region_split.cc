#include "traffic/region_split.h"

#include <algorithm>
#include <numeric>

namespace rwf {
namespace {

// Fraction of an even share of the slots above which a region starts without
// remote objects.
constexpr double kMinEvenFraction = 0.9;
// Longer steps are caused by a pause and count as this long.
constexpr Duration kMaxStep = std::chrono::seconds(1);

}  // namespace

void RegionSplit::Initialize(const std::string& service, double local_slots,
                             double total_slots, size_t regions,
                             TimePoint now) {
  const double even_slots =
      total_slots / static_cast<double>(std::max<size_t>(1, regions));
  double remote = 0;
  if (even_slots > 0) {
    remote = std::clamp(1 - local_slots / (even_slots * kMinEvenFraction), 0.0,
                        kMaxRemoteShare);
  }
  shares_[service] = {remote, now};
}

void RegionSplit::OnRequest(const std::string& service, bool is_large) {
  Mix& mix = mixes_[service];
  ++mix.requests;
  const double gain =
      std::max(kMinMixGain, 1.0 / static_cast<double>(mix.requests));
  mix.small_fraction += gain * ((is_large ? 0.0 : 1.0) - mix.small_fraction);
}

double RegionSplit::SmallFraction(const std::string& service) const {
  const auto it = mixes_.find(service);
  return it == mixes_.end() ? 1 : it->second.small_fraction;
}

void RegionSplit::OnLoad(const std::string& service, double local_load,
                         double remote_load, const std::vector<double>& peers,
                         TimePoint now) {
  Share& share = shares_[service];
  const Duration step = std::min(now - share.at, kMaxStep);
  share.at = now;
  const double max_change = max_shift_ * kShiftFraction * ToSeconds(step);
  const Thresholds& thresholds = share.remote < SmallFraction(service)
                                     ? kSmallThresholds
                                     : kLargeThresholds;
  double change = 0;
  // Requests move only to regions that are less loaded.
  if (local_load > thresholds.busy && remote_load < local_load) {
    change = max_change;
  } else if (local_load < thresholds.idle) {
    change = -max_change;
  }
  if (!peers.empty()) {
    const double mean = std::accumulate(peers.begin(), peers.end(), 0.0) /
                        static_cast<double>(peers.size());
    change += kPeerBlendRatio * (mean - share.remote);
  }
  share.remote =
      std::clamp(share.remote + std::clamp(change, -max_change, max_change),
                 0.0, kMaxRemoteShare);
}

double RegionSplit::RemoteShare(const std::string& service) const {
  const auto it = shares_.find(service);
  return it == shares_.end() ? 0 : it->second.remote;
}

bool RegionSplit::IsRemote(const std::string& service, uint64_t object,
                           bool is_large) const {
  // The hash is independent of the one that ranks instances.
  const uint64_t h = object * 0x9E3779B97F4A7C15ULL;
  const double point =
      static_cast<double>(h >> 11) / static_cast<double>(1ULL << 53);
  const double remote = RemoteShare(service);
  const double small = SmallFraction(service);
  if (!is_large) return point * small < remote;
  return point * (1 - small) < remote - small;
}

}  // namespace rwf
