"""Clients connect to the directory address and stay: the machine has no descriptors left for ordinary clients.

A finding without a case folder (a review has five cases at most); see REPORT-2.md. Exit status: 1 if no ordinary
request on a new connection was answered at a machine while the clients stayed there, 0 otherwise, 2 if it could not
run. TROUBLE=0 leaves out the clients.
"""
import asyncio
import collections
import os
import resource
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
import rig_2 as rig  # noqa: E402

# The smallest machines of sites/tmu-points.toml, and the descriptors that DEPLOY.md reserves for files.
MEMORY_MB = 260
MAX_DESCRIPTORS = 4100
RESERVED_DESCRIPTORS = 200
CLIENTS = 4000  # at each of two machines
STAY_S = 15.0
AFTER_S = 5.0
WARM_UP_S = 2.0
REQUESTS_PER_S = 10  # ordinary ones, at each machine, each on a new connection
MIN_SERVED = 0.9  # of the ordinary requests before and after


def start(vm):
    bound = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
    env = {"PATH": os.environ.get("PATH", ""), "REDWINGFERRY_BOOT": vm.settings}
    with open(vm.log, "ab") as out:
        vm.process = subprocess.Popen(
            [rig.PROGRAM], cwd=rig.ROOT, env=env, stdout=out, stderr=out,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (bound, bound)))


def processor_s(vm):
    with open(f"/proc/{vm.process.pid}/stat", encoding="ascii") as f:
        fields = f.read().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


async def main(world):
    vms = [world.add_vm(f"front-north-{it}-1", f"north-{it}", memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS)
           for it in "abc"]
    targets = vms[:2]
    await world.store.listen(world.store_address)
    world.put_config(7, [rig.rule("read", "/read/")])
    for n, zone in enumerate(list(world.zones) * 2):
        await world.add_server(f"i-{n}", zone)
    for vm in vms:
        start(vm)
    await world.until_ready(vms)
    await asyncio.sleep(WARM_UP_S)

    phase = "before"
    statuses = collections.defaultdict(list)

    async def ordinary(vm):
        number = 0
        calls = []

        async def call(name):
            sent_in = phase
            status = await world.request(vm, f"{vm.name}-{name:04d}")
            statuses[vm.name, sent_in].append(status)
            world.record.add("answered", id=f"{vm.name}-{name:04d}", status=status, sent=sent_in)

        while phase != "over":
            number += 1
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*calls)

    clients = []

    async def connect(vm):
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(*vm.directory), 2)
            clients.append(writer)
        except (OSError, asyncio.TimeoutError):
            pass

    tasks = [asyncio.create_task(ordinary(vm)) for vm in vms]
    await asyncio.sleep(3)
    phase = "arriving"
    if world.has_trouble:
        for _ in range(CLIENTS // 100):
            await asyncio.gather(*[connect(vm) for vm in targets for _ in range(100)])
    phase = "staying"
    used = {vm.name: processor_s(vm) for vm in targets}
    await asyncio.sleep(STAY_S)
    for vm in targets:
        descriptors = len(os.listdir(f"/proc/{vm.process.pid}/fd"))
        print(f"{vm.name}: descriptors: {descriptors} of {MAX_DESCRIPTORS - RESERVED_DESCRIPTORS}, "
              f"processor: {processor_s(vm) - used[vm.name]:.1f} s of {STAY_S:.0f}, "
              f"output: {os.path.getsize(vm.log) / 1e6:.0f} MB, is running: {vm.is_running()}")
    phase = "leaving"
    for it in clients:
        it.transport.abort()
    await asyncio.sleep(1)
    phase = "after"
    await asyncio.sleep(AFTER_S)
    phase = "over"
    await asyncio.gather(*tasks)

    for name, sent_in in sorted(statuses):
        print(f"{name}, {sent_in}:", dict(collections.Counter(statuses[name, sent_in])))
    for vm in targets:
        calm = statuses[vm.name, "before"]
        if calm.count(200) < MIN_SERVED * len(calm):
            raise rig.CannotRun("ordinary requests were not served before the clients came")
    return all(200 not in statuses[vm.name, "staying"] for vm in targets)


if __name__ == "__main__":
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16384), hard))
    with tempfile.TemporaryDirectory() as record_folder:
        sys.exit(rig.run_case(main, record_folder, {"north-a": "north", "north-b": "north", "north-c": "north"}))
