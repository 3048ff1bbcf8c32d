"""A machine is cut off and comes back, three times; afterwards two machines keep the limit of one tenant."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))

from world import World, main, quota_breaches, rule  # noqa: E402

CUTS = 3
CUT_S = 7.5
CALM_S = 12
RATE, BURST = 60, 60
OFFERED = 45  # requests per second of each tenant in each zone
ZONES = {"delta-north": "delta", "delta-south": "delta", "delta-west": "delta"}


async def run(case, trouble):
    tenants = [(f"tenant{n}", f"key{n}", RATE, BURST) for n in (0, 1, 2, 4, 5, 9)]
    world = World(case, ZONES, [("front-a", "delta-north"), ("front-b", "delta-south"), ("front-c", "delta-west")],
                  tenants, [rule("r-read", "/read/", "safe", "desk")],
                  {"desk": {"count": 12, "slots": 12, "work_s": 0.02}})
    try:
        await world.start()
        await asyncio.sleep(8)
        for zone in ZONES:
            world.start_clients(zone, [{"tenant": n, "key": k, "per_s": OFFERED, "method": "GET", "prefix": "/read/"}
                                       for n, k, _, _ in tenants])
        await asyncio.sleep(6)
        for _ in range(CUTS):
            if trouble:
                world.note("front-a is cut off")
                world.cut_machine("front-a", also_store=True)
            await asyncio.sleep(CUT_S)
            if trouble:
                world.heal_machine("front-a")
                world.note("front-a is reachable again")
            await asyncio.sleep(CALM_S)
    finally:
        lines = world.end()
    worst = quota_breaches(lines, tenants, world.bounds)
    for name, (excess, count, bound, start) in worst.items():
        print(f"{name}: {count} of {bound:.0f} in the window from {start - world.started_at:.1f} s")
    return any(it[0] > 0 for it in worst.values())


main(CASE, run)
