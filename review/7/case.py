"""A planned stop while a client reads a large answer slowly and goes on to pipeline safe requests on that connection."""
import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig_2 as rig  # noqa: E402

ANSWER_BYTES = 540_000  # the largest answer of a download in our sites
READ_BYTES_PER_S = 100_000
WORK_S = 0.6
DEADLINE_MS = 12_000
PIPELINE_EVERY_S = 1.0
PIPELINED = 3  # requests sent behind the first, while its answer arrives
TERM_AFTER_S = 1.0  # after the first request was sent: its answer has begun, without "Connection: close"
CLIENTS = 4


class FileServer(rig.Server):
    async def handle(self, method, target, fields, body, writer):
        request_id = fields.get("x-request-id", "")
        self.world.on_run(self, request_id, fields, method, target)
        await asyncio.sleep(WORK_S)
        size = ANSWER_BYTES if target.startswith("/file/") else 200
        writer.write(rig.message("HTTP/1.1 200 OK", request_id.encode().ljust(size, b"."), X_Request_Id=request_id,
                                 X_Server_Stamp=self.name, **self.fields()))


class SlowClient:
    """Reads at a fixed rate and sends safe requests before the first one is answered whole."""

    def __init__(self, world, vm, number):
        self.world = world
        self.vm = vm
        self.ids = [f"c{number}-{n}" for n in range(PIPELINED + 1)]
        self.received = b""
        self.ended = ""  # how the connection ended

    def request(self, n):
        path = "/file/1" if n == 0 else f"/read/{n}"
        return rig.message(f"GET {path} HTTP/1.1", b"", Host=rig.HOST, X_Request_Id=self.ids[n],
                           X_Deadline_Ms=DEADLINE_MS)

    def first_answer(self):
        """Returns the bytes of the body of the first answer that have arrived, or None without a head."""
        head, end, rest = self.received.partition(b"\r\n\r\n")
        return min(len(rest), ANSWER_BYTES) if end and b" 200 " in head.split(b"\r\n")[0] + b" " else None

    def is_first_complete(self):
        return self.first_answer() == ANSWER_BYTES

    def is_told_to_close(self):
        return b"connection: close" in self.received.lower()

    async def run(self):
        loop = asyncio.get_running_loop()
        it = socket.socket()
        it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        it.setblocking(False)
        await loop.sock_connect(it, self.vm.front)
        started_at = rig.now()
        await loop.sock_sendall(it, self.request(0))
        self.world.record.add("sent", id=self.ids[0], to=self.vm.name)
        sent = 1
        step_s = 0.05
        try:
            while rig.now() - started_at < DEADLINE_MS / 1000 and not self.ended:
                is_due = sent <= PIPELINED and rig.now() - started_at >= WORK_S + PIPELINE_EVERY_S * sent
                if is_due and not self.is_first_complete() and not self.is_told_to_close():
                    await loop.sock_sendall(it, self.request(sent))
                    self.world.record.add("pipelined", id=self.ids[sent], to=self.vm.name)
                    sent += 1
                try:
                    data = await asyncio.wait_for(loop.sock_recv(it, int(READ_BYTES_PER_S * step_s)), step_s)
                    self.received += data
                    if not data:
                        self.ended = "closed"
                except asyncio.TimeoutError:
                    if self.is_first_complete():
                        break
                await asyncio.sleep(step_s)
        except OSError as e:
            self.ended = type(e).__name__
        finally:
            it.close()
        self.world.record.add("answered", id=self.ids[0], bytes=self.first_answer(), of=ANSWER_BYTES,
                              told_to_close=self.is_told_to_close(),
                              connection=self.ended or "open", after_s=f"{rig.now() - started_at:.2f}")


async def main(world):
    vms = [world.add_vm("front-north-a-1", "north-a"), world.add_vm("front-north-b-1", "north-b")]
    await world.store.listen(world.store_address)
    world.put_config(7, [rig.rule("file", "/file/", kind="download", timeout_s=0),
                         rig.rule("read", "/read/", timeout_s=0)])
    for n, zone in enumerate(list(world.zones) * 2):
        it = FileServer(world, f"i-{n}", world.new_address(8080), zone)
        await it.start()
    for vm in vms:
        vm.start()
    await world.until_ready(vms)
    await asyncio.sleep(rig.STABLE_WINDOW_S + 1)

    clients = [SlowClient(world, vms[0], n) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(it.run()) for it in clients]
    await asyncio.sleep(TERM_AFTER_S)
    if world.has_trouble:
        vms[0].terminate()
        world.record.add("SIGTERM", machine=vms[0].name)
    await asyncio.gather(*tasks)
    ran = {it[2] for it in world.runs}
    if not all(it.ids[0] in ran for it in clients):
        raise rig.CannotRun("a download was not passed on")
    cut = [it for it in clients if not it.is_first_complete()]
    print(f"answers of {ANSWER_BYTES} bytes: {len(clients)}, cut short: {len(cut)}")
    return len(cut) > 0


if __name__ == "__main__":
    sys.exit(rig.run_case(main, HERE, {"north-a": "north", "north-b": "north"}))
