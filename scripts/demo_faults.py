"""Faults that scripts/demo injects, each with a check of the expected results."""
import signal
import time

from site_runner import STOP_SECONDS, SiteError, has_daemon, log_status

# Withdrawn keys and draining upstreams get no new requests after this time.
TAKES_EFFECT_MS = 3000
# Changes are in force on all VMs within this time.
IN_FORCE_SECONDS = 13
POISON_MARKER = "rwf-poison-marker"


class Fault:
    """No fault. Subclasses inject one halfway through the run and check the results."""

    name = "none"
    needs_daemon = False
    allows_unknown = True  # requests whose outcome the caller cannot know
    allows_limited = False  # refusals of requests within the rate

    def __init__(self, site):
        self.site = site
        self.problems = []

    def seconds(self, wanted):
        return wanted

    def load_arguments(self, seconds):  # pylint: disable=unused-argument
        return []

    def inject(self):
        """Called halfway through the run; may block."""

    def check(self, summary, calls):
        """Adds to self.problems."""

    def expect(self, holds, text):
        if not holds:
            self.problems.append(text)

    def expect_answered_ratio(self, summary, fraction):
        if not self.site.vms:
            # Direct callers reach upstreams that refuse requests beyond their slots.
            fraction = min(fraction, 0.98)
        self.expect(summary["answered"] >= fraction * summary["sent"],
                    f"answered {summary['answered']} of {summary['sent']}, less than {fraction:.1%}")

    def service(self):
        return self.site.config["services"][0]


class NoFault(Fault):
    allows_unknown = False

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, 0.999)


class StoreDown(Fault):
    name = "store-down"
    needs_daemon = True
    allows_unknown = False

    def inject(self):
        self.site.store_fault("down")

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, 0.999)
        self.expect(summary["refused_within_rate"] == 0, "the store's outage led to refusals")


class StoreSlow(StoreDown):
    name = "store-slow"

    def inject(self):
        self.site.store_fault("slow", value=800)


class StoreLoseAnswer(Fault):
    name = "store-lose-answer"
    needs_daemon = True
    allows_unknown = False

    def inject(self):
        self.site.store_fault("lose-answer", value=5)
        path = self.site.write_changed_config("change.json", lambda config: config["workspaces"][0].update(
            weight=config["workspaces"][0].get("weight", 1) + 1))
        code = self.site.apply(path)
        log_status(f"rwf apply with lost store responses exited {code}")
        time.sleep(2)
        found = self.site.generations()
        self.expect(len(set(found.values())) == 1, f"entry VMs disagree on the generation: {found}")
        self.expect(code != 0 or set(found.values()) == {self.site.generation + 1},
                    f"the change was accepted, but the generations are {found}")


class VmFault(Fault):
    needs_daemon = True

    def target_vm(self):
        return self.site.config["entry_vms"][1]["id"]


class VmKill(VmFault):
    name = "vm-kill"
    allows_limited = True

    def inject(self):
        self.killed_ms = time.time() * 1000
        self.site.vms[self.target_vm()].kill()
        time.sleep(1)
        self.site.report_vms(leaving=[self.target_vm()])

    def check(self, summary, calls):
        later = [it for it in calls if it["started_ms"] > self.killed_ms + 3000]
        limited = sum(it["limited_within_rate"] for it in later)
        self.expect(limited <= 0.01 * len(later), f"{limited} of {len(later)} refused 3 s after the kill")
        self.expect_answered_ratio(summary, 0.98)


class VmPause(VmFault):
    name = "vm-pause"
    allows_limited = True

    def inject(self):
        process = self.site.vms[self.target_vm()]
        process.signal(signal.SIGSTOP)
        time.sleep(5)
        process.signal(signal.SIGCONT)

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, 0.95)


class VmRestart(VmFault):
    name = "vm-restart"
    allows_unknown = False
    allows_limited = True

    def inject(self):
        for vm in self.site.config["entry_vms"]:
            code = self.site.vms[vm["id"]].stop(STOP_SECONDS)
            self.expect(code == 0, f"{vm['id']} ended with {code} on SIGTERM")
            self.site.start_vm(vm)
            self.site.wait_for((vm["address"], vm["caller_port"]), "/ready")
            log_status(f"{vm['id']} restarted")
            # Waits for the quarantine of the new process.
            time.sleep(2)

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, 0.99)


