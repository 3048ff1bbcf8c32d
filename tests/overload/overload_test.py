#!/usr/bin/env python3
"""Crowds of callers outside the agreed limits against one redwingferry-vm on loopback addresses.

Guards against a process that ends, exceeds the memory of its VM or its descriptors, or no longer serves ordinary callers
because others send bodies that never end, bodies above the limit, or do not read their responses. Each form is one run:
overload_test.py PROGRAM FORM. The checks do not depend on the speed of the machine. --omit-vm-settings leaves out the
settings memory_mb and max_descriptors, for programs that do not know them."""
import argparse
import asyncio
import dataclasses
import json
import os
import shutil
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "soak"))

import http11  # noqa: E402
from store import Store  # noqa: E402
from vm import Vm  # noqa: E402

HOST = "overload.example"
KEY = "key"
MEMORY_MB = 160  # of the VM: its process and what its kernel has received for it
MAX_DESCRIPTORS = 256  # of the VM
MAX_BODY_BYTES = 6 << 20
LARGEST_BODY_BYTES = 64 << 20  # limit in the form "largest_body"
CROWD = 60  # callers; their bodies together are more than twice the memory of the VM
IDLE_CROWD = 400  # connections without a complete request
COMPLETE_EVERY = 10  # one caller in so many sends its body to the end
PIECE_BYTES = 64 << 10
STALL_S = 3.0  # a crowd that has moved no byte for so long is complete
MAX_CROWD_S = 60.0
CALLER_INTERVAL_S = 0.15  # between callers that do not read
ORDINARY_TRIES = 20  # refusals that an ordinary request may get before its response


def head(request_id, method="POST", path="/file/x", framing=f"Content-Length: {MAX_BODY_BYTES}"):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 60000\r\n"
            f"Authorization: Bearer {KEY}\r\n{framing}{chr(13) + chr(10) if framing else ''}\r\n").encode()


