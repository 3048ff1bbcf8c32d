"""Test double of the platform's key-value service, with faults for each VM or for all."""
import asyncio
import base64
import json
import random
import urllib.parse

import http11

HISTORY = 400  # changes kept for watches


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
        self.changed = asyncio.Event()
        self.fault = {}  # VM, or None for all, to the name of a fault
        self.calls = 0
        self.servers = []

    # Operations of operators and instances, which are not subject to faults.
    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "create_rev": created, "lease": lease}
        self._event(dict(self.items[key]))
        return self.revision

    def delete(self, key):
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

    def expire(self, now):
        for lease in [it for it, (until, _) in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.delete(key)
        return True

    async def listen(self, vm, address):
        async def serve(reader, writer):
            await self._serve(vm, reader, writer)

        self.servers.append(await asyncio.start_server(serve, *address))

    async def _serve(self, vm, reader, writer):
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
                    writer.write(http11.response(503 if fault == "busy" else 429, b"{}"))
                    continue
                if fault == "slow":
                    await asyncio.sleep(0.25)
                status, body = await self._call(vm, request)
                if fault == "lost" and request.method == "POST" and self.random.random() < 0.5:
                    writer.transport.abort()
                    return
                writer.write(http11.response(status, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
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
            self.put(write["key"], base64.b64decode(write["value"]).decode(), write.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, vm, after, until):
        while True:
            if after < self.compacted_revision:
                return 410, {}
            matching = [it for it in self.events if it["revision"] > after]
            left = until - asyncio.get_running_loop().time()
            if matching or left <= 0:
                return 200, {"events": [self._render_event(vm, it) for it in matching], "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
