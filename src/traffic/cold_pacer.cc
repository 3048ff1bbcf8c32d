#include "traffic/cold_pacer.h"

#include <algorithm>

#include "base/hash.h"

namespace rwf {
namespace {

Duration IntervalOf(const ColdPacer::Pace& pace) {
  return FromSeconds(
      static_cast<double>(std::max<size_t>(1, pace.sender_count)) / pace.rate);
}

}  // namespace

ColdPacer::State& ColdPacer::StateOf(const std::string& instance,
                                     const Pace& pace, TimePoint now) {
  State& state = states_[instance];
  if (pace.cold_until > state.cold_until + kNewPeriodGap) {
    std::erase_if(states_, [&](const auto& it) {
      return it.first != instance && it.second.cold_until < now;
    });
    const double phase = static_cast<double>(Hash64(instance, seed_) >> 11) /
                         static_cast<double>(1ULL << 53);
    state.next = now + FromSeconds(phase * ToSeconds(IntervalOf(pace)));
    state.cold_until = pace.cold_until;
  }
  return state;
}

bool ColdPacer::CanAcquire(const std::string& instance, const Pace& pace,
                           TimePoint now) {
  return pace.rate <= 0 || now >= StateOf(instance, pace, now).next;
}

bool ColdPacer::TryAcquire(const std::string& instance, const Pace& pace,
                           TimePoint now) {
  if (!CanAcquire(instance, pace, now)) return false;
  if (pace.rate > 0) StateOf(instance, pace, now).next = now + IntervalOf(pace);
  return true;
}

}  // namespace rwf
