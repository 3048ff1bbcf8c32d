"""Randomized soak of redwingferry-vm: real processes on loopback, external faults, continuously checked guarantees."""
import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import sys
import traceback

from callers import Caller, exchange
from checks import Checks, Sent
import crashing
from faults import FAULTS, RESTORE_FAULTS
from instance import Instance
from notices import Notices
from proxy import Proxy
from store import Store
from vm import Vm

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "soak.example"
ZONES = {"a": "north", "b": "north", "c": "south", "d": "south"}
START_S, RECOVERY_S = 3.0, 15.0  # fault-free time at the start, and for the fleet to recover at the end
MIN_SERVED_FRACTION = 0.9  # of the requests of the last seconds
REGISTRATION_INTERVAL_S = 1.5


class World:
    def __init__(self, seed, slot, vms, rate, folder, program):
        self.random = random.Random(seed)
        self.host = HOST
        self.rate = rate
        self.caller_count = max(4, int(rate / 3))
        self.regions = sorted(set(ZONES.values()))
        self.zones_of = {r: [z for z, it in ZONES.items() if it == r] for r in self.regions}
        self.base = f"127.{20 + slot}"
        self.started_at = asyncio.get_running_loop().time()
        self.checks = Checks(self.clock)
        self.notices = Notices(self, seed)
        self.counts = collections.Counter()
        self.final_counts = collections.Counter()
        self.is_final_phase = False
        self.routes = [("GET", "/read/"), ("POST", "/write/"), ("GET", "/file/")]
        self.routes += crashing.PREFIXES.items()
        self.tenants = {name: f"key-{name}-{seed}" for name in ("large", "small", "spare1", "spare2")}
        self.withdrawn = {}
        self.version = 1
        self.added_versions = []
        self.store = Store(seed, self.rewrite_value)
        zones = list(ZONES)
        self.vms = [Vm(f"vm{i}", ZONES[zones[i % 4]], zones[i % 4], f"{self.base}.1.{i + 1}",
                       (f"{self.base}.2.{i + 1}", 8382), folder, program, ZONES) for i in range(vms)]
        self.vm_by_address = {f"{vm.front[0]}:{vm.front[1]}": vm for vm in self.vms}
        self.instances = []
        for i in range(12):
            service = "desk" if i < 8 else "till"
            listen_address, shown = (f"{self.base}.3.{i + 1}", 8400), (f"{self.base}.4.{i + 1}", 8400)
            it = Instance(self, f"i{i}", service, zones[i % 4], listen_address, shown)
            it.proxy = Proxy(shown, listen_address)
            self.instances.append(it)
        self.crashing = crashing.Crashing(self, seed, zones)
        self.peer_proxies = collections.defaultdict(list)

    def clock(self):
        return asyncio.get_running_loop().time() - self.started_at

    def pick(self, candidates, count):
        return self.random.sample(candidates, min(count, len(candidates)))

    def count(self, what):
        self.counts[what] += 1
        if self.is_final_phase:
            self.final_counts[what] += 1

    def vm_at(self, address):
        return self.vm_by_address.get(address) or self.vm_by_address[self.address_behind_proxy[address]]

    def rewrite_value(self, vm, key, value):
        """Replaces the address in the entry of a VM by that of the proxy between the reader and that VM."""
        if not key.startswith("rwf/vm/") or key == f"rwf/vm/{vm}":
            return value
        entry = json.loads(value)
        entry["address"] = self.proxy_address(vm, key.removeprefix("rwf/vm/"))
        return json.dumps(entry)

    def proxy_address(self, reader, vm):
        names = [it.name for it in self.vms]
        return f"{self.base}.{100 + names.index(reader)}.{names.index(vm) + 1}"

    async def start(self):
        self.address_behind_proxy = {}
        for reader in self.vms:
            await self.store.listen(reader.name, (f"{self.base}.2.{self.vms.index(reader) + 1}", 8382))
            for vm in self.vms:
                if vm is reader:
                    continue
                shown = self.proxy_address(reader.name, vm.name)
                for port, target in ((7560, vm.peer), (8388, vm.front)):
                    proxy = Proxy((shown, port), target)
                    await proxy.start()
                    if port == 7560:
                        self.peer_proxies[vm.name].append(proxy)
                self.address_behind_proxy[f"{shown}:8388"] = f"{vm.front[0]}:{vm.front[1]}"
        for it in self.instances:
            await it.start()
            await it.proxy.start()
            it.register()
        for it in self.crashing.instances:
            await it.start()
            it.register()
        self.publish_config()
        for vm in self.vms:
            vm.start()

    def publish_config(self):
        """Publishes a version that adds a route, whose presence shows whether the version is in force."""
        self.version += self.random.randint(1, 3)
        self.added_versions.append(self.version)

        def rule(name, prefix, kind, service):
            return {"name": name, "kind": kind, "target_latency_s": 0.6, "priority": 1, "public": False,
                    "sticky": True, "match": {"prefix": prefix},
                    "action": {"service": service, "timeout_s": 3, "max_attempts": 2, "allowed_regions": []}}

        rules = [rule("read", "/read/", "safe", "desk"), rule("write", "/write/", "unsafe", "desk"),
                 rule("file", "/file/", "download", "till"),
                 rule("annex", crashing.PREFIXES["GET"], "safe", crashing.SERVICE),
                 rule("annex-once", crashing.PREFIXES["POST"], "unsafe", crashing.SERVICE)]
        rules += [rule(f"v{n}", f"/v{n}/", "safe", "till") for n in self.added_versions[-8:]]
        tenants = [{"name": name, "api_keys": [] if name in self.withdrawn else [key], "priority": 1,
                    "rate_per_s": self.rate, "burst": self.rate, "allowed_regions": []}
                   for name, key in self.tenants.items()]
        document = {"version": self.version, "base_version": 0, "tenants": tenants,
                    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3,
                               "idle_timeout_s": 15},
                    "listeners": [{"host": HOST, "rules": rules}],
                    "clusters": [{"name": name, "health_path": "/healthz", "max_conns": 300, "cold_start_s": 1,
                                  "cold_per_s": 50} for name in ("desk", "till", crashing.SERVICE)]}
        self.store.put("op/config", json.dumps(document))
        self.checks.versions[self.version] = self.clock()
        self.checks.limits = {it["name"]: (it["rate_per_s"], it["burst"]) for it in tenants}

    async def refresh_registrations(self):
        while True:
            await asyncio.sleep(REGISTRATION_INTERVAL_S)
            for it in self.instances + self.crashing.instances:
                # An entry is not rewritten only to advance its sequence.
                if it.server.is_serving() and f"servers/{it.name}" not in self.store.items:
                    it.register()

    async def watchdog(self):
        """Restarts processes that exited unexpectedly, and reports each exit as a violation."""
        while True:
            await asyncio.sleep(0.1)
            for vm in self.vms:
                code = vm.process.poll()
                if code is not None and code not in (0, -9):
                    self.checks.fail("ENDED", f"{vm.name} exited unexpectedly with code {code}")
                    vm.start()

    async def probe_loop(self):
        """Sends each VM requests on the routes of the newest versions."""
        while True:
            await asyncio.sleep(0.5)
            for vm in self.vms:
                if vm.is_running() and not vm.is_paused:
                    await self.probe(vm, self.random.choice(self.added_versions[-4:]))

    async def probe(self, vm, version):
        request_id = f"{self.random.getrandbits(64):016x}"
        sent_at, process = self.clock(), vm.process_name
        self.checks.on_sent(request_id, Sent("large", vm.name, True, sent_at))
        try:
            response = await asyncio.wait_for(
                exchange(vm.front, f"GET /v{version}/x", f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 1500\r\n"
                         f"Authorization: Bearer {self.tenants['large']}\r\n", HOST), 2)
        except (OSError, asyncio.TimeoutError):
            return
        if response is not None and version in self.added_versions[-8:]:
            self.checks.on_probe(process, vm.name, version, sent_at, response.status)

    async def inject(self, faults, seconds, log):
        """Injects sequential and overlapping faults for `seconds`."""
        until = self.clock() + seconds
        running = []
        while self.clock() < until:
            fault = self.random.choice(faults)
            log(f"{self.clock():7.2f} {fault.__name__}")
            running.append(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
        await asyncio.gather(*running)


async def soak(args, seed, slot):
    folder = os.path.join(args.out, str(seed))
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    faults = []
    world = World(seed, slot, args.vms, args.rate, folder, args.program)
    tasks = []
    try:
        await world.start()
        await asyncio.sleep(START_S)
        jobs = [world.refresh_registrations(), world.watchdog(), world.probe_loop(), world.store.make_copies()]
        jobs += [Caller(world, n).run() for n in range(world.caller_count)]
        tasks = [asyncio.create_task(it) for it in jobs]
        await asyncio.sleep(2)
        if args.only_restores:
            injected = [world.inject(RESTORE_FAULTS, args.seconds, faults.append)]
        else:
            injected = [world.crashing.run(args.seconds, faults.append)]
        if not args.only_crashing and not args.only_restores:
            injected += [world.inject(FAULTS, args.seconds, faults.append),
                         world.notices.run(args.seconds, faults.append)]
        await asyncio.gather(*injected)
        await asyncio.sleep(RECOVERY_S - 3)
        world.is_final_phase = True
        await asyncio.sleep(3)
        for task in tasks:
            if task.done() and task.exception():
                raise task.exception()
        world.checks.finish()
        total = sum(world.final_counts.values())
        if total == 0 or world.final_counts["200"] < MIN_SERVED_FRACTION * (total - world.final_counts["401"]):
            world.checks.fail("RECOVER", "too few successful responses in the last seconds: "
                              f"{dict(world.final_counts)}")
    finally:
        # Connections of the doubles end with the loop; those errors are not reported.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in tasks:
            task.cancel()
        for vm in world.vms:
            vm.kill()
    with open(os.path.join(folder, "faults.txt"), "w", encoding="utf-8") as f:
        f.write("\n".join(faults + world.checks.violations) + "\n")
    result = {"seed": seed, "vms": args.vms, "answers": dict(world.counts), "store_calls": world.store.calls,
              "faults": len(faults), "broken": world.checks.violations[:5],
              "broken_count": len(world.checks.violations)}
    print(json.dumps(result), flush=True)
    if not world.checks.violations and not args.keep:
        shutil.rmtree(folder)
    return not world.checks.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12, help="time with faults")
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--rate", type=float, default=40, help="requests per second")
    parser.add_argument("--slot", type=int, default=0, help="0 to 9: loopback addresses 127.(20 + slot).0.0/16")
    parser.add_argument("--out", default=os.path.join(ROOT, "build", "soak"))
    parser.add_argument("--program", default=os.path.join(ROOT, "build", "bin", "redwingferry-vm"))
    parser.add_argument("--only-crashing", action="store_true", help="no faults but requests that crash instances")
    parser.add_argument("--only-restores", action="store_true",
                        help="no faults but returns of the store from an older copy, among changes")
    parser.add_argument("--keep", action="store_true", help="keep the logs of seeds without a violation")
    args = parser.parse_args()
    try:
        ok = asyncio.run(soak(args, args.seed, args.slot))
    except Exception:  # the doubles themselves failed: neither a pass nor a violation
        traceback.print_exc()
        print(json.dumps({"seed": args.seed, "error": "the soak itself failed"}), flush=True)
        ok = False
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
