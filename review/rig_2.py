"""Small deployment of redwingferry-vm on loopback: real processes, and stand-ins for the platform, servers and clients."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "redwingferry-vm")  # run in deploy/system.toml
HOST = "shop.example"
SERVICE = "desk"

# Bounds of the site that the cases name (sites/tmu-points.toml).
DRAIN_S = 2.5
GRACE_S = 6.0
STABLE_WINDOW_S = 3.0
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 50
HISTORY_S = 20.0


class CannotRun(Exception):
    """The case could not be set up."""


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = now()

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.started_at:8.3f} {what} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the fields with names in lower case, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def message(start_line, body, **fields):
    lines = [start_line, f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's key-value service."""

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.events = []  # (time, event)
        self.oldest = self.revision
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.servers = []
        self.answer_s = STORE_ANSWER_S

    async def listen(self, address):
        self.servers.append(await asyncio.start_server(self.serve, *address))

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                "create_rev": created, "lease": lease}
        self.items[key] = item
        self.add_event(dict(item))
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.add_event({"key": key, "revision": self.revision, "deleted": True})

    def add_event(self, event):
        self.events.append((now(), event))
        while self.events[0][0] < now() - HISTORY_S:
            self.oldest = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        for lease in [it for it, (until, _) in self.leases.items() if until < now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.delete(key)
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                status, answer = await self.call(method, target, json.loads(body) if body else {})
                await asyncio.sleep(self.answer_s)
                writer.write(message(f"HTTP/1.1 {status} X", json.dumps(answer).encode(),
                                     Content_Type="application/json"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(text).items()}
        self.expire_leases()
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
            return 200, {"items": [self.items[it] for it in keys[:PAGE_ITEMS]], "has_more": len(keys) > PAGE_ITEMS,
                         "current_rev": self.revision}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/kv-watch":
            return await self.watch(query.get("prefix", ""), int(query["after"]), now() + int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + body["ttl_s_time"], body["ttl_s_time"])
            return 200, {"lease": self.next_lease, "ttl_s_time": body["ttl_s_time"]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {"ttl_s_time": ttl}
        return (200, {}) if self.end_lease(lease) else (404, {})

    def transact(self, body):
        rows = body.get("precondition", [])
        current = [self.items.get(row["key"]) for row in rows]
        if any((it["revision"] if it else 0) != row["revision"] for it, row in zip(current, rows)):
            return 412, {"items": [it for it in current if it]}
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in body.get("writes", [])):
            return 404, {}
        for it in body.get("writes", []):
            self.put(it["key"], base64.b64decode(it["value"]).decode(), it.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, until):
        while True:
            if after < self.oldest:
                return 410, {}
            events = [it for _, it in self.events if it["revision"] > after and it["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """An instance of a service."""

    def __init__(self, world, name, address, zone, service=SERVICE, slots=6):
        self.world = world
        self.name = name
        self.address = address
        self.zone = zone
        self.service = service
        self.slot_count = slots
        self.slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = 0
        self.state = "ready"
        self.is_leaving = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.listener = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, *self.address)
        self.register()

    def register(self):
        self.sequence += 1
        self.world.store.put(f"servers/{self.name}", json.dumps({
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "slots": self.slot_count, "state": self.state, "cold_remaining_s": 0,
            "sequence": self.sequence, "born": self.born}))

    def report_draining(self):
        self.is_leaving = True
        self.state = "draining"
        self.register()

    def deregister(self):
        self.is_leaving = True
        self.world.store.delete(f"servers/{self.name}")

    async def stop(self):
        self.listener.close()
        for it in list(self.writers):
            it.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                await self.handle(method, target, fields, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fields(self):
        out = {"X_Server_Load": f"{self.running},{self.waiting},{self.slot_count}"}
        if self.is_leaving:
            out["Server_Leaving"] = 1
        return out

    async def handle(self, method, target, fields, body, writer):
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 X", b"", X_Instance_Id=self.name, X_Request_Id=request_id))
            return
        if self.waiting >= 3 * self.slot_count:
            writer.write(message("HTTP/1.1 503 X", b"", X_Not_Executed=1, X_Request_Id=request_id, **self.fields()))
            return
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.world.on_run(self, request_id, fields, method, target)
            await asyncio.sleep(self.world.work_s)
            self.running -= 1
        answer = f"{request_id} ran on {self.name}".encode()
        writer.write(message("HTTP/1.1 200 OK", answer, X_Request_Id=request_id, X_Server_Stamp=self.name,
                             **self.fields()))


class Vm:
    """One machine with the real program."""

    def __init__(self, world, name, zone, region, address, memory_mb=390, max_descriptors=6150):
        self.name = name
        self.address = address
        self.front = (address, 8388)
        self.ready = (address, 8384)
        self.directory = (address, 8383)
        self.process = None
        self.log = os.path.join(world.folder, f"{name}.log")
        self.settings = os.path.join(world.folder, f"{name}.json")
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump({
                "vm": name, "zone": zone, "region": region,
                "listen": {"callers": f"{address}:8388", "readiness": f"{address}:8384",
                           "lookups": f"{address}:8383"},
                "link_mbps": 1000.0, "cpu_share": 0.3, "memory_mb": memory_mb, "max_descriptors": max_descriptors,
                "first_internal_port": 7560, "store": f"{world.store_address[0]}:{world.store_address[1]}",
                "region_of_zone": world.zones,
                "bounds": {"key_withdrawal_s": 5, "stop_s": GRACE_S, "retry_window_s": 10, "retry_ratio": 0.2,
                           "retry_extra": 64, "limit_tolerance_ratio": 0.1, "limit_tolerance_requests": 20,
                           "limit_window_s": 5, "max_shift": 0.15, "lookup_ttl_s": 5}}, f, indent=1)

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "REDWINGFERRY_BOOT": self.settings}
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=out, stderr=out)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    def terminate(self):
        if self.is_running():
            self.process.send_signal(signal.SIGTERM)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    def __init__(self, folder_of_case, zones):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing: build the deploy file first")
        self.random = random.Random()
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="redwingferry-review-")
        self.zones = zones
        self.work_s = 0.05
        self.base = self.free_base()
        self.next_host = 0
        self.store_address = self.new_address(8382)
        self.store = Store()
        self.vms = []
        self.servers = []
        self.runs = []  # (time, server, request id)

    def free_base(self):
        for _ in range(50):
            base = f"127.{self.random.randint(2, 250)}.{self.random.randint(1, 250)}"
            try:
                with socket.socket() as it:
                    it.bind((f"{base}.1", 8382))
                return base
            except OSError:
                continue
        raise CannotRun("no free loopback address")

    def new_address(self, port):
        self.next_host += 1
        a, b, c = self.base.split(".")
        return f"{a}.{b}.{(int(c) + self.next_host // 250) % 256}.{self.next_host % 250 + 1}", port

    def add_vm(self, name, zone, **options):
        vm = Vm(self, name, zone, self.zones[zone], self.new_address(8388)[0], **options)
        self.vms.append(vm)
        return vm

    async def add_server(self, name, zone, **options):
        it = Server(self, name, self.new_address(8080), zone, **options)
        await it.start()
        self.servers.append(it)
        return it

    def on_run(self, server, request_id, fields, method, target):
        self.runs.append((now(), server, request_id))
        self.record.add("run", server=server.name, id=request_id, path=target)

    def put_config(self, version, rules, tenants=None, limits=None):
        """Without `tenants`, the configuration doesn't contain that field, and requests need no key."""
        services = sorted({it["action"]["service"] for it in rules})
        self.store.put("op/config", json.dumps({
            "version": version, "base_version": 0, **({} if tenants is None else {"tenants": tenants}),
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_s": 3,
                                 "idle_timeout_s": 15},
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [{"name": it, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": False,
                          "cold_start_s": 3.0, "cold_per_s": 5.3} for it in services]}))

    async def until_ready(self, vms, timeout=10):
        end = now() + timeout
        while now() < end:
            if all([await it.is_ready() for it in vms]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the machines did not become ready")

    async def request(self, vm, request_id, method="GET", path="/read/1", deadline_ms=4000, body=b"", fields=None):
        """One client attempt on a new connection. Returns the status, or None without a complete answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*vm.front), 1)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            writer.write(message(f"{method} {path} HTTP/1.1", body, Host=HOST, X_Request_Id=request_id,
                                 X_Deadline_Ms=deadline_ms, **(fields or {})))
            head = await asyncio.wait_for(read_head(reader), deadline_ms / 1000)
            if head is None:
                return None
            await reader.readexactly(int(head[1].get("content-length", 0)))
            return int(head[0].split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()

    def end(self):
        for vm in self.vms:
            vm.kill()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def rule(name, prefix, kind="safe", service=SERVICE, timeout_s=2.5, max_attempts=2, sticky=True, public=False):
    return {"name": name, "kind": kind, "target_latency_s": 0.6, "priority": 2, "public": public, "sticky": sticky,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout_s": timeout_s, "max_attempts": max_attempts,
                       "allowed_regions": []}}


def run_case(main, folder_of_case, zones):
    """Runs a case; the exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    async def run():
        world = World(folder_of_case, zones)
        world.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            return await main(world)
        finally:
            world.end()

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError) as e:
        print(f"could not run: {e}")
        return 2
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
