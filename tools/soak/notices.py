"""What instances say of themselves in their responses (leaving, rate limit, wait), and the checks that it is heeded."""
import asyncio
import collections
import random

from checks import DRAIN_S, SETTLE_S

TOLD_S = 0.5  # a VM counts as told this long after a response
LIMIT_S, LIMIT_RATIO, LIMIT_EXTRA = 4.0, 1.5, 5
MAX_REQUESTS_IN_WAIT = 2


class Notices:
    """Draws from a generator of its own, so that the other faults of a seed stay as they are."""

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(seed * 7919 + 1)
        self.leaving = set()
        self.limits = {}
        self.limited_since = {}
        self.waits = {}  # instance to the seconds that it asks for
        # Keys hold the start of the instance: what one process said does not bind the VMs at the next one.
        self.told = {}  # (kind, instance, start, vm) to the time of the first response
        self.waiting = {}  # (instance, start, vm) to [time of the response, end, requests since]
        self.arrivals = collections.defaultdict(list)  # by limited instance
        self.disturbed_at = collections.defaultdict(lambda: -100.0)  # last fault of the link, by instance

    def _vm_of(self, request):
        sent = self.world.checks.sent.get(request.headers.get("x-request-id", ""))
        return sent.vm if sent else None

    def _is_excused(self, vm, since):
        return self.world.checks.faulty_until[vm] >= since - SETTLE_S

    def on_arrival(self, instance, request):
        checks, now, name, started = self.world.checks, self.world.clock(), instance.name, instance.started_ms
        if instance.proxy.mode != "pass":
            self.disturbed_at[name] = now
        vm = self._vm_of(request)
        if vm is None or now < self.disturbed_at[name] + SETTLE_S:
            return
        sent_at = checks.sent[request.headers["x-request-id"]].at
        told = self.told.get(("leaving", name, started, vm))
        if told is not None and sent_at > told + DRAIN_S and not self._is_excused(vm, told):
            checks.fail("DRAIN", f"{vm} sent to {name} {now - told:.2f} s after it had said that it leaves")
        told = self.told.get(("limit", name, started, vm))
        if told is not None and now > told + TOLD_S and not self._is_excused(vm, told):
            self._check_limit(name, now)
        wait = self.waiting.get((name, started, vm))
        if wait is not None and wait[0] + TOLD_S < now < wait[1] and not self._is_excused(vm, wait[0]):
            wait[2] += 1
            if wait[2] > MAX_REQUESTS_IN_WAIT:
                checks.fail("BUDGET", f"{vm} sent {wait[2]} requests to {name}, which wanted none for "
                            f"{wait[1] - now:.2f} s more")

    def _check_limit(self, name, now):
        if now < self.limited_since[name] + SETTLE_S:
            return
        arrivals = self.arrivals[name]
        arrivals.append(now)
        allowed = LIMIT_RATIO * LIMIT_S * self.limits[name] + LIMIT_EXTRA
        recent = sum(1 for at in arrivals if at > now - LIMIT_S)
        if recent > allowed:
            self.world.checks.fail("LIMIT", f"{name} got {recent} requests in {LIMIT_S:.0f} s, {allowed:.0f} allowed")

    def headers(self, instance, request, is_refusal):
        """Returns the fields that the instance adds to its response, and remembers who was told."""
        now, name, started, out = self.world.clock(), instance.name, instance.started_ms, {}
        vm = self._vm_of(request)
        if name in self.leaving:
            out["Server_Leaving"] = 1
            self.told.setdefault(("leaving", name, started, vm), now)
        if name in self.limits:
            out["Server_Limit"] = self.limits[name]
            self.told.setdefault(("limit", name, started, vm), now)
        if is_refusal and name in self.waits:
            out["Retry_After"] = self.waits[name]
            self.waiting[(name, started, vm)] = [now, now + self.waits[name], 0]
        return out

    def _forget(self, kind, name):
        for key in [it for it in self.told if it[:2] == (kind, name)]:
            del self.told[key]

    async def _leave(self, instance):
        self.leaving.add(instance.name)
        await asyncio.sleep(self.random.uniform(4, 7))
        self.world.checks.mark_faulty("instances", 1)
        await instance.crash()
        self.leaving.discard(instance.name)
        await instance.restart()

    async def _limit(self, instance):
        self.limits[instance.name] = round(self.random.uniform(0.5, 7), 1)
        self.limited_since[instance.name] = self.world.clock()
        self.arrivals[instance.name].clear()
        await asyncio.sleep(self.random.uniform(6, 10))
        self._forget("limit", instance.name)
        del self.limits[instance.name]

    async def _turn_away(self, instance):
        self.waits[instance.name] = self.random.choice((1, 1.5, 3))
        await asyncio.sleep(self.random.uniform(2, 5))
        del self.waits[instance.name]

    async def run(self, seconds, log):
        until, running, busy = self.world.clock() + seconds, [], set()
        while self.world.clock() < until:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            kind = self.random.choice((self._leave, self._limit, self._limit, self._turn_away))
            free = [it for it in self.world.instances if it.name not in busy]
            # Enough instances stay as they are for the promise of recovery.
            if len(free) <= len(self.world.instances) // 2:
                continue
            instance = self.random.choice(free)
            busy.add(instance.name)
            log(f"{self.world.clock():7.2f} notice {kind.__name__} {instance.name}")
            task = asyncio.create_task(kind(instance))
            task.add_done_callback(lambda _, name=instance.name: busy.discard(name))
            running.append(task)
        await asyncio.gather(*running)
