"""Requests that crash each instance that runs them and that their callers send again, and the checks on them."""
import asyncio
import collections
import dataclasses
import random
import types

import http11
from checks import SETTLE_S, Sent
from instance import Instance

HEARTBEAT_S = 1.5  # a crashed instance's entry is removed after three of them without a sign of it
MAX_LATE_RUNS = 3  # later than SETTLE_S after the third instance has crashed
SERVICE, INSTANCES = "annex", 16
PREFIXES = {"GET": "/annex/", "POST": "/annex-once/"}  # of an idempotent and a non-idempotent route
DEADLINE_MS = 4000


@dataclasses.dataclass(frozen=True)
class CrashingRequest:
    tenant: str
    method: str
    target: str
    body: bytes


class AnnexInstance(Instance):
    """An instance without a proxy: nothing listens at its address after a crash."""

    def __init__(self, world, number, zone):
        self.number, self.starts = number, 0
        address = (f"{world.base}.5.{number + 1}", 8400)
        super().__init__(world, f"annex{number}", SERVICE, zone, address, address, slots=3)
        self.proxy = types.SimpleNamespace(mode="pass")

    async def _handle(self, request, writer):
        crashing = self.world.crashing
        key = CrashingRequest(request.headers.get("x-tenant", ""), request.method, request.target, request.body)
        is_mine = request.headers.get("x-expect-instance", self.name) == self.name
        if not is_mine or key not in crashing.requests:
            return await super()._handle(request, writer)
        async with self.slots:
            if not self.server.is_serving():
                return False
            self.world.checks.on_run(self, request)
            crashing.on_run(key, self, request)
            await asyncio.sleep(crashing.random.uniform(0.03, 0.08))
            if self.server.is_serving():
                crashing.on_crash(key, self)
                await self.crash()
                asyncio.create_task(self._come_back())
        return False

    async def _come_back(self):
        """Starts again under a new name, or now and then under the same."""
        old, starts_anew = self.name, self.world.crashing.random.random() < 0.8
        silence = asyncio.create_task(self._lapse(old, 3 * HEARTBEAT_S - self.world.crashing.random.uniform(0, 1.5)))
        await asyncio.sleep(self.world.crashing.random.uniform(2, 4))
        if starts_anew:
            self.starts += 1
            self.name = f"annex{self.number}.{self.starts}"
        else:
            silence.cancel()
        await self.restart()

    async def _lapse(self, name, seconds):
        await asyncio.sleep(seconds)
        self.world.store.delete(f"servers/{name}")


class Crashing:
    """Draws from a generator of its own, so that the other faults of a seed stay as they are."""

    def __init__(self, world, seed, zones):
        self.world = world
        self.random = random.Random(seed * 104729 + 3)
        self.requests = set()
        self.runs = collections.defaultdict(list)  # by request, (time, VM, instance)
        self.crashes = collections.defaultdict(list)  # by request, times
        self.late_runs = collections.Counter()
        self.instances = [AnnexInstance(world, n, zones[n % len(zones)]) for n in range(INSTANCES)]

    def on_run(self, key, instance, request):
        checks, now = self.world.checks, self.world.clock()
        vm = checks.sent[request.headers["x-request-id"]].vm
        self.runs[key].append((now, vm, instance.name))
        ends = self.crashes[key]
        if len(ends) < 3 or now < ends[2] + SETTLE_S or not checks.was_healthy(vm, now):
            return
        self.late_runs[key] += 1
        if self.late_runs[key] == MAX_LATE_RUNS + 1:
            checks.fail("BUDGET", f"{key.method} {key.target} of {key.tenant} ran {self.late_runs[key]} times later "
                        f"than {SETTLE_S} s after it had crashed three instances; {len(ends)} crashed so far")

    def on_crash(self, key, instance):
        self.crashes[key].append(self.world.clock())
        # Requests of others end with the instance.
        self.world.checks.mark_faulty("instances", 0.5)

    async def _send(self, key, vm):
        world, checks = self.world, self.world.checks
        request_id = f"{self.random.getrandbits(64):016x}"
        checks.on_sent(request_id, Sent(key.tenant, vm.name, key.method == "GET", world.clock()))
        head = (f"{key.method} {key.target} HTTP/1.1\r\nHost: {world.host}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Affinity-Key: 7\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Authorization: Bearer {world.tenants[key.tenant]}\r\nContent-Length: {len(key.body)}\r\n\r\n")
        try:
            reader, writer = await asyncio.open_connection(*vm.front)
            writer.write(head.encode() + key.body)
            response = await asyncio.wait_for(http11.read_response(reader), DEADLINE_MS / 1000 + 0.5)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        if response is not None:
            checks.on_response(request_id, response.status)

    async def _resend(self, key, seconds):
        """Sends copies in bursts, to one VM or to all, until the time is over."""
        until = self.world.clock() + seconds
        copies, gap = self.random.choice((1, 2, 2, 4, 8)), self.random.uniform(0.4, 4)
        vms = self.world.pick(self.world.vms, self.random.choice((1, len(self.world.vms))))
        while self.world.clock() < until:
            for _ in range(copies):
                asyncio.create_task(self._send(key, self.random.choice(vms)))
                await asyncio.sleep(self.random.uniform(0, 0.3) / copies)
            await asyncio.sleep(gap)

    async def run(self, seconds, log):
        """Sends several such requests, one beginning after the other."""
        running, until = [], self.world.clock() + seconds
        while self.world.clock() < until - 2:
            method = self.random.choice(("GET", "GET", "POST"))
            body = b"crash" if method == "POST" else b""
            key = CrashingRequest("large", method, f"{PREFIXES[method]}crash{len(self.requests)}", body)
            self.requests.add(key)
            log(f"{self.world.clock():7.2f} crashing request {key.method} {key.target}")
            running.append(asyncio.create_task(self._resend(key, until - self.world.clock())))
            await asyncio.sleep(self.random.uniform(3, 9))
        await asyncio.gather(*running)
        for key, ends in self.crashes.items():
            log(f"{key.method} {key.target}: crashed {len(ends)} instances, {self.late_runs[key]} late runs; at " +
                " ".join(f"{it:.2f}" for it in ends))
