#!/usr/bin/env python3
"""Sends the messages of tests/http/messages.json through one redwingferry-vm on loopback addresses, in both directions.

Guards against broken responses that reach callers and broken requests that reach upstreams. Each message is sent whole and
in two pieces. The checks do not depend on the speed of the machine."""
import asyncio
import dataclasses
import json
import os
import re
import shutil
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "soak"))
sys.path.insert(0, os.path.join(ROOT, "tests", "overload"))

import http11  # noqa: E402
import overload_test  # noqa: E402
from store import Store  # noqa: E402
from vm import Vm  # noqa: E402

# Many instances share each address, so that few messages of one kind make no instance count as failing.
ADDRESSES = 4
INSTANCES = 200
PIECE_INTERVAL_S = 0.005
TRIES = 20  # of a request that reached no instance
RESPONSE_TIMEOUT_S = 20
STATUS_LINE = re.compile(rb"HTTP/1\.1 [1-5][0-9][0-9] [\t -~\x80-\xff]*\r\n")
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*\r\n")


@dataclasses.dataclass(frozen=True)
class Message:
    name: str
    text: bytes
    status: int
    content: bytes
    ends_with_close: bool

    def with_id(self, request_id):
        return self.text.replace(b"{id}", request_id.encode()).replace(b"{host}", overload_test.HOST.encode())


def read_messages(section):
    """Composes the messages of a section as tests/message_table.h does."""
    with open(os.path.join(ROOT, "tests", "http", "messages.json"), encoding="utf-8") as f:
        rows = json.load(f)[section]
    is_request = section.endswith("requests")
    messages = []
    for row in rows:
        body = row.get("body", "done")
        lines = [row.get("start", "POST /once/x HTTP/1.1" if is_request else "HTTP/1.1 200 OK")]
        lines.append("Host: {host}" if is_request else "X-Server-Stamp: s")
        lines.append("X-Request-Id: {id}")
        if is_request:
            lines.append(f"Authorization: Bearer {overload_test.KEY}")
        if "field" in row:
            lines.append(row["field"])
        lines.append(row.get("framing", "Content-Length: 4"))
        text = row.get("text", row.get("before", "") + "\r\n".join(lines) + "\r\n\r\n" + body)
        content = row.get("content", "done" if body else "")
        messages.append(Message(row["name"], text.encode("latin-1"), row.get("status", 200), content.encode("latin-1"),
                                row.get("ends_with_close", False)))
    return messages


async def write_in(pieces, writer, data):
    """Sends the data whole or in two pieces."""
    at = len(data) // 2 if pieces == 2 else 0
    if at:
        writer.write(data[:at])
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)
    writer.write(data[at:])
    await writer.drain()


class Instance:
    """Responds with the message that the target names, or with an ordinary response."""

    def __init__(self, responses):
        self.responses = responses
        self.seen = {}  # requests by id

    async def start(self, address):
        await asyncio.start_server(self._serve, *address)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None:
                    break
                request_id = request.headers.get("x-request-id", "")
                self.seen[request_id] = self.seen.get(request_id, 0) + 1
                _, _, section, number, pieces = (request.target + "/////").split("/")[:5]
                if section not in self.responses:
                    writer.write(http11.response(200, b"done", X_Request_Id=request_id, X_Server_Stamp="s"))
                    await writer.drain()
                    continue
                message = self.responses[section][int(number)]
                await write_in(int(pieces), writer, message.with_id(request_id))
                if message.ends_with_close:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Trial:
    def __init__(self, vm, instance):
        self.vm = vm
        self.instance = instance
        self.requests = 0
        self.broken = []

    def fail(self, name, text):
        self.broken.append(f"{name}: {text}")

    async def call(self, data, pieces=1):
        """Sends a request on a connection of its own. Returns the bytes up to the end of the response, or of the stream."""
        reader, writer = await asyncio.open_connection(*self.vm.front)
        try:
            await write_in(pieces, writer, data)
            return await asyncio.wait_for(self._read(reader), RESPONSE_TIMEOUT_S)
        except (ConnectionError, asyncio.TimeoutError):
            return b""
        finally:
            writer.close()

    @staticmethod
    async def _read(reader):
        data = b""
        while True:
            more = await reader.read(1 << 16)
            data += more
            head, end, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"(?i)\r\nContent-Length: (\d+)", head)
            if not more or (end and length and len(body) >= int(length[1])):
                return data

    def parse(self, name, data):
        """Returns the status, the names of the fields and the body, or None if the bytes are no response."""
        head, end, body = data.partition(b"\r\n\r\n")
        lines = (head + b"\r\n").splitlines(keepends=True)
        if not end or not STATUS_LINE.fullmatch(lines[0]) or not all(FIELD_LINE.fullmatch(it) for it in lines[1:]):
            self.fail(name, f"the caller got {data[:80]!r}")
            return None
        return int(lines[0][9:12]), {it.split(b":")[0].lower() for it in lines[1:]}, body

    async def until_seen(self, name, method, target, framing):
        """Sends a request until an instance has got it. Returns its response and how often it was sent."""
        for _ in range(TRIES):
            self.requests += 1
            request_id = f"{self.requests}"
            response = self.parse(name, await self.call(overload_test.head(request_id, method, target, framing)))
            times = self.instance.seen.get(request_id, 0)
            if response is None or times > 0:
                return response, times
            await asyncio.sleep(0.1)
        self.fail(name, "reached no instance")
        return None, 0

    async def check_malformed_response(self, number, message, pieces):
        for method, route in (("GET", "read"), ("POST", "once")):
            name = f"{message.name}, {route}, in {pieces}"
            framing = "" if method == "GET" else "Content-Length: 0"
            response, times = await self.until_seen(name, method, f"/{route}/malformed/{number}/{pieces}", framing)
            if response is None:
                continue
            status, fields, _ = response
            if status != 502 or b"x-server-stamp" in fields:
                self.fail(name, f"the caller got {status}")
            if route == "once" and times > 1:
                self.fail(name, f"a request that is not idempotent was sent {times} times")

    async def check_sound_response(self, number, message, pieces):
        name = f"{message.name}, sound, in {pieces}"
        response, _ = await self.until_seen(name, "GET", f"/read/sound/{number}/{pieces}", "")
        if response is not None and (response[0] != message.status or response[2] != message.content):
            self.fail(name, f"the caller got {response[0]} with {response[2][:80]!r}")

    async def check_request(self, message, pieces, is_sound):
        name = f"{message.name}, request, in {pieces}"
        self.requests += 1
        request_id = f"{self.requests}"
        response = self.parse(name, await self.call(message.with_id(request_id), pieces))
        if response is not None and response[0] != (200 if is_sound else 400):
            self.fail(name, f"the caller got {response[0]}")
        if (request_id in self.instance.seen) != is_sound:
            self.fail(name, "was not sent" if is_sound else "was sent to an instance")


