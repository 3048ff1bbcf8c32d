#include "gateway/backend_picker.h"

namespace rwf {

const std::string& BackendPicker::Pick(const TrafficRoute& route) {
  if (route.backends.size() == 1) return route.backends.front().service;
  State& state = states_[route.name];
  if (state.backends != route.backends) {
    state.backends = route.backends;
    state.credit.assign(route.backends.size(), 0);
  }
  int64_t total = 0;
  size_t best = 0;
  for (size_t n = 0; n < state.backends.size(); ++n) {
    state.credit[n] += state.backends[n].weight;
    total += state.backends[n].weight;
    if (state.credit[n] > state.credit[best]) best = n;
  }
  state.credit[best] -= total;
  return route.backends[best].service;
}

}  // namespace rwf
