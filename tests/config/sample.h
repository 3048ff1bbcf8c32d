#pragma once

#include "base/json_reader.h"

namespace rwf {

// A small valid configuration document that uses every section.
inline Json SampleConfig() {
  return Json::parse(R"({
    "site": "sample", "generation": 7,
    "regions": [{"name": "r1"}, {"name": "r2"}],
    "zones": [{"name": "z1", "region": "r1"}, {"name": "z2", "region": "r2"}],
    "links": [
      {"from": "r1", "to": "r2", "bytes_per_second": 1000, "one_way_ms": 20},
      {"from": "r2", "to": "r1", "bytes_per_second": 2000, "one_way_ms": 20}],
    "entry_vms": [
      {"id": "vm1", "zone": "z1", "address": "127.0.0.1", "caller_port": 1,
       "peer_port": 2, "operator_port": 3, "weight": 2},
      {"id": "vm2", "zone": "z2", "address": "127.0.0.2", "caller_port": 1,
       "peer_port": 2, "operator_port": 3},
      {"id": "vm3", "zone": "z2", "address": "127.0.0.1", "caller_port": 1,
       "peer_port": 2, "operator_port": 3, "retired": true}],
    "services": [{"name": "desk",
      "routes": [
        {"method": "GET", "prefix": "/status", "idempotent": true,
         "max_timeout_ms": 2000, "key_staleness_limit_s": 100},
        {"method": "POST", "prefix": "/checks", "idempotent": false,
         "max_timeout_ms": 2000},
        {"method": "GET", "prefix": "/open", "open": true,
         "max_timeout_ms": 2000}],
      "upstreams": [
        {"id": "u1", "zone": "z1", "address": "127.0.1.1", "port": 9000,
         "slots": 10, "connections": 40},
        {"id": "u2", "zone": "z2", "address": "127.0.1.2", "port": 9000,
         "slots": 4, "connections": 40},
        {"id": "u3", "zone": "z2", "address": "127.0.1.3", "port": 9000,
         "slots": 4, "connections": 40}]}],
    "workspaces": [
      {"name": "w1", "rate": 10.5, "burst": 20, "weight": 3, "keys":
       ["00000000000000000000000000000000000000000000000000000000000000a1"]},
      {"name": "w2", "rate": 5, "burst": 10, "keys":
       ["00000000000000000000000000000000000000000000000000000000000000a2"]}],
    "withdrawn_keys":
      ["00000000000000000000000000000000000000000000000000000000000000a2"],
    "client_blocks": [{"block": "10.1.0.0/16", "zone": "z2"},
                      {"block": "10.0.0.0/8", "zone": "z1"}],
    "moves": [{"id": "m1", "service": "desk", "from": "z1", "to": "z2",
      "percent": 50, "step_percent": 12.5, "cap_percent": 80,
      "step_interval_s": 10, "step": 2, "state": "running"}],
    "drains": [{"kind": "upstream", "id": "u3"}],
    "limits": {"lookup_ttl_ms": 4000, "max_request_bytes": 1000,
      "max_response_bytes": 2000, "queue_per_workspace": 64}
  })");
}

}  // namespace rwf
