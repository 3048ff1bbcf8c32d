"""Sound instances of one service, in a process of their own.

Arguments: a JSON file with `instances` (id, address) and `work_s`, and the file for the record. Each request that an
instance begins to run is recorded as: R time instance request-id tenant method target body-bytes.
"""
import asyncio
import json
import os
import signal
import sys
import time

import http11

RECORD = []  # the file of the record, flushed at the end


def stop(*_):
    if RECORD:
        RECORD[0].flush()
    os._exit(0)


async def main():
    with open(sys.argv[1], encoding="utf-8") as f:
        settings = json.load(f)
    record = open(sys.argv[2], "w", encoding="utf-8", buffering=1 << 16)
    RECORD.append(record)
    slots = settings["slots"]

    def serving(it):
        running = 0

        async def serve(reader, writer):
            nonlocal running
            try:
                while True:
                    message = await http11.read_message(reader)
                    if message is None:
                        break
                    (method, target, _), fields, body = message
                    request_id = fields.get("x-request-id", "")
                    if fields.get("x-expect-instance", it["id"]) != it["id"]:
                        writer.write(http11.response(421, X_Instance_Id=it["id"]))
                        continue
                    if running >= slots:
                        writer.write(http11.response(503, X_Not_Executed=1, X_Request_Id=request_id))
                        continue
                    running += 1
                    record.write(f"R {time.monotonic():.4f} {it['id']} {request_id} {fields.get('x-tenant', '-')} "
                                 f"{method} {target} {len(body)}\n")
                    await asyncio.sleep(settings["work_s"])
                    running -= 1
                    text = f"{request_id}|{'x' * settings.get('answer_bytes', 200)}".encode()
                    writer.write(http11.response(200, text, X_Request_Id=request_id, X_Server_Stamp=f"{it['id']}.1",
                                                 X_Server_Load=f"{running},0,{slots}"))
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        return serve

    for it in settings["instances"]:
        host, _, port = it["address"].rpartition(":")
        await asyncio.start_server(serving(it), host, int(port), backlog=512)
    print("ready", flush=True)
    while True:
        await asyncio.sleep(0.1)
        record.flush()


if __name__ == "__main__":
    signal.signal(signal.SIGINT, stop)
    asyncio.run(main())
