"""The operator removes the only tenant, and so its key: requests with that key must be refused after revoke_s."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig_2 as rig  # noqa: E402

REVOKE_S = 5.0
WARM_UP_S = 2.0
BEFORE_S = 3.0
AFTER_S = 12.0
REQUESTS_PER_S = 20
MIN_SERVED = 0.9  # of the requests with a valid key
KEY = "xd9dnn2ctnfzs989anu6"
UNKNOWN_KEY = "zz0000000000000000zz"  # in no configuration; sent with every tenth request
TENANT = {"name": "huka270", "api_keys": [KEY], "priority": 1, "rate_per_s": 145, "burst": 145, "allowed_regions": []}


async def main(world):
    vms = [world.add_vm("front-north-a-1", "north-a"), world.add_vm("front-north-b-1", "north-b")]
    await world.store.listen(world.store_address)
    rules = [rig.rule("read", "/read/"), rig.rule("write", "/write/", kind="unsafe")]
    world.put_config(7, rules, [TENANT])
    for n, zone in enumerate(list(world.zones) * 2):
        await world.add_server(f"i-{n}", zone)
    for vm in vms:
        vm.start()
    await world.until_ready(vms)
    await asyncio.sleep(WARM_UP_S)

    sent = {}
    statuses = {}

    async def call(number):
        key = UNKNOWN_KEY if number % 10 == 0 else KEY
        request_id = f"{'u' if key == UNKNOWN_KEY else 'r'}{number:06d}"
        method, path = ("GET", "/read/1") if number % 2 else ("POST", "/write/1")
        sent[request_id] = rig.now()
        world.record.add("sent", id=request_id, to=vms[number % 2].name, method=method)
        status = await world.request(vms[number % 2], request_id, method=method, path=path,
                                     fields={"Authorization": f"Bearer {key}"})
        statuses[request_id] = status
        world.record.add("answered", id=request_id, status=status)

    calls = []
    end = rig.now() + BEFORE_S
    while rig.now() < end:
        calls.append(asyncio.create_task(call(len(calls))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    revoked_at = float("inf")
    if world.has_trouble:
        world.put_config(9, rules, [])
        revoked_at = rig.now() + world.store.answer_s
        world.record.add("revoked", key=KEY, version=9)
    end = rig.now() + AFTER_S
    while rig.now() < end:
        calls.append(asyncio.create_task(call(len(calls))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*calls)
    ran = {it for _, _, it in world.runs}
    valid = [it for it in sent if it[0] == "r" and sent[it] < revoked_at - 1]
    served = sum(it in ran for it in valid)
    if served < MIN_SERVED * len(valid):
        raise rig.CannotRun(f"only {served} of {len(valid)} requests with a valid key were served")
    late = [it for _, _, it in world.runs if it[0] == "r" and sent[it] > revoked_at + REVOKE_S]
    unknown = sum(it[0] == "u" for _, _, it in world.runs)
    print(f"requests {len(sent)}, run although sent over revoke_s after the key was taken away: {len(late)}; "
          f"run with a key that no configuration held: {unknown}")
    return len(late) > 0


if __name__ == "__main__":
    sys.exit(rig.run_case(main, HERE, {"north-a": "north", "north-b": "north"}))
