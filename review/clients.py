"""Clients of one zone, in a process of their own.

Arguments: a JSON file with `host`, `region`, `zone`, `directories` (nearest first), `deadline_ms` and `loads` (tenant,
key, per_s, method, prefix, body_bytes), and the file for the record. Recorded are:
S time request-id tenant machine method, and A time request-id status-or-fault.
"""
import asyncio
import itertools
import json
import os
import random
import signal
import sys
import time

import http11

RECORD = []  # the file of the record, flushed at the end


class Clients:
    def __init__(self, settings, record):
        self.settings = settings
        self.record = record
        self.addresses = []
        self.pool = {}
        self.random = random.Random(settings.get("seed", 1))
        self.ids = itertools.count(1)

    async def ask_directory(self):
        s = self.settings
        while True:
            ttl = 0.5
            for host, port in s["directories"]:
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
                    writer.write(f"GET /resolve?name={s['host']}&region={s['region']}&zone={s['zone']} HTTP/1.1\r\n"
                                 f"Host: directory\r\nConnection: close\r\n\r\n".encode())
                    message = await asyncio.wait_for(http11.read_message(reader), 1)
                    writer.close()
                    found = json.loads(message[2]) if message and message[0][1] == "200" else {}
                except (OSError, asyncio.TimeoutError, ValueError):
                    continue
                if found.get("addresses"):
                    self.addresses = found["addresses"]
                    ttl = found.get("ttl_s", 1)
                    break
            for address in [it for it in self.pool if it not in self.addresses]:
                for _, writer in self.pool.pop(address):
                    writer.close()
            await asyncio.sleep(ttl)

    async def send(self, load):
        s = self.settings
        if not self.addresses:
            return
        address = self.random.choice(self.addresses)
        request_id = f"{s['zone']}-{next(self.ids):06x}"
        kept = self.pool.get(address)
        try:
            if kept:
                reader, writer = kept.pop()
            else:
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return
        body = b"b" * load.get("body_bytes", 0)
        head = (f"{load['method']} {load['prefix']}x HTTP/1.1\r\nHost: {s['host']}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {s['deadline_ms']}\r\nAuthorization: Bearer {load['key']}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        self.record.write(f"S {time.monotonic():.4f} {request_id} {load['tenant']} {address} {load['method']}\n")
        try:
            writer.write(head + body)
            message = await asyncio.wait_for(http11.read_message(reader), s["deadline_ms"] / 1000)
        except asyncio.TimeoutError:
            self.record.write(f"A {time.monotonic():.4f} {request_id} deadline\n")
            writer.transport.abort()
            return
        except ConnectionError:
            message = None
        if message is None:
            self.record.write(f"A {time.monotonic():.4f} {request_id} closed\n")
            writer.close()
            return
        start, fields, _ = message
        self.record.write(f"A {time.monotonic():.4f} {request_id} {start[1]}\n")
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.pool.setdefault(address, []).append((reader, writer))

    async def offer(self, load):
        tasks = set()
        due = time.monotonic()
        while True:
            due += self.random.expovariate(load["per_s"])
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.create_task(self.send(load))
            tasks.add(task)
            task.add_done_callback(tasks.discard)


def stop(*_):
    if RECORD:
        RECORD[0].flush()
    os._exit(0)


async def main():
    with open(sys.argv[1], encoding="utf-8") as f:
        settings = json.load(f)
    with open(sys.argv[2], "w", encoding="utf-8", buffering=1 << 16) as record:
        RECORD.append(record)
        clients = Clients(settings, record)
        jobs = [clients.ask_directory()] + [clients.offer(it) for it in settings["loads"]]
        tasks = [asyncio.create_task(it) for it in jobs]
        while True:
            await asyncio.sleep(0.1)
            record.flush()
            for task in tasks:
                if task.done():
                    task.result()


if __name__ == "__main__":
    signal.signal(signal.SIGINT, stop)
    asyncio.run(main())