class KeyWithdrawn(Fault):
    name = "key-withdrawn"
    needs_daemon = True
    allows_unknown = False

    def inject(self):
        self.workspace = self.site.config["workspaces"][0]["name"]
        digest = self.site.key_digest(self.workspace)

        code = self.site.run_rwf("key", "withdraw", digest)
        self.expect(code == 0, f"rwf key withdraw exited {code}: not every VM confirmed")
        self.at_ms = time.time() * 1000

    def check(self, summary, calls):
        keyed = [it for it in calls if it["workspace"] == self.workspace and not it["open"]]
        late = [it for it in keyed if it["told"] == "answered" and it["ended_ms"] > self.at_ms + TAKES_EFFECT_MS]
        refused = [it for it in keyed if it["code"] in ("key-withdrawn", "key-unknown")]
        self.expect(not late, f"{len(late)} requests with the key answered 3 s after its withdrawal")
        self.expect(refused, "no request was refused for its key")
        others = [it for it in calls if it["workspace"] != self.workspace and it["told"] != "answered"]
        self.expect(not others, f"{len(others)} requests of other workspaces not answered")


class UpstreamFault(Fault):
    upstream_fault = ("none", {})
    min_answered_ratio = 0.99

    def inject(self):
        name, fields = self.upstream_fault
        self.site.upstream_fault(name, **fields)

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, self.min_answered_ratio)


class UpstreamCrash(UpstreamFault):
    name = "upstream-crash"
    needs_daemon = True
    min_answered_ratio = 0.98

    def inject(self):
        for it in self.service()["upstreams"][:2]:
            self.site.upstream_fault("crash", instance=it["id"], restart_ms=5000)


class PoisonRequest(Fault):
    name = "poison-request"
    needs_daemon = True

    def load_arguments(self, seconds):
        return ["--poison", POISON_MARKER, "--poison-after", str(seconds / 2)]

    def inject(self):
        self.site.upstream_fault("crash-on-marker", text=POISON_MARKER, restart_ms=2000)

    def check(self, summary, calls):
        crashes = self.site.upstream_stats()["total"].get("crashes", 0)
        poison = [it for it in calls if it["poison"]]
        self.expect(poison, "no poison request was sent")
        self.expect(1 <= crashes <= 3, f"{crashes} instances crashed, expected 1 to 3")
        self.expect(any(it["code"] == "suspected-crash" for it in poison),
                    "no poison request was refused as suspected-crash")
        self.expect_answered_ratio(summary, 0.99)


class UpstreamShed(UpstreamFault):
    name = "upstream-shed"
    upstream_fault = ("shed", {"value": 50, "seconds": 5})
    min_answered_ratio = 0.95
    needs_daemon = True


class UpstreamTruncate(UpstreamFault):
    name = "upstream-truncate"
    upstream_fault = ("truncate", {"value": 5, "seconds": 5})
    min_answered_ratio = 0.95
    needs_daemon = True


class UpstreamExtra(UpstreamFault):
    name = "upstream-extra"
    upstream_fault = ("extra", {"value": 20})
    min_answered_ratio = 0.95


class StaleLoad(UpstreamFault):
    name = "stale-load"
    upstream_fault = ("stale-load", {})
    min_answered_ratio = 0.999
    allows_unknown = False


class MisleadingHealth(Fault):
    name = "misleading-health"
    allows_unknown = False

    def inject(self):
        instances = self.service()["upstreams"]
        for it in instances[::2]:
            self.site.upstream_fault("misleading-health", instance=it["id"], value=0)
        # This instance reports that it is healthy and idle, but sheds all requests.
        self.site.upstream_fault("misleading-health", instance=instances[1]["id"], value=1)
        self.site.upstream_fault("misleading-load", instance=instances[1]["id"], value=0)
        self.site.upstream_fault("shed", instance=instances[1]["id"], value=100)

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, 0.99)