def configuration():
    config = overload_test.configuration(overload_test.MAX_BODY_BYTES)
    rules = config["listeners"][0]["rules"]
    rules.append({**rules[0], "name": "once", "kind": "unsafe", "match": {"prefix": "/once/"}})
    return config


async def run(program, folder):
    base = f"127.{120 + os.getpid() % 60}.{os.getpid() // 60 % 250}"
    store = Store(1, lambda vm, key, value: value)
    await store.listen("vm0", (f"{base}.2", 8382))
    responses = {"malformed": read_messages("malformed_responses"), "sound": read_messages("sound_responses")}
    instance = Instance(responses)
    addresses = [(f"{base}.{10 + n}", 8400) for n in range(ADDRESSES)]
    for it in addresses:
        await instance.start(it)
    for n in range(INSTANCES):
        host, port = addresses[n % ADDRESSES]
        store.put(f"servers/i{n}", json.dumps(
            {"service": "desk", "address": f"{host}:{port}", "zone": "a", "version": "v1", "slots": 50,
             "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": int(time.time() * 1000)}))
    store.put("op/config", json.dumps(configuration()))
    vm = Vm("vm0", "north", "a", f"{base}.1", (f"{base}.2", 8382), folder, program, {"a": "north"})
    vm.start()
    trial = Trial(vm, instance)
    try:
        if await overload_test.ordinary_status(vm.front) != 200:
            return trial, ["no response before the messages"]
        for pieces in (1, 2):
            for number, message in enumerate(responses["malformed"]):
                await trial.check_malformed_response(number, message, pieces)
            for number, message in enumerate(responses["sound"]):
                await trial.check_sound_response(number, message, pieces)
            for is_sound in (False, True):
                for message in read_messages("sound_requests" if is_sound else "malformed_requests"):
                    await trial.check_request(message, pieces, is_sound)
        if await overload_test.ordinary_status(vm.front) != 200:
            trial.fail("ordinary request", "no response after the messages")
        if not vm.is_running() or vm.starts != 1:
            trial.fail("process", f"ended with code {vm.process.returncode}")
        return trial, trial.broken
    finally:
        vm.kill()


def main():
    folder = tempfile.mkdtemp(prefix="rwf-malformed-")
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)  # doubles whose connections were reset
    trial, broken = loop.run_until_complete(run(sys.argv[1], folder))
    for it in broken:
        print(it, flush=True)
    print(json.dumps({"requests": trial.requests, "broken": len(broken)}), flush=True)
    if broken:
        print(f"log: {folder}/vm0.log", file=sys.stderr, flush=True)
    else:
        shutil.rmtree(folder)
    # The doubles' open connections are not worth waiting for.
    os._exit(1 if broken else 0)


main()
