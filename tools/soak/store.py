"""Test double of the platform's key-value service, with faults for each VM or for all."""
import asyncio
import base64
import collections
import dataclasses
import json
import random
import urllib.parse

import http11

HISTORY = 400  # changes kept for watches
COPY_INTERVAL_S, COPIES = 0.25, 40


@dataclasses.dataclass
class Copy:
    at: float
    items: dict
    revision: int
    compacted_revision: int
    leases: dict
    next_lease: int


class Store:
    """Holds the items and serves calls; every VM reaches it at a separate address."""

    def __init__(self, seed, rewrite_value):
        self.random = random.Random(seed)
        self.rewrite_value = rewrite_value  # rewrites the entries of VMs for the VM that reads them
        self.items = {}
        self.revision = 1
        self.events = []
        self.compacted_revision = 1  # watches after an earlier revision get 410
        self.leases = {}
        self.next_lease = 100
        self.era = 1
        self.copies = collections.deque(maxlen=COPIES)
        self.written_by_others = {}  # key to (time, value or None) of the last write by operators and instances
        self.writers = set()
        self.changed = asyncio.Event()
        self.fault = {}  # VM, or None for all, to the name of a fault
        self.calls = 0
        self.servers = []

    # Operations of operators and instances, which are not subject to faults.
    def put(self, key, value, lease=0, is_system=False):
        if not is_system:
            self._record_write(key, value)
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "create_rev": created, "lease": lease}
        self._event(dict(self.items[key]))
        return self.revision

    def delete(self, key, is_system=False):
        if not is_system:
            self._record_write(key, None)
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._event({"key": key, "revision": self.revision, "deleted": True})

    def _event(self, event):
        self.events.append(event)
        if len(self.events) > HISTORY:
            self.compacted_revision = self.events.pop(0)["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def compact_history(self):
        self.events.clear()
        self.compacted_revision = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def _record_write(self, key, value):
        self.written_by_others.pop(key, None)  # keeps the order of the writes
        self.written_by_others[key] = (asyncio.get_running_loop().time(), value)

    async def make_copies(self):
        while True:
            self.copies.append(Copy(asyncio.get_running_loop().time(), dict(self.items), self.revision,
                                    self.compacted_revision, dict(self.leases), self.next_lease))
            await asyncio.sleep(COPY_INTERVAL_S)

    def close_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def restore_copy(self, age):
        """Returns to the newest copy that is at least `age` old, in a new era; returns its time."""
        now = asyncio.get_running_loop().time()
        copy = next((it for it in reversed(self.copies) if it.at <= now - age), self.copies[0])
        self.items, self.leases = dict(copy.items), dict(copy.leases)
        self.revision, self.next_lease = copy.revision, copy.next_lease
        self.compacted_revision = min(self.compacted_revision, copy.revision)
        self.events = [it for it in self.events if it["revision"] <= copy.revision]
        self.copies = collections.deque((it for it in self.copies if it.at <= copy.at), COPIES)
        self.era += 1
        return copy.at

    def repeat_writes(self, since):
        """Writes again what operators and instances have written since then."""
        for key, (at, value) in list(self.written_by_others.items()):
            current = self.items[key]["value"] if key in self.items else None
            if at < since or current == value:
                continue
            if value is None:
                self.delete(key)
            else:
                self.put(key, value)

    def expire(self, now):
        for lease in [it for it, (until, _) in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.delete(key, is_system=True)
        return True

    async def listen(self, vm, address):
        async def serve(reader, writer):
            await self._serve(vm, reader, writer)

        self.servers.append(await asyncio.start_server(serve, *address))

    async def _serve(self, vm, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None:
                    break
                fault = self.fault.get(vm) or self.fault.get(None)
                self.calls += 1
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "silent":
                    await asyncio.sleep(30)
                    return
                if fault in ("busy", "many"):
                    writer.write(http11.response(503 if fault == "busy" else 429, b"{}", Store_Era=self.era))
                    continue
                if fault == "slow":
                    await asyncio.sleep(0.25)
                status, body = await self._call(vm, request)
                if fault == "lost" and request.method == "POST" and self.random.random() < 0.5:
                    writer.transport.abort()
                    return
                writer.write(http11.response(status, json.dumps(body).encode(), Store_Era=self.era))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _render_event(self, vm, event):
        out = dict(event)
        if "value" in out:
            out["value"] = base64.b64encode(self.rewrite_value(vm, out["key"], out["value"]).encode()).decode()
        return out

    async def _call(self, vm, request):
        path, _, text = request.target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(text).items()}
        now = asyncio.get_running_loop().time()
        self.expire(now)
        body = json.loads(request.body) if request.body else {}
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            page = [self._render_event(vm, self.items[k]) for k in keys[:20]]
            return 200, {"items": page, "has_more": len(keys) > 20, "current_rev": self.revision}
        if path == "/kv-watch":
            return await self._watch(vm, int(query["after"]), now + int(query["wait_ms"]) / 1000)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (now + body["ttl_s_time"], body["ttl_s_time"])
            return 200, {"lease": self.next_lease, "ttl_s_time": body["ttl_s_time"]}
        number = int(path.rpartition("/")[2]) if path.startswith("/kv-keep/") or path.startswith("/kv-lease-end/") else 0
        if path.startswith("/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][1]
            self.leases[number] = (now + ttl, ttl)
            return 200, {"ttl_s_time": ttl}
        if path.startswith("/kv-lease-end/"):
            return (200, {}) if self._end_lease(number) else (404, {})
        return self._transact(body)

    def _transact(self, body):
        rows = body["precondition"]
        current = [self.items.get(row["key"]) for row in rows]
        if any((it["revision"] if it else 0) != row["revision"] for it, row in zip(current, rows)):
            return 412, {"items": [it for it in current if it]}
        if any(write.get("lease", 0) not in self.leases for write in body["writes"] if write.get("lease", 0)):
            return 404, {}
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]).decode(), write.get("lease", 0), is_system=True)
        for key in body["deletes"]:
            self.delete(key, is_system=True)
        return 200, {"revision": self.revision}

    async def _watch(self, vm, after, until):
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            matching = [it for it in self.events if it["revision"] > after]
            left = until - asyncio.get_running_loop().time()
            if matching or left <= 0:
                return 200, {"events": [self._render_event(vm, it) for it in matching], "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
