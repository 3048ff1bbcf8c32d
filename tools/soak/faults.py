"""Faults that the soak injects from outside the processes. Each is a coroutine that undoes its fault at the end."""
import asyncio
import signal

from vm import GRACE_S


async def _apply_store_fault(world, fault, seconds, vms):
    world.checks.mark_faulty("store", seconds)
    for vm in vms:
        world.store.fault[vm] = fault
        if vm is not None:
            world.checks.mark_faulty(vm, seconds)
    await asyncio.sleep(seconds)
    for vm in vms:
        world.store.fault.pop(vm, None)


async def store_away(world):
    fault = world.random.choice(("silent", "reset", "busy", "slow", "lost", "many"))
    await _apply_store_fault(world, fault, world.random.uniform(1, 4), [None])


async def store_turns_away(world):
    fault = world.random.choice(("silent", "reset", "busy", "many"))
    await _apply_store_fault(world, fault, world.random.uniform(2, 6), [it.name for it in world.pick(world.vms, 2)])


async def store_forgets(world):
    world.checks.mark_faulty("store", 0)
    world.store.compact_history()


async def store_restored(world):
    """The store is away for a moment and returns from an older copy. Operators and instances write again what is lost."""
    away = world.random.uniform(0.02, 1.5)
    repeats_after = world.random.uniform(0, 0.5)
    world.checks.mark_faulty("store", away + repeats_after)
    world.store.fault[None] = "reset"
    world.store.close_connections()
    await asyncio.sleep(away)
    since = world.store.restore_copy(world.random.uniform(0.5, 6))
    world.store.fault.pop(None, None)
    await asyncio.sleep(repeats_after)
    world.store.repeat_writes(since)
    world.checks.on_writes_repeated(since - world.started_at)


async def store_loses_leases(world):
    """Leases expire while the store is unavailable; instances register again when it is back."""
    world.checks.mark_faulty("store", 2)
    world.checks.mark_faulty("instances", 4)
    world.store.fault[None] = "silent"
    for lease in list(world.store.leases):
        world.store._end_lease(lease)
    names = [it.name for it in world.pick(world.instances, len(world.instances) // 2)]
    for name in names:
        world.store.delete(f"servers/{name}")
    await asyncio.sleep(2)
    world.store.fault.pop(None, None)
    await asyncio.sleep(0.5)
    for it in world.instances:
        if it.name in names and it.state == "ready":
            it.register()


async def vm_kill(world):
    for vm in world.pick(world.vms, world.random.choice((1, 1, 2, len(world.vms)))):
        world.checks.mark_faulty(vm.name, 0.5)
        vm.kill()
        await asyncio.sleep(world.random.uniform(0, 0.2))
        vm.start()


async def vm_pause(world):
    seconds = world.random.uniform(0.5, 6)
    vms = world.pick(world.vms, world.random.choice((1, 2)))
    for vm in vms:
        world.checks.mark_faulty(vm.name, seconds)
        vm.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for vm in vms:
        vm.signal(signal.SIGCONT)


async def vm_roll(world):
    """Planned stops in sequence; each has to complete within the grace period."""
    for vm in world.pick(world.vms, 2):
        if not vm.is_running() or vm.is_paused:
            continue
        process = vm.process
        world.checks.stopping_until[vm.name] = world.clock() + GRACE_S + 1
        vm.signal(signal.SIGTERM)
        until = world.clock() + GRACE_S
        while process.poll() is None and world.clock() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None and vm.process is process:
            if world.checks.was_healthy(vm.name, world.clock()):
                world.checks.fail("LOST", f"{vm.name} was still running {GRACE_S} s after SIGTERM")
            vm.kill()
        if not vm.is_running():
            world.checks.mark_faulty(vm.name, 0)
            vm.start()


async def vm_reload(world):
    for vm in world.pick(world.vms, 2):
        vm.signal(signal.SIGHUP)


async def _apply_link_fault(world, proxies, names):
    seconds = world.random.uniform(1, 4)
    mode = world.random.choice(("delay", "silent", "no-requests", "no-answers", "reset"))
    for name in names:
        world.checks.mark_faulty(name, seconds)
    for proxy in proxies:
        if mode == "reset":
            proxy.reset_all()
        else:
            proxy.mode = mode
            proxy.delay = world.random.uniform(0.02, 0.2)
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.mode = "pass"


async def instance_links(world):
    await _apply_link_fault(world, [it.proxy for it in world.pick(world.instances, 2)], ["instances"])


async def peer_links(world):
    """Faults on the links from all peers to one VM."""
    vm = world.pick(world.vms, 1)[0]
    await _apply_link_fault(world, world.peer_proxies[vm.name], [it.name for it in world.vms])


async def instance_crash(world):
    world.checks.mark_faulty("instances", 3)
    instances = world.pick(world.instances, 2)
    for it in instances:
        await it.crash()
    await asyncio.sleep(world.random.uniform(0.3, 3))
    for it in instances:
        await it.restart()


async def instance_fails(world):
    seconds = world.random.uniform(2, 5)
    world.checks.mark_faulty("instances", seconds)
    instances = world.pick(world.instances, world.random.choice((1, 2, len(world.instances))))
    mode = world.random.choice(("errors", "reset", "truncate", "extra", "shed", "hang", "slow"))
    for it in instances:
        it.failure_mode = mode
    await asyncio.sleep(seconds)
    for it in instances:
        it.failure_mode = None


async def instance_drain(world):
    ready = [it for it in world.instances if it.state == "ready"]
    if len(ready) < len(world.instances) - 1:
        return
    it = world.pick(ready, 1)[0]
    it.state = "draining"
    it.register()
    world.checks.draining_since[it.name] = world.clock()
    await asyncio.sleep(5)
    del world.checks.draining_since[it.name]
    it.state = "ready"
    it.register()


async def instances_report(world):
    """Instances write their entries several times each."""
    for _ in range(world.random.randint(1, 4)):
        for it in world.instances:
            if it.server.is_serving():
                it.register()
        await asyncio.sleep(world.random.uniform(0, 0.3))


async def store_restored_after_writes(world):
    """The copy lacks many writes, and those that follow get their revisions."""
    await instances_report(world)
    world.publish_config()
    await asyncio.sleep(world.random.uniform(0.3, 1))
    await store_restored(world)


async def config_change(world):
    world.publish_config()


async def key_withdrawn(world):
    spare = [it for it in world.tenants if it.startswith("spare")]
    if not spare:
        return
    tenant = spare[0]
    world.withdrawn[tenant] = world.tenants[tenant]
    world.publish_config()
    world.checks.revoked[tenant] = world.clock()


FAULTS = (store_away, store_turns_away, store_forgets, store_restored, store_loses_leases, vm_kill, vm_pause, vm_roll, vm_reload,
          instance_links, peer_links, instance_crash, instance_fails, instance_drain, config_change, config_change,
          key_withdrawn)
RESTORE_FAULTS = (store_restored_after_writes, store_restored, config_change, config_change, config_change,
                  instances_report, instance_drain)
