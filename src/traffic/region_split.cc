#include "traffic/region_split.h"

#include <algorithm>
#include <numeric>

namespace rwf {
namespace {

// Part of the even share of slots with which a region begins alone.
constexpr double kEvenPartNeeded = 0.9;
// Steps longer than this come from a pause and count as this long.
constexpr Duration kLongestStep = std::chrono::seconds(1);

}  // namespace

void RegionSplit::Begin(const std::string& service, double home_slots,
                        double all_slots, size_t regions, TimePoint now) {
  const double even =
      all_slots / static_cast<double>(std::max<size_t>(1, regions));
  double away = 0;
  if (even > 0) {
    away =
        std::clamp(1 - home_slots / (even * kEvenPartNeeded), 0.0, kMostAway);
  }
  shares_[service] = {away, now};
}

void RegionSplit::OnRequest(const std::string& service, bool is_heavy) {
  Mix& mix = mixes_[service];
  ++mix.requests;
  const double gain =
      std::max(kLightPartGain, 1.0 / static_cast<double>(mix.requests));
  mix.light_part += gain * ((is_heavy ? 0.0 : 1.0) - mix.light_part);
}

double RegionSplit::LightPart(const std::string& service) const {
  const auto it = mixes_.find(service);
  return it == mixes_.end() ? 1 : it->second.light_part;
}

void RegionSplit::OnLoad(const std::string& service, double load,
                         double away_load, const std::vector<double>& peers,
                         TimePoint now) {
  Share& share = shares_[service];
  const Duration step = std::min(now - share.at, kLongestStep);
  share.at = now;
  const double most = max_shift_ * kShiftPart * ToSeconds(step);
  const Thresholds& thresholds =
      share.away < LightPart(service) ? kLight : kHeavy;
  double change = 0;
  // Work goes away only towards regions that are less busy.
  if (load > thresholds.busy && away_load < load) {
    change = most;
  } else if (load < thresholds.idle) {
    change = -most;
  }
  if (!peers.empty()) {
    const double mean = std::accumulate(peers.begin(), peers.end(), 0.0) /
                        static_cast<double>(peers.size());
    change += kBlend * (mean - share.away);
  }
  share.away =
      std::clamp(share.away + std::clamp(change, -most, most), 0.0, kMostAway);
}

double RegionSplit::ShareAway(const std::string& service) const {
  const auto it = shares_.find(service);
  return it == shares_.end() ? 0 : it->second.away;
}

bool RegionSplit::IsAway(const std::string& service, uint64_t object,
                         bool is_heavy) const {
  // The hash is independent of the one that ranks instances.
  const uint64_t h = object * 0x9E3779B97F4A7C15ULL;
  const double point =
      static_cast<double>(h >> 11) / static_cast<double>(1ULL << 53);
  const double away = ShareAway(service);
  const double light = LightPart(service);
  if (!is_heavy) return point * light < away;
  return point * (1 - light) < away - light;
}

}  // namespace rwf
