"""A machine that watches the store for its region restarts while servers leave: another machine goes on using them."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig_2 as rig  # noqa: E402

SERVERS = 40
BATCH = 6  # 15 % of the servers leave at a time
BATCH_S = 0.1  # over this time
MAX_LEAD_S = 0.2  # they begin to leave at most this long before the machine is back
ROUND_S = 7.0
ROUNDS = int(os.environ.get("ROUNDS", 12))
RESTART_S = 0.5
SERVE_ON_S = 9.0  # that a leaving server serves after the store took note
REQUESTS_PER_S = 9.0


async def main(world):
    for name, zone in (("front-north-a-1", "north-a"), ("front-north-a-2", "north-a"), ("front-north-b-1", "north-b")):
        world.add_vm(name, zone)
    relay, others = world.vms[0], world.vms[1:]
    await world.store.listen(world.store_address)
    world.put_config(7, [rig.rule("read", "/read/")])
    zones = list(world.zones)
    count = 0

    async def add_server():
        nonlocal count
        count += 1
        return await world.add_server(f"i-{world.random.randrange(1 << 32):08x}", zones[count % len(zones)])

    live = [await add_server() for _ in range(SERVERS)]
    for vm in world.vms:
        vm.start()
    await world.until_ready(world.vms)

    sent = {}  # request id to the machine and the time
    gone = {}  # server to the time of the store's answer to its removal
    end = rig.now() + ROUNDS * ROUND_S + 6

    async def call(number):
        vm = others[number % len(others)]
        request_id = f"r{number:08d}"
        sent[request_id] = (vm, rig.now())
        world.record.add("sent", id=request_id, to=vm.name)
        status = await world.request(vm, request_id, path=f"/read/{number}",
                                     fields={"X_Affinity_Key": world.random.randrange(1 << 30)})
        world.record.add("answered", id=request_id, status=status)

    async def traffic():
        number = 0
        calls = set()
        while rig.now() < end:
            number += 1
            it = asyncio.create_task(call(number))
            calls.add(it)
            it.add_done_callback(calls.discard)
            await asyncio.sleep(world.random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*calls)

    async def leave(server):
        # It never reports that it is draining: its entry is removed, and it serves on for some seconds.
        server.deregister()
        gone[server] = rig.now() + world.store.answer_s
        world.record.add("removed", server=server.name)
        await asyncio.sleep(SERVE_ON_S)
        await server.stop()

    async def scale_in(leaving):
        for server in leaving:
            asyncio.create_task(leave(server))
            await asyncio.sleep(BATCH_S / len(leaving))

    async def rounds():
        for _ in range(ROUNDS):
            leaving = live[:BATCH]
            del live[:BATCH]
            if world.has_trouble:
                relay.kill()
                world.record.add("killed", machine=relay.name)
            lead = world.random.uniform(0, MAX_LEAD_S)
            await asyncio.sleep(RESTART_S - lead)
            scaling = asyncio.create_task(scale_in(leaving))
            await asyncio.sleep(lead)
            if world.has_trouble:
                relay.start()
                world.record.add("started", machine=relay.name)
            await scaling
            await asyncio.sleep(1)
            live.extend([await add_server() for _ in range(BATCH)])
            await asyncio.sleep(ROUND_S - RESTART_S - BATCH_S - 1)

    tasks = [asyncio.create_task(traffic()), asyncio.create_task(rounds())]
    await asyncio.gather(*tasks)
    if len({it[2] for it in world.runs}) < 0.9 * len(sent):
        raise rig.CannotRun("most requests were not served")
    late = [(at, server, request_id) for at, server, request_id in world.runs
            if server in gone and at > gone[server] + rig.DRAIN_S + 0.1]
    for at, server, request_id in late:
        vm, sent_at = sent[request_id]
        world.record.add("late", id=request_id, server=server.name, machine=vm.name,
                         after_removal_s=f"{at - gone[server]:.3f}", sent_after_removal_s=f"{sent_at - gone[server]:.3f}")
    print(f"requests {len(sent)}, servers removed {len(gone)}, requests to them after drain_s: {len(late)}")
    return len(late) > 0


if __name__ == "__main__":
    sys.exit(rig.run_case(main, HERE, {"north-a": "north", "north-b": "north"}))
