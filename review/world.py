"""A small deployment on loopback: the real program on each machine, and stand-ins for everything around it."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path.insert(0, HERE)

from path import Path  # noqa: E402
from store import Store  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "bin", "redwingferry-vm")  # as deploy/system.toml starts it
HOST = "review.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_network():
    """Returns a loopback network 127.N that nothing listens on."""
    for n in random.sample(range(40, 240), 60):
        try:
            for host in (f"127.{n}.1.1", f"127.{n}.2.1", f"127.{n}.3.1"):
                for port in (8388, 8382, 8400, 7560):
                    with socket.socket() as s:
                        s.bind((host, port))
            return f"127.{n}"
        except OSError:
            continue
    raise RuntimeError("no free loopback network")


class Machine:
    def __init__(self, world, name, region, zone, address, store):
        self.world, self.name, self.region, self.zone, self.address, self.store = (
            world, name, region, zone, address, store)
        self.process = None
        self.starts = 0
        self.settings = os.path.join(world.folder, f"{name}.json")
        self.log = os.path.join(world.folder, f"{name}.log")
        b = world.bounds
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump({
                "vm": name, "zone": zone, "region": region,
                "listen": {"callers": f"{address}:8388", "readiness": f"{address}:8384",
                           "lookups": f"{address}:8383"},
                "link_mbps": 1000, "cpu_share": 0.4, "first_internal_port": 7560,
                "store": f"{store[0]}:{store[1]}", "region_of_zone": world.zones,
                "bounds": {"key_withdrawal_s": b["revoke_s"], "stop_s": b["grace_s"],
                           "retry_window_s": b["budget_window_s"], "retry_ratio": b["budget_ratio"],
                           "retry_extra": b["budget_extra"], "limit_tolerance_ratio": b["quota_overage"],
                           "limit_tolerance_requests": b["quota_slack"], "limit_window_s": b["quota_window_s"],
                           "max_shift": b["max_shift"], "lookup_ttl_s": b["ttl_max_s"]}}, f)

    def start(self):
        self.starts += 1
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["REDWINGFERRY_BOOT"] = self.settings
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen([PROGRAM], stdout=out, stderr=out, env=env, cwd=ROOT)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    bounds = {"drain_s": 2.5, "grace_s": 6, "config_s": 2.5, "revoke_s": 5, "budget_ratio": 0.2, "budget_window_s": 10,
              "budget_extra": 64, "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20, "max_shift": 0.15,
              "ttl_max_s": 5}

    def __init__(self, case, zones, machines, tenants, rules, services, limits=None):
        """zones: zone to region; machines: (name, zone); tenants: (name, key, rate, burst); services: name to
        {"count", "slots", "work_s", "answer_bytes"}."""
        self.case = case
        self.zones = zones
        self.tenants = tenants
        self.rules = rules
        self.services = services
        self.limits = limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
                                 "idle_timeout_s": 15}
        self.folder = tempfile.mkdtemp(prefix="rwf-review-")
        self.network = free_network()
        self.store = Store(self._rewrite)
        self.paths = {}
        self.children = []
        self.notes = []
        self.machines = [Machine(self, name, zones[zone], zone, f"{self.network}.1.{n + 1}",
                                 (f"{self.network}.2.{n + 1}", 8382)) for n, (name, zone) in enumerate(machines)]
        self.by_name = {it.name: it for it in self.machines}
        self.instances = {}
        self.started_at = time.monotonic()

    def note(self, text):
        line = f"N {time.monotonic():.4f} {text}"
        self.notes.append(line)
        print(f"{time.monotonic() - self.started_at:6.1f} s  {text}", flush=True)

    def _path_address(self, reader, target):
        names = [it.name for it in self.machines]
        return f"{self.network}.{100 + names.index(reader)}.{names.index(target) + 1}"

    def _rewrite(self, reader, key, value):
        """The network between two machines is a proxy, so that it can be cut."""
        name = key.removeprefix("rwf/vm/")
        if name == key or name == reader or name not in self.by_name:
            return value
        entry = json.loads(value)
        entry["address"] = self._path_address(reader, name)
        return json.dumps(entry)

    async def start(self):
        asyncio.create_task(self.store.expire_leases())
        for it in self.machines:
            await self.store.listen(it.name, it.store)
            for other in self.machines:
                if other is it:
                    continue
                path = Path((self._path_address(it.name, other.name), 7560), (other.address, 7560))
                await path.start()
                self.paths[it.name, other.name] = path
        self.put_config(7)
        zones = list(self.zones)
        number = 0
        for service, s in self.services.items():
            listed = []
            for n in range(s["count"]):
                number += 1
                it = {"id": f"i-{service}-{n}", "address": f"{self.network}.3.{number}:8400"}
                listed.append(it)
                self.instances[it["id"]] = dict(it, service=service, zone=zones[n % len(zones)], slots=s["slots"],
                                                sequence=0, born=int(time.time() * 1000))
            path = self._write(f"{service}.json", dict(s, instances=listed))
            self._spawn("servers.py", path, os.path.join(self.folder, f"runs-{service}.txt"))
        asyncio.create_task(self._heartbeats())
        await asyncio.sleep(0.7)
        for it in self.machines:
            it.start()

    async def _heartbeats(self):
        while True:
            for name, it in self.instances.items():
                it["sequence"] += 1
                self.store.put(f"servers/{name}", json.dumps({
                    "service": it["service"], "address": it["address"], "zone": it["zone"], "version": "v1",
                    "slots": it["slots"], "state": "ready", "cold_remaining_s": 0, "sequence": it["sequence"],
                    "born": it["born"]}))
            # An entry changes only when more than its sequence changes.
            await asyncio.sleep(3600)

    def put_config(self, version):
        self.store.put("op/config", json.dumps({
            "version": version, "base_version": 0, "limits": self.limits,
            "tenants": [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": rate, "burst": burst,
                         "allowed_regions": []} for name, key, rate, burst in self.tenants],
            "listeners": [{"host": HOST, "rules": self.rules}],
            "clusters": [{"name": name, "health_path": "/healthz", "max_conns": 390, "cold_start_s": 3.0,
                          "cold_per_s": 5.3} for name in self.services]}))

    def _write(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as f:
            json.dump(content, f)
        return path

    def _spawn(self, program, *arguments):
        process = subprocess.Popen([sys.executable, os.path.join(HERE, program), *arguments],
                                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.children.append(process)
        return process

    def start_clients(self, zone, loads, deadline_ms=4000, label=""):
        near = sorted(self.machines, key=lambda it: (it.zone != zone, it.region != self.zones[zone]))[:3]
        path = self._write(f"clients-{zone}{label}.json", {
            "host": HOST, "region": self.zones[zone], "zone": zone + label, "deadline_ms": deadline_ms, "loads": loads,
            "directories": [(it.address, 8383) for it in near]} | ({} if not label else {"zone": zone}))
        return self._spawn("clients.py", path, os.path.join(self.folder, f"sent-{zone}{label}.txt"))

    def cut_machine(self, name, also_store):
        for (a, b), path in self.paths.items():
            if name in (a, b):
                path.cut()
        if also_store:
            self.store.cut[name] = asyncio.Event()

    def heal_machine(self, name):
        for (a, b), path in self.paths.items():
            if name in (a, b):
                path.heal()
        event = self.store.cut.pop(name, None)
        if event is not None:
            event.set()

    def end(self):
        """Ends all processes that were started, and returns the lines of the record in the order of time."""
        for it in self.machines:
            it.kill()
        for it in self.children:
            it.send_signal(signal.SIGINT)
        for it in self.children:
            try:
                it.wait(3)
            except subprocess.TimeoutExpired:
                it.kill()
                it.wait()
        lines = list(self.notes)
        for name in os.listdir(self.folder):
            if name.startswith(("sent-", "runs-")):
                with open(os.path.join(self.folder, name), encoding="utf-8") as f:
                    lines += [it for it in f.read().split("\n") if it.count(" ") >= 2]
        lines.sort(key=lambda it: float(it.split(" ", 2)[1]))
        with open(os.path.join(self.case, "record.txt"), "w", encoding="utf-8") as f:
            f.write("\n".join(lines) + "\n")
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        return [it.split(" ") for it in lines]


def rule(name, prefix, kind, service, timeout_s=2.5, max_attempts=2):
    return {"name": name, "kind": kind, "target_latency_s": 0.6, "priority": 1, "public": False, "sticky": True,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout_s": timeout_s, "max_attempts": max_attempts,
                       "allowed_regions": []}}


def quota_breaches(lines, tenants, bounds):
    """Returns, by tenant, the window with most requests that were both sent and ran in it: (excess, count, bound,
    start of the window)."""
    sent, runs = {}, {}
    for it in lines:
        if it[0] == "S":
            sent[it[2]] = float(it[1])
        elif it[0] == "R" and it[3] in sent:
            runs.setdefault(it[4], []).append((sent[it[3]], float(it[1])))
    window = bounds["quota_window_s"]
    worst = {}
    for name, _, rate, burst in tenants:
        bound = (rate * window + burst) * (1 + bounds["quota_overage"]) + bounds["quota_slack"]
        pairs = sorted(runs.get(name, []))
        best = (-bound, 0, bound, 0.0)
        for n, (start, _) in enumerate(pairs):
            count = 0
            for s, r in pairs[n:]:
                if s > start + window:
                    break
                count += r <= start + window
            if count - bound > best[0]:
                best = (count - bound, count, bound, start)
        worst[name] = best
    return worst


def main(case, run):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not os.access(PROGRAM, os.X_OK):
        print(f"{PROGRAM} is missing: run the build of deploy/system.toml", file=sys.stderr)
        sys.exit(2)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(run(case, TROUBLE), 118))
    except Exception as e:  # the case itself failed
        traceback.print_exc()
        print(f"the case could not run: {e}", file=sys.stderr)
        sys.exit(2)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
