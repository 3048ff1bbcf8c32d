"""Test double of an upstream instance with slots, a queue and failure modes."""
import asyncio
import json
import time

import http11

QUEUE_LIMIT = 8  # requests that wait for a slot


def body_for(request_id, blocks):
    """Returns a response body that its caller can check for truncation and for responses to other requests."""
    return f"{request_id}|{blocks}|{request_id * blocks}|end".encode()


def is_body_of(request_id, body):
    parts = body.decode(errors="replace").split("|")
    return len(parts) == 4 and parts[1].isdigit() and body == body_for(request_id, int(parts[1]))


class Instance:
    def __init__(self, world, name, service, zone, listen_address, shown, slots=4):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.listen_address = listen_address
        self.shown = shown  # the address of its proxy, which it registers
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queued = 0
        self.state = "ready"
        self.failure_mode = None  # None, errors, reset, truncate, extra, shed, hang, slow
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.server = None
        self.writers = set()

    async def start(self):
        # Overlapping crash faults may both restart the instance.
        if self.server is not None and self.server.is_serving():
            return
        self.server = await asyncio.start_server(self._serve, *self.listen_address)

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.shown[0]}:{self.shown[1]}", "zone": self.zone,
                 "version": "v1", "slots": self.slot_count, "state": self.state, "cold_remaining_s": 0,
                 "sequence": self.sequence, "born": self.started_ms}
        self.world.store.put(f"servers/{self.name}", json.dumps(entry))

    async def crash(self):
        """Stops at once without deregistering."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        await self.start()
        self.register()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None or not await self._handle(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        """Returns False if the connection must be closed."""
        random = self.world.random
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(http11.response(421, b"", X_Instance_Id=self.name))
            return True
        notices = self.world.notices
        notices.on_arrival(self, request)
        is_shed = (self.queued >= QUEUE_LIMIT or self.name in notices.waits
                   or (self.failure_mode == "shed" and random.random() < 0.6))
        if is_shed:
            writer.write(http11.response(503, b"", X_Not_Executed=1, X_Request_Id=request_id,
                                         **notices.headers(self, request, is_refusal=True)))
            return True
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            self.world.checks.on_run(self, request)
            if self.failure_mode == "hang" and random.random() < 0.5:
                await asyncio.sleep(20)
            await asyncio.sleep(random.uniform(0.02, 0.08) * (8 if self.failure_mode == "slow" else 1))
        fails = random.random() < 0.4
        if self.failure_mode == "errors" and fails:
            writer.write(http11.response(500, b"", X_Request_Id=request_id, X_Server_Stamp=self.name,
                                         **notices.headers(self, request, is_refusal=False)))
            return True
        if self.failure_mode == "reset" and fails:
            writer.transport.abort()
            return False
        data = http11.response(200, body_for(request_id, random.randint(1, 60)), X_Request_Id=request_id,
                                 X_Server_Stamp=self.name,
                                 X_Server_Load=f"{self.slot_count - self.slots._value},{self.queued},{self.slot_count}",
                                 **notices.headers(self, request, is_refusal=False))
        if self.failure_mode == "truncate" and fails:
            writer.write(data[: len(data) // 2])
            await writer.drain()
            writer.transport.abort()
            return False
        writer.write(data)
        if self.failure_mode == "extra" and fails:
            writer.write(data)
        return True