class ColdStart(Fault):
    name = "cold-start"
    needs_daemon = True

    def inject(self):
        instances = self.service()["upstreams"]
        for it in instances[: max(1, len(instances) // 4)]:
            self.site.upstream_fault("crash", instance=it["id"], restart_ms=500)

    def check(self, summary, calls):
        self.expect_answered_ratio(summary, 0.97)


class HotWorkspace(Fault):
    name = "hot-workspace"
    needs_daemon = True
    allows_unknown = False
    # Tail latency that the process of the callers adds at a higher total load.
    slack_ms = 20

    def load_arguments(self, seconds):
        self.hot = min(self.site.config["workspaces"], key=lambda it: it["rate"])["name"]
        # Several times its rate, even if the demo runs at a small fraction of the rates.
        factor = 8 * 0.5 / self.site.load_factor()
        return ["--hot", self.hot, "--hot-factor", str(factor), "--hot-after", str(seconds / 2)]

    def inject(self):
        self.at_ms = time.time() * 1000

    def check(self, summary, calls):
        others = [it for it in calls if it["workspace"] != self.hot]
        refused = [it for it in others if it["told"] != "answered"]
        self.expect(not refused, f"{len(refused)} requests of other workspaces not answered")
        # The first 5 s are the cold start of the upstreams.
        begin = min(it["started_ms"] for it in calls) + 5000
        before = [it["latency_ms"] for it in others if begin <= it["started_ms"] < self.at_ms]
        after = [it["latency_ms"] for it in others if it["started_ms"] >= self.at_ms]
        if len(before) < 100 or len(after) < 100:
            self.expect(False, "too few requests to compare; run with more --seconds")
            return
        p99 = [sorted(it)[int(0.99 * len(it))] for it in (before, after)]
        log_status(f"p99 of the other workspaces {p99[0]:.1f} ms before, {p99[1]:.1f} ms with {self.hot} hot")
        self.expect(p99[1] <= 1.5 * p99[0] + self.slack_ms,
                    f"p99 of other workspaces rose from {p99[0]} to {p99[1]} ms")
        self.expect(any(it["code"] == "rate-limited" for it in calls if it["workspace"] == self.hot),
                    "the hot workspace was never limited")


class OperatorRace(Fault):
    name = "operator-race"
    needs_daemon = True
    allows_unknown = False

    def inject(self):
        vms = self.site.config["entry_vms"]
        paths = [self.site.write_changed_config(
            f"race-{n}.json", lambda config, n=n: config["workspaces"][n].update(weight=n + 5)) for n in (0, 1)]
        racers = [self.site.apply_process(path, vm) for path, vm in zip(paths, (vms[0], vms[-1]))]
        codes = [it.wait(60) for it in racers]
        log_status(f"the racing rwf apply exited {codes}")
        self.expect(0 in codes, f"no operator's change was accepted: {codes}")
        deadline = time.monotonic() + IN_FORCE_SECONDS
        while time.monotonic() < deadline and len(set(self.site.generations().values())) > 1:
            time.sleep(0.2)
        found = self.site.generations()
        self.expect(len(set(found.values())) == 1, f"entry VMs disagree on the generation: {found}")


class Drain(Fault):
    needs_daemon = True
    allows_unknown = False

    def target(self):
        """Returns the kind and id of the drain, and the instances that must get no new requests."""
        raise NotImplementedError

    def inject(self):
        kind, target, self.instances = self.target()
        log_status(f"draining {kind} {target}")
        code = self.site.run_rwf("drain", "start", kind, target)
        self.expect(code == 0, f"rwf drain start exited {code}")
        self.at_ms = time.time() * 1000

    def check(self, summary, calls):
        runs = [it for it in self.site.runs() if it["instance"] in self.instances]
        late = [it for it in runs if it["started_ms"] > self.at_ms + TAKES_EFFECT_MS]
        self.expect(runs, "the drained instances never ran a request")
        self.expect(not late, f"{len(late)} requests started at drained instances 3 s after the drain")
        self.expect_answered_ratio(summary, 0.999)


class DrainUpstream(Drain):
    name = "drain-upstream"

    def target(self):
        instance = self.service()["upstreams"][0]["id"]
        return "upstream", instance, {instance}


class DrainZone(Drain):
    name = "drain-zone"

    def target(self):
        zone = self.service()["upstreams"][0]["zone"]
        instances = {it["id"] for service in self.site.config["services"]
                     for it in service["upstreams"] if it["zone"] == zone}
        return "zone", zone, instances


class Move(Fault):
    name = "move"
    needs_daemon = True
    allows_unknown = False

    def seconds(self, wanted):
        return max(wanted, 60)

    def inject(self):
        service = self.service()
        zones = sorted({it["zone"] for it in service["upstreams"]})
        move = {"id": "demo-move", "service": service["name"], "from": zones[0], "to": zones[1], "percent": 50,
                "step_percent": 25, "step_interval_s": 8, "cap_percent": 90, "state": "running", "step": 0}
        self.instances = {it["id"] for it in service["upstreams"] if it["zone"] == zones[1]}
        self.at_ms = self.site.apply_change(lambda config: config.update(moves=[move]))

    def check(self, summary, calls):
        service = self.service()["name"]
        service_calls = [it for it in calls if it["service"] == service and it["told"] == "answered"]
        last_ms = max(it["started_ms"] for it in calls) - 10000

        def share(subset):
            return sum(it["instance"] in self.instances for it in subset) / max(1, len(subset))

        before = share([it for it in service_calls if it["started_ms"] < self.at_ms])
        after = share([it for it in service_calls if it["started_ms"] > last_ms])
        log_status(f"share of the target zone {before:.2f} before, {after:.2f} at the end")
        self.expect(after > before + 0.02, f"the target's share went from {before:.2f} to {after:.2f}")
        self.expect_answered_ratio(summary, 0.999)


ALL = [NoFault, StoreDown, StoreSlow, StoreLoseAnswer, VmKill, VmPause, VmRestart, KeyWithdrawn, UpstreamCrash,
       PoisonRequest, UpstreamShed, UpstreamTruncate, UpstreamExtra, StaleLoad, MisleadingHealth, ColdStart,
       HotWorkspace, OperatorRace, DrainUpstream, DrainZone, Move]


def available():
    """Returns the faults that can be injected with the programs of this tree."""
    return {it.name: it for it in ALL if has_daemon() or not it.needs_daemon}
