"""A machine is restarted twice while one write to the store is executed late; its new process is left out for good."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))

from world import World, main, quota_breaches, rule  # noqa: E402

LATE_S = 6.0
RATE, BURST = 60, 60
OFFERED = 45  # requests per second of each tenant in each zone
ZONES = {"delta-north": "delta", "delta-south": "delta", "delta-west": "delta"}


async def run(case, trouble):
    tenants = [(f"tenant{n}", f"key{n}", RATE, BURST) for n in (0, 1, 2, 4, 5, 9)]
    world = World(case, ZONES, [("front-a", "delta-north"), ("front-b", "delta-south"), ("front-c", "delta-west")],
                  tenants, [rule("r-read", "/read/", "safe", "desk")],
                  {"desk": {"count": 12, "slots": 12, "work_s": 0.02}})
    machine = world.by_name["front-c"]
    late = []

    def delay_of_write(name, body):
        """Once, the first write of the process that was started last is executed late and not answered."""
        if name != "front-c" or not body["writes"] or machine.starts != 2 or late:
            return None
        late.append(body["writes"][0]["key"])
        world.note(f"the store does not answer the write of {late[0]}, and executes it {LATE_S} s later")
        return LATE_S

    try:
        await world.start()
        await asyncio.sleep(8)
        for zone in ZONES:
            world.start_clients(zone, [{"tenant": n, "key": k, "per_s": OFFERED, "method": "GET", "prefix": "/read/"}
                                       for n, k, _, _ in tenants])
        if trouble:
            world.store.delay_of_write = delay_of_write
        await asyncio.sleep(2)
        for _ in range(2):
            world.note("the process of front-c is killed")
            machine.kill()
            await asyncio.sleep(0.5)
            machine.start()
            await asyncio.sleep(2.5)
        await asyncio.sleep(30)
    finally:
        lines = world.end()
    if trouble and not late:
        raise RuntimeError("no write was delayed")
    worst = quota_breaches(lines, tenants, world.bounds)
    for name, (excess, count, bound, start) in worst.items():
        print(f"{name}: {count} of {bound:.0f} in the window from {start - world.started_at:.1f} s")
    return any(it[0] > 0 for it in worst.values())


main(CASE, run)