def chunked(size, total):
    chunk = f"{size:x}\r\n".encode() + b"b" * size + b"\r\n"
    return chunk * (total // size)


BODY = b"b" * MAX_BODY_BYTES
LARGE_RESPONSE = b"b" * (16 << 20)
LENGTH_BODY = (f"Content-Length: {MAX_BODY_BYTES}", BODY, 1)
CHUNKED = "Transfer-Encoding: chunked"


@dataclasses.dataclass(frozen=True)
class Form:
    """What each caller of a crowd sends. Most callers leave out the last bytes and stay connected."""
    framing: str = ""
    body: bytes = b""
    held_back: int = 0  # bytes at the end that most callers do not send
    is_interleaved: bool = False  # all callers send in turn, a piece each; otherwise one after the other
    method: str = "POST"
    path: str = "/file/x"
    callers: int = CROWD
    reads: bool = True  # callers read their responses


def forms():
    return {
        "whole": Form(*LENGTH_BODY),
        "pieces": Form(*LENGTH_BODY, is_interleaved=True),
        "large_chunks": Form(CHUNKED, chunked(256 << 10, MAX_BODY_BYTES) + b"0\r\n\r\n", 5, is_interleaved=True),
        "small_chunks": Form(CHUNKED, chunked(16, MAX_BODY_BYTES) + b"0\r\n\r\n", 5, is_interleaved=True),
        "over_limit_announced": Form(f"Content-Length: {MAX_BODY_BYTES * 10}", BODY, 1, is_interleaved=True),
        "over_limit_sent": Form(CHUNKED, chunked(64 << 10, MAX_BODY_BYTES * 2), 0, is_interleaved=True),
        "unread_responses": Form(method="GET", path="/file/large", reads=False),
        "unfinished_responses": Form(method="GET", path="/file/unfinished"),
        "unfinished_heads": Form("X-Filler: " + "f" * 1000, b"", 2, callers=IDLE_CROWD),
    }


class Crowd:
    """Sends from a thread of its own, so that the doubles go on serving."""

    def __init__(self, form, address):
        self.form = form
        self.address = address
        self.sockets = []
        self.unsent = {}
        self.ended = set()
        self.received = 0
        self.bytes_sent = 0

    def run(self):
        for n in range(self.form.callers):
            it = socket.socket()
            if not self.form.reads:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            it.settimeout(5)
            try:
                it.connect(self.address)
            except OSError:
                continue
            it.setblocking(False)
            data = head(f"crowd-{n}", self.form.method, self.form.path, self.form.framing) + self.form.body
            end = len(data) if n % COMPLETE_EVERY == 0 else len(data) - self.form.held_back
            self.sockets.append(it)
            self.unsent[it] = memoryview(data)[:end]
            if not self.form.reads:
                # The VM gives up responses that it receives at once beyond its bound, so callers come in turn.
                self._step()
                time.sleep(CALLER_INTERVAL_S)
        moved_at = time.monotonic()
        until = moved_at + MAX_CROWD_S
        while time.monotonic() < until and time.monotonic() - moved_at < STALL_S:
            if self._step():
                moved_at = time.monotonic()
            else:
                time.sleep(0.02)

    def _step(self):
        moved = False
        for it in self.sockets:
            if it in self.ended:
                continue
            while self.unsent[it]:
                piece = self.unsent[it][:PIECE_BYTES]
                try:
                    n = it.send(piece)
                except BlockingIOError:
                    break
                except OSError:
                    self.ended.add(it)
                    break
                self.unsent[it] = self.unsent[it][n:]
                self.bytes_sent += n
                moved = True
                if self.form.is_interleaved:
                    break
            if self.form.reads and it not in self.ended:
                moved = self._read(it) or moved
        return moved

    def _read(self, it):
        try:
            data = it.recv(1 << 16)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self.ended.add(it)
        self.received += len(data)
        return bool(data)

    def close(self):
        for it in self.sockets:
            it.close()


class Meter:
    """Samples what a process holds: its resident memory and descriptors, and received bytes that it has not read."""

    def __init__(self, pid, address):
        self.pid = pid
        host = "".join(f"{int(part):02X}" for part in reversed(address[0].split(".")))
        self.local = f"{host}:{address[1]:04X}"
        self.peak_mb = 0.0
        self.peak_descriptors = 0
        self.is_running = True
        self.thread = threading.Thread(target=self._sample, daemon=True)
        self.thread.start()

    def unread_bytes(self):
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as f:
            next(f)
            for line in f:
                fields = line.split()
                if fields[1] == self.local and fields[3] != "0A":  # 0A: listening
                    total += int(fields[4].split(":")[1], 16)
        return total

    def _resident_bytes(self):
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as f:
            return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def _sample(self):
        while self.is_running:
            try:
                held = self._resident_bytes() + self.unread_bytes()
                self.peak_mb = max(self.peak_mb, held / (1 << 20))
                self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
            except OSError:
                return
            time.sleep(0.01)

    def stop(self):
        self.is_running = False
        self.thread.join()


class Instance:
    """Answers every request at once; two paths have responses of the largest size."""

    def __init__(self, name, address):
        self.name = name
        self.address = address

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None:
                    break
                body = {"/file/large": LARGE_RESPONSE, "/file/unfinished": BODY}.get(request.target, b"done")
                end = len(body) - (request.target == "/file/unfinished")
                writer.write(http11.response(200, b"", X_Request_Id=request.headers.get("x-request-id", ""),
                                             X_Server_Stamp=self.name)
                             .replace(b"Content-Length: 0", f"Content-Length: {len(body)}".encode()))
                for at in range(0, end, PIECE_BYTES):
                    writer.write(body[at:min(end, at + PIECE_BYTES)])
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def configuration(max_body_bytes):
    def rule(name, prefix, kind):
        return {"name": name, "kind": kind, "target_latency_s": 5, "priority": 1, "public": False, "sticky": False,
                "match": {"prefix": prefix},
                "action": {"service": "desk", "timeout_s": 50, "max_attempts": 2, "allowed_regions": []}}

    return {"version": 3, "base_version": 0,
            "tenants": [{"name": "tenant", "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0,
                         "allowed_regions": []}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_s": 30,
                       "idle_timeout_s": 60},
            "listeners": [{"host": HOST, "rules": [rule("read", "/read/", "safe"), rule("file", "/file/", "safe")]}],
            "clusters": [{"name": "desk", "health_path": "/healthz", "max_conns": 1000, "cold_start_s": 0,
                          "cold_per_s": 1000}]}


async def request_status(address, data, timeout_s):
    """Returns the status of the response to one request, or None."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        response = await asyncio.wait_for(http11.read_response(reader), timeout_s)
        return None if response is None else response.status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def ordinary_status(address, path="/read/x"):
    """Returns the status of an ordinary request, which comes again after a refusal or a closed connection."""
    status = None
    for n in range(ORDINARY_TRIES):
        status = await request_status(address, head(f"ordinary-{n}", "GET", path, ""), 10)
        if status == 200:
            return status
        await asyncio.sleep(0.5)
    return status


async def run_form(args, folder):
    is_largest = args.form == "largest_body"
    base = f"127.{60 + os.getpid() % 60}.{os.getpid() // 60 % 250}"
    store = Store(1, lambda vm, key, value: value)
    zones = {"a": "north"}
    vm = Vm("vm0", "north", "a", f"{base}.1", (f"{base}.2", 8382), folder, args.program, zones)
    if not args.omit_vm_settings:
        with open(vm.path, encoding="utf-8") as f:
            settings = json.load(f)
        settings |= {"memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS}
        with open(vm.path, "w", encoding="utf-8") as f:
            json.dump(settings, f)
    await store.listen("vm0", (f"{base}.2", 8382))
    instances = [Instance(f"i{n}", (f"{base}.{10 + n}", 8400)) for n in range(4)]
    for it in instances:
        await it.start()
        store.put(f"servers/{it.name}", json.dumps(
            {"service": "desk", "address": f"{it.address[0]}:{it.address[1]}", "zone": "a", "version": "v1",
             "slots": 50, "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": int(time.time() * 1000)}))
    store.put("op/config", json.dumps(configuration(LARGEST_BODY_BYTES if is_largest else MAX_BODY_BYTES)))
    vm.start()
    crowd = None
    try:
        broken = []
        if await ordinary_status(vm.front) != 200:
            return ["no response before the crowd"], {}
        meter = Meter(vm.process.pid, vm.front)
        loop = asyncio.get_running_loop()
        if is_largest:
            data = head("large", framing=f"Content-Length: {LARGEST_BODY_BYTES}") + b"b" * LARGEST_BODY_BYTES
            status = await request_status(vm.front, data, 60)
            if status != 200:
                broken.append(f"a single body of the largest size got {status}")
        else:
            if await request_status(vm.front, head("single") + BODY, 30) != 200:
                broken.append("a single body within the limits was not served before the crowd")
            crowd = Crowd(forms()[args.form], vm.front)
            await loop.run_in_executor(None, crowd.run)
        status = await ordinary_status(vm.front)
        meter.stop()
        if not vm.is_running():
            broken.append(f"the process ended with code {vm.process.returncode}")
        if status != 200:
            broken.append(f"an ordinary request got {status} beside the crowd")
        if meter.peak_mb > MEMORY_MB:
            broken.append(f"{meter.peak_mb:.0f} MB held, the VM has {MEMORY_MB} MB")
        if meter.peak_descriptors > MAX_DESCRIPTORS:
            broken.append(f"{meter.peak_descriptors} descriptors open, the VM has {MAX_DESCRIPTORS}")
        seen = {"peak_mb": round(meter.peak_mb), "peak_descriptors": meter.peak_descriptors}
        if crowd is not None:
            seen |= {"callers": len(crowd.sockets), "closed": len(crowd.ended), "mb_sent": crowd.bytes_sent >> 20}
        return broken, seen
    finally:
        if crowd is not None:
            crowd.close()
        vm.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("form", choices=[*forms(), "largest_body"])
    parser.add_argument("--omit-vm-settings", action="store_true")
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="rwf-overload-")
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)  # doubles whose connections were reset
    broken, seen = loop.run_until_complete(run_form(args, folder))
    print(json.dumps({"form": args.form, **seen, "broken": broken}), flush=True)
    if broken:
        print(f"log: {folder}/vm0.log", file=sys.stderr, flush=True)
    else:
        shutil.rmtree(folder)
    # The doubles' open connections are not worth waiting for.
    os._exit(1 if broken else 0)


if __name__ == "__main__":
    main()
