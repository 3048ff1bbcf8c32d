"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Each machine reaches it at an address of its own, so that single machines can be cut off. `rewrite` may replace the
address in the entry of a machine by that of the proxy that stands for the network between reader and machine.
"""
import asyncio
import base64
import json
import urllib.parse

import http11

PAGE = 400


class Store:
    def __init__(self, rewrite=lambda reader, key, value: value):
        self.rewrite = rewrite
        self.items = {}
        self.revision = 100
        self.events = []
        self.leases = {}  # lease: [end, ttl]
        self.next_lease = 5000
        self.changed = asyncio.Event()
        # Called for each write call before it is executed; returns None, or the seconds after which it is executed
        # without an answer.
        self.delay_of_write = lambda machine, body: None
        self.cut = {}  # machine: Event that is set when its path is whole again
        self.servers = []
        self.calls = []  # (time, machine, call)

    # What the operator and the instances do.
    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "create_rev": old["create_rev"] if old else self.revision, "lease": lease}
        self._publish(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})

    def _publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self.delete(key)
        return True

    async def expire_leases(self):
        while True:
            now = asyncio.get_running_loop().time()
            for lease in [k for k, (end, _) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def listen(self, machine, address):
        async def serve(reader, writer):
            try:
                while True:
                    message = await http11.read_message(reader)
                    await self._path_is_whole(machine)
                    if message is None:
                        break
                    start, _, body = message
                    answer = await self._call(machine, start[0], start[1], json.loads(body) if body else {})
                    await self._path_is_whole(machine)
                    if answer is None:  # a connection on which a response is lost returns nothing further
                        await asyncio.sleep(3600)
                    status, out = answer
                    writer.write(http11.response(status, json.dumps(out).encode(), Content_Type="application/json"))
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self.servers.append(await asyncio.start_server(serve, *address))

    async def _path_is_whole(self, machine):
        while machine in self.cut:
            await self.cut[machine].wait()

    def _render(self, machine, event):
        out = dict(event)
        if "value" in out:
            text = self.rewrite(machine, out["key"], out["value"])
            out["value"] = base64.b64encode(text.encode()).decode()
        return out

    async def _call(self, machine, method, target, body):
        loop = asyncio.get_running_loop()
        self.calls.append((loop.time(), machine, f"{method} {target}"))
        await asyncio.sleep(0.004)
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(text).items()}
        if path == "/kv-key":
            it = self.items.get(query["key"])
            return (200, dict(self._render(machine, it), current_rev=self.revision)) if it else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return 200, {"items": [self._render(machine, self.items[k]) for k in keys[:PAGE]],
                         "has_more": len(keys) > PAGE, "current_rev": self.revision}
        if path == "/kv-watch":
            after, prefix = int(query["after"]), query.get("prefix", "")
            end = loop.time() + int(query["wait_ms"]) / 1000
            while True:
                found = [it for it in self.events if it["revision"] > after and it["key"].startswith(prefix)]
                left = end - loop.time()
                if found or left <= 0:
                    return 200, {"events": [self._render(machine, it) for it in found], "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_s_time"]
            self.leases[self.next_lease] = [loop.time() + ttl, ttl]
            return 200, {"lease": self.next_lease, "ttl_s_time": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return 404, {}
            lease[0] = loop.time() + lease[1]
            return 200, {"ttl_s_time": lease[1]}
        if path.startswith("/kv-lease-end/"):
            return (200, {}) if self.end_lease(int(path.rpartition("/")[2])) else (404, {})
        if path == "/kv-txn":
            delay = self.delay_of_write(machine, body)
            if delay is None:
                return self._execute(body)
            loop.call_later(delay, self._execute, body)
            return None
        return 404, {}

    def _execute(self, body):
        rows = [(row, self.items.get(row["key"])) for row in body["precondition"]]
        if any((it["revision"] if it else 0) != row["revision"] for row, it in rows):
            return 412, {"items": [it for _, it in rows if it]}
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in body["writes"]):
            return 404, {}
        for it in body["writes"]:
            self.put(it["key"], base64.b64decode(it["value"]).decode(), it.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}
