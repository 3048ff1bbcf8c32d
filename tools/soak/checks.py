"""Checks the guarantees against what callers and upstreams observe. Times are seconds of the loop's clock."""
import collections
import dataclasses

DRAIN_S = 2.5  # until a draining instance gets no new requests, after the acknowledgement
CONFIG_S = 2.5  # until a configuration is in force
REVOKE_S = 5.0  # until every VM refuses a withdrawn key
SETTLE_S = 3.0  # a VM or the store counts as healthy this long after its last fault
STORE_OUTAGE_EXTRA_S = 5.0  # added to bounds of configuration and drain while the store is not healthy
QUOTA_S, QUOTA_RATIO, QUOTA_EXTRA = 5.0, 0.1, 20


@dataclasses.dataclass
class Sent:
    tenant: str
    vm: str
    idempotent: bool
    at: float
    status: int = 0  # 0: none yet; -1: the connection ended without a response


class Checks:
    def __init__(self, clock):
        self.clock = clock
        self.sent = {}
        self.ran = collections.defaultdict(list)  # request id to (time, instance)
        self.violations = []
        self.faulty_until = collections.defaultdict(float)  # by VM; "store"; "instances"
        self.stopping_until = collections.defaultdict(float)
        self.draining_since = {}
        self.revoked = {}  # tenant to the time of the acknowledgement
        self.versions = {}  # version to the time of the acknowledgement
        self.seen_version = collections.defaultdict(int)  # by process of a VM
        self.limits = {}

    def fail(self, rule, text):
        self.violations.append(f"{rule} at {self.clock():.2f} s: {text}")

    def mark_faulty(self, name, seconds):
        """Records a fault of a VM, the store or the instances that starts now and lasts `seconds`."""
        self.faulty_until[name] = max(self.faulty_until[name], self.clock() + seconds)

    def was_healthy(self, name, since):
        """Returns whether there was no fault from SETTLE_S before `since` on."""
        return self.faulty_until[name] + SETTLE_S < since

    def on_writes_repeated(self, since):
        """What operators and instances have written since then has been acknowledged again."""
        for times in (self.versions, self.revoked, self.draining_since):
            for name, at in times.items():
                if at >= since:
                    times[name] = self.clock()

    def on_sent(self, request_id, sent):
        self.sent[request_id] = sent

    def on_run(self, instance, request):
        now = self.clock()
        request_id = request.headers.get("x-request-id", "")
        sent = self.sent.get(request_id)
        if sent is None:
            self.fail("UNASKED", f"{instance.name} ran {request_id}, which no caller has sent")
            return
        self.ran[request_id].append((now, instance.name))
        if "authorization" in request.headers:
            self.fail("UNASKED", f"{instance.name} received the API key of {request_id}")
        if request.headers.get("x-tenant") != sent.tenant:
            self.fail("UNASKED", f"{request_id} of {sent.tenant} ran for {request.headers.get('x-tenant')}")
        if not sent.idempotent and len(self.ran[request_id]) > 1:
            self.fail("TWICE", f"{request_id} ran at {self.ran[request_id]}")
        revoked = self.revoked.get(sent.tenant)
        if revoked is not None and sent.at > revoked + REVOKE_S:
            self.fail("CONFIG", f"{request_id} ran {now - revoked:.2f} s after the withdrawal of its key")
        since = self.draining_since.get(instance.name)
        if since is not None and sent.at > since and now > since + DRAIN_S and self._bound_applies(
                sent.vm, since, DRAIN_S):
            self.fail("DRAIN", f"{request_id} from {sent.vm} reached {instance.name} {now - since:.2f} s "
                      "after its drain")

    def _bound_applies(self, vm, since, bound):
        store_is_sound = self.was_healthy("store", since)
        late = self.clock() > since + bound + STORE_OUTAGE_EXTRA_S
        return self.was_healthy(vm, since) and (store_is_sound or late) and self.was_healthy("instances", since)

    def on_response(self, request_id, status):
        self.sent[request_id].status = status

    def on_cut(self, request_id, vm, seconds):
        """The connection of a completely sent request ended without a response after `seconds`."""
        self.sent[request_id].status = -1
        is_planned = self.clock() < self.stopping_until[vm]
        started_at = self.sent[request_id].at
        is_undisturbed = all(self.was_healthy(name, started_at) for name in (vm, "instances"))
        if is_planned and is_undisturbed and seconds > 0.2:
            self.fail("LOST", f"{request_id} was cut by the planned stop of {vm} after {seconds:.2f} s")

    def on_probe(self, process, vm, version, sent_at, status):
        """Checks the response of one VM to a request on a route that `version` added."""
        acknowledged = self.versions[version]
        if status == 404:
            if self.seen_version[process] >= version:
                self.fail("CONFIG", f"{vm} reverted to a configuration before version {version}")
            elif sent_at > acknowledged + CONFIG_S and self._bound_applies(vm, acknowledged, CONFIG_S):
                self.fail("CONFIG", f"{vm} lacks version {version} after {sent_at - acknowledged:.2f} s")
        elif status == 200:
            self.seen_version[process] = max(self.seen_version[process], version)

    def finish(self):
        for request_id, sent in self.sent.items():
            if sent.status in (408, 421, 429, 503) and self.ran[request_id] and not sent.idempotent:
                self.fail("REFUSED", f"{request_id} was answered {sent.status} and ran")
        runs = collections.defaultdict(list)
        for request_id, times in self.ran.items():
            runs[self.sent[request_id].tenant] += [at for at, _ in times]
        for tenant, (rate, burst) in self.limits.items():
            max_runs = (rate * QUOTA_S + burst) * (1 + QUOTA_RATIO) + QUOTA_EXTRA
            times = sorted(runs[tenant])
            window_start = 0
            for window_end, at in enumerate(times):
                while times[window_start] < at - QUOTA_S:
                    window_start += 1
                if window_end - window_start + 1 > max_runs:
                    self.fail("QUOTA", f"{tenant}: {window_end - window_start + 1} runs in {QUOTA_S} s, "
                              f"{max_runs:.0f} allowed")
                    break
