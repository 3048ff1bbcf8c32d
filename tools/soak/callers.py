"""Simulated callers: resolve entry VMs, keep connections open, and retry as Retry-After asks for."""
import asyncio
import json

import http11
from checks import Sent
from instance import is_body_of

DEADLINE_MS = 4000
LOOKUP_INTERVAL_S = 1.0


class Caller:
    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.region = world.regions[number % len(world.regions)]
        self.zone = world.zones_of[self.region][0]
        self.addresses = []
        self.resolved_at = -10.0
        self.connections = {}

    async def run(self):
        world = self.world
        while True:
            await asyncio.sleep(world.random.expovariate(world.rate / world.caller_count))
            await self.send_request(may_retry=True)

    async def _refresh_addresses(self):
        world = self.world
        if world.clock() - self.resolved_at < LOOKUP_INTERVAL_S:
            return
        for vm in sorted(world.vms, key=lambda it: (it.region != self.region, world.random.random()))[:3]:
            try:
                response = await asyncio.wait_for(
                    exchange(vm.lookup, f"GET /resolve?name={world.host}&region={self.region}&zone={self.zone}"), 1)
                found = json.loads(response.body)["addresses"] if response and response.status == 200 else []
            except (OSError, asyncio.TimeoutError, ValueError):
                continue
            if found:
                self.addresses = found
                self.resolved_at = world.clock()
                break
        for address in [it for it in self.connections if it not in self.addresses]:
            self.connections.pop(address)[1].close()

    async def _connect(self, address):
        if address in self.connections and self.world.random.random() < 0.8:
            return self.connections.pop(address)
        host, _, port = address.rpartition(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)

    async def send_request(self, may_retry):
        world, checks = self.world, self.world.checks
        await self._refresh_addresses()
        if not self.addresses:
            return
        address = world.random.choice(self.addresses)
        vm = world.vm_at(address)
        request_id = f"{world.random.getrandbits(64):016x}"
        tenant = world.random.choice(list(world.tenants))
        method, prefix = world.random.choice(world.routes)
        body = b"x" * world.random.randint(0, 2000) if method == "POST" else b""
        head = (f"{method} {prefix}{request_id[:2]} HTTP/1.1\r\nHost: {world.host}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Affinity-Key: {world.random.randint(1, 40)}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"X-Tenant: forged\r\nAuthorization: Bearer {world.tenants[tenant]}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        try:
            reader, writer = await self._connect(address)
        except (OSError, asyncio.TimeoutError):
            self.addresses.remove(address)
            world.count("unreachable")
            return
        started_at = world.clock()
        checks.on_sent(request_id, Sent(tenant, vm.name, method == "GET", started_at))
        try:
            writer.write(head + body)
            await writer.drain()
            response = await asyncio.wait_for(http11.read_response(reader), DEADLINE_MS / 1000 + 0.5)
        except asyncio.TimeoutError:
            writer.transport.abort()
            world.count("silent")
            return
        except (ConnectionError, asyncio.IncompleteReadError):
            response = None
        if response is None:
            writer.close()
            world.count("cut")
            checks.on_cut(request_id, vm.name, world.clock() - started_at)
            return
        self._check_response(request_id, response)
        if response.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            old = self.connections.pop(address, None)
            if old is not None:
                old[1].close()
            self.connections[address] = (reader, writer)
        if may_retry and response.status in (429, 503) and "retry-after" in response.headers:
            await asyncio.sleep(min(1.3, float(response.headers["retry-after"])))
            await self.send_request(may_retry=False)

    def _check_response(self, request_id, response):
        world, checks = self.world, self.world.checks
        checks.on_response(request_id, response.status)
        world.count(str(response.status))
        if 200 <= response.status < 300:
            if "x-server-stamp" not in response.headers:
                checks.fail("MIXED", f"{request_id}: successful response without the stamp of an instance")
            if response.headers.get("x-request-id") != request_id or not is_body_of(request_id, response.body):
                checks.fail("MIXED", f"{request_id}: response is truncated or belongs to another request")
        if response.status in (400, 404, 413, 431):
            checks.fail("DENIED", f"{request_id}: {response.status}")


async def exchange(target, line, extra="", host="x"):
    """Sends one request without a body on a new connection; returns None if the response is incomplete."""
    reader, writer = await asyncio.open_connection(*target)
    try:
        writer.write(f"{line} HTTP/1.1\r\nHost: {host}\r\n{extra}Connection: close\r\n\r\n".encode())
        return await http11.read_response(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
