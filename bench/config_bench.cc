// Cost of one configuration change at the target size of the design, for the VM
// that writes it and for every VM that adopts it.

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <string>

#include "config/diff.h"
#include "config/parser.h"
#include "config/sections.h"

namespace {

constexpr uint32_t kBlocks = 360'000;
constexpr int kZones = 130;

std::string ZoneName(uint32_t i) {
  return "zone-" + std::to_string(i % kZones);
}

rwf::Config TargetConfig() {
  rwf::Config config;
  config.site = "bench";
  config.generation = 1;
  config.regions = {{"region"}};
  rwf::Service service;
  service.name = "service";
  service.routes.push_back({"GET", "/", true, false, std::chrono::seconds(1),
                            std::chrono::seconds(1)});
  for (uint32_t i = 0; i < kZones; ++i) {
    const std::string name = ZoneName(i);
    const std::string address = "127.0.0." + std::to_string(i);
    config.zones.push_back({name, "region"});
    config.entry_vms.push_back({"vm-" + name, name, address, 1, 2, 3});
    service.upstreams.push_back({"up-" + name, name, address, 4, 6, 400});
  }
  config.services.push_back(service);
  config.workspaces.push_back({"w", 10, 10, 1, {rwf::Sha256("w")}});
  for (uint32_t i = 0; i < kBlocks; ++i)
    config.client_blocks.push_back({0x0a000000 + (i << 4), 28, ZoneName(i)});
  return config;
}

template <typename T>
T Unwrap(rwf::Result<T> result) {
  if (!result) std::abort();
  return std::move(*result);
}

rwf::TextsByDigest TextsOf(const std::vector<rwf::Section>& sections) {
  rwf::TextsByDigest out;
  for (const rwf::Section& it : sections) out[it.digest] = it.text;
  return out;
}

void BmCutSections(benchmark::State& state) {
  const rwf::Config config = TargetConfig();
  for (auto _ : state) benchmark::DoNotOptimize(rwf::SplitIntoSections(config));
}
BENCHMARK(BmCutSections)->Unit(benchmark::kMillisecond);

void BmAssembleAll(benchmark::State& state) {
  const auto sections = Unwrap(rwf::SplitIntoSections(TargetConfig()));
  const auto manifest = rwf::MakeSectionIndex(1, sections);
  const auto texts = TextsOf(sections);
  for (auto _ : state)
    benchmark::DoNotOptimize(Unwrap(rwf::AssembleConfig(manifest, texts)));
}
BENCHMARK(BmAssembleAll)->Unit(benchmark::kMillisecond);

// Adopts one changed block on top of the current configuration.
void BmAssembleChange(benchmark::State& state) {
  const rwf::Config before = TargetConfig();
  rwf::Config after = before;
  after.generation = 2;
  after.client_blocks[5].zone = ZoneName(7);
  const auto base =
      rwf::MakeSectionIndex(1, Unwrap(rwf::SplitIntoSections(before)));
  const auto sections = Unwrap(rwf::SplitIntoSections(after));
  const auto manifest = rwf::MakeSectionIndex(2, sections);
  const auto texts = TextsOf(sections);
  // The manifest holds names and hexadecimal digests.
  size_t n_bytes = 0;
  for (const auto& [name, digest] : manifest.sections) {
    n_bytes += name.size() + rwf::ToHex(digest).size();
  }
  for (const rwf::Digest& it : rwf::MissingSections(manifest, &base))
    n_bytes += texts.at(it).size();
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        Unwrap(rwf::AssembleConfig(manifest, texts, &base, &before)));
  }
  state.counters["transferred_bytes"] = static_cast<double>(n_bytes);
}
BENCHMARK(BmAssembleChange)->Unit(benchmark::kMillisecond);

void BmParseConfig(benchmark::State& state) {
  const std::string text = rwf::SerializeConfig(TargetConfig());
  for (auto _ : state)
    benchmark::DoNotOptimize(Unwrap(rwf::ParseConfig(text, "bench")));
}
BENCHMARK(BmParseConfig)->Unit(benchmark::kMillisecond);

void BmDiff(benchmark::State& state) {
  const rwf::Config before = TargetConfig();
  rwf::Config after = before;
  after.client_blocks[5].zone = ZoneName(7);
  for (auto _ : state)
    benchmark::DoNotOptimize(rwf::DiffConfigs(before, after));
}
BENCHMARK(BmDiff)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
