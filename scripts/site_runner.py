"""Runs a whole site on this machine: store, upstreams, entry VMs, callers. Used by scripts/demo and scripts/bench."""
import copy
import hashlib
import http.client
import json
import os
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
STORE = ("127.0.0.1", 7900)
ADMIN = ("127.0.0.1", 7901)
MAX_REQUESTS_PER_SECOND = 600  # one machine sustains this with a margin
READY_SECONDS = 30
# Maximum duration of a planned stop: look-up TTL, one second, and the longest request.
STOP_SECONDS = 20
SERVICE_MS = {"heater-desk": 20, "yard-library": 60, "booking-desk": 30, "counter-till": 50}


class SiteError(Exception):
    """The site could not be run; the guarantees were not checked."""


def log_status(text):
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def read_json(path):
    """Reads JSON with // and /* */ comments."""
    with open(path, encoding="utf-8") as f:
        text = f.read()
    pattern = r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/'
    return json.loads(re.sub(pattern, lambda m: m.group(1) or "", text, flags=re.S))


def call(target, method, path, body=None, timeout=5, headers=None):
    """Sends one HTTP request; returns (status, text)."""
    connection = http.client.HTTPConnection(*target, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def has_daemon():
    """Returns whether this source tree has the daemon and the operators' program."""
    return all(os.path.exists(f"{ROOT}/programs/{name}.cc") for name in ("redwingferryd", "rwf"))


class Process:
    """A child process that never outlives the runner."""

    def __init__(self, arguments, log, stdout=None):
        self.name = os.path.basename(arguments[0])
        self.log = open(log, "ab")
        self.popen = subprocess.Popen(arguments, stdout=stdout or self.log, stderr=self.log)

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def stop(self, seconds):
        """Sends SIGTERM and returns the exit code; None if the process had to be killed."""
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()


class Site:
    """The processes of one site. `config` is the configuration document that is applied."""

    def __init__(self, config, keys, build, stop_after, service_ms=None):
        self.config = config
        self.keys = keys
        self.bin = f"{build}/bin"
        self.stop_after = str(stop_after)
        self.service_ms = service_ms
        self.dir = tempfile.mkdtemp(prefix="rwf-site-")
        self.token = secrets.token_hex(16)
        self.secret = secrets.token_hex(32)
        self.processes = []
        self.vms = {}
        self.generation = config.get("generation", 1)
        self.write("keys.json", keys)
        self.write("config.json", config)
        with open(self.path("token"), "w", encoding="utf-8") as f:
            f.write(self.token)
        os.chmod(self.path("token"), 0o600)

    @staticmethod
    def from_example(site, build, stop_after):
        config = read_json(f"{ROOT}/examples/{site}.config.json")
        questionnaire = read_json(f"{ROOT}/examples/{site}.questionnaire.json")
        return Site(config, questionnaire["demo_keys"], build, stop_after)

    def path(self, name):
        return f"{self.dir}/{name}"

    def write(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as f:
            json.dump(value, f)
        return self.path(name)

    def spawn(self, program, *arguments, stdout=None):
        process = Process([f"{self.bin}/{program}", *arguments], self.path(f"{program}.log"), stdout)
        self.processes.append(process)
        return process

    # Starting and stopping

    def start_upstreams(self):
        instances = []
        for service in self.config["services"]:
            for it in service["upstreams"]:
                instances.append({"id": it["id"], "service": service["name"], "address": it["address"],
                                  "port": it["port"], "slots": it["slots"],
                                  "connections": it.get("connections", 0),
                                  "service_ms": self.service_ms or SERVICE_MS.get(service["name"], 30)})
        self.spawn("rwf-upstream", "--instances", self.write("instances.json", instances),
                   "--admin-port", str(ADMIN[1]), "--stop-after", self.stop_after)
        self.wait_for(ADMIN, "/stats")

    def start_store(self):
        self.spawn("rwf-store", "--port", str(STORE[1]), "--stop-after", self.stop_after)
        self.wait_for(STORE, "/v1/stats")
        self.report_vms()

    def start_vm(self, vm):
        vms = self.config["entry_vms"]
        settings = {"vm": vm["id"], "zone": vm["zone"], "cluster": self.config["site"],
                    "store": f"http://{STORE[0]}:{STORE[1]}", "fleet_secrets": [self.secret],
                    "operator_token": self.token,
                    "listen": {name: vm[name]
                               for name in ("address", "caller_port", "peer_port", "operator_port")},
                    "seed_peers": [{"vm": it["id"], "address": it["address"], "peer_port": it["peer_port"]}
                                   for it in vms if it["id"] != vm["id"]]}
        path = self.write(f"settings-{vm['id']}.json", settings)
        process = Process([f"{self.bin}/redwingferryd", "--settings", path], self.path(f"vm-{vm['id']}.log"))
        self.processes.append(process)
        self.vms[vm["id"]] = process

    def start_fleet(self):
        for vm in self.config["entry_vms"]:
            self.start_vm(vm)
        first = self.config["entry_vms"][0]
        deadline = time.monotonic() + READY_SECONDS
        while (code := self.apply(self.path("config.json"), first)) != 0:
            if time.monotonic() > deadline:
                raise SiteError(f"rwf apply still exits {code}; logs in {self.dir}")
            time.sleep(0.5)
        for vm in self.config["entry_vms"]:
            self.wait_for((vm["address"], vm["caller_port"]), "/ready")

    def wait_for(self, target, path):
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            for it in self.processes:
                code = it.popen.poll()
                if code not in (None, 0, -signal.SIGKILL):
                    raise SiteError(f"{it.name} exited {code}; logs in {self.dir}")
            try:
                if call(target, "GET", path, timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise SiteError(f"no 200 from {target[0]}:{target[1]}{path} for {READY_SECONDS} s; logs in {self.dir}")

    def stop(self):
        """Stops all processes; returns those that did not exit as expected."""
        problems = []
        for process in self.vms.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for vm, process in self.vms.items():
            code = process.stop(STOP_SECONDS)
            if code != 0 and code != -signal.SIGKILL:
                problems.append(f"redwingferryd of {vm} exited {code} on SIGTERM")
        for process in self.processes:
            if process not in self.vms.values() and process.stop(5) is None:
                problems.append(f"{process.name} did not exit on SIGTERM")
        self.kill()
        return problems

    def kill(self):
        for process in self.processes:
            if process.popen.poll() is None:
                process.kill()

    # Operations

    def report_vms(self, leaving=()):
        vms = [{"id": it["id"], "address": it["address"], "state": "leaving" if it["id"] in leaving else "live"}
               for it in self.config["entry_vms"]]
        call(STORE, "POST", "/v1/vms", {"vms": vms})

    def apply_process(self, path, vm):
        return subprocess.Popen(
            [f"{self.bin}/rwf", "apply", "--endpoint", f"http://{vm['address']}:{vm['operator_port']}",
             "--token-file", self.path("token"), path],
            stdout=open(self.path("rwf.log"), "ab"), stderr=subprocess.STDOUT)

    def apply(self, path, vm=None):
        return self.apply_process(path, vm or self.config["entry_vms"][0]).wait(60)

    def run_rwf(self, *arguments):
        """Runs one operators' command at the first entry VM; returns its exit code."""
        vm = self.config["entry_vms"][0]
        command = [f"{self.bin}/rwf", *arguments, "--endpoint", f"http://{vm['address']}:{vm['operator_port']}",
                   "--token-file", self.path("token"), "--who", "demo"]
        with open(self.path("rwf.log"), "ab") as log:
            return subprocess.call(command, stdout=log, stderr=log, timeout=60)

    def write_changed_config(self, name, change):
        """Writes the current configuration with a change; its generation is the one that the change is based on."""
        config = copy.deepcopy(self.config)
        config["generation"] = self.generation
        change(config)
        return self.write(name, config)

    def apply_change(self, change):
        """Applies a change; returns the wall-clock time of its acceptance in ms."""
        path = self.write_changed_config("change.json", change)
        code = self.apply(path)
        if code != 0:
            raise SiteError(f"rwf apply of the change exited {code}; see {self.path('rwf.log')}")
        self.generation += 1
        self.config = read_json(path)
        return time.time() * 1000

    def generations(self):
        """Returns the generation in the look-up responses of each live entry VM."""
        out = {}
        for vm in self.config["entry_vms"]:
            if self.vms[vm["id"]].popen.poll() is not None:
                continue
            path = f"/v1/lookup?service={self.config['services'][0]['name']}"
            try:
                status, text = call((vm["address"], vm["caller_port"]), "GET", path,
                                    headers={"X-Client-Address": "10.0.0.1"})
                out[vm["id"]] = json.loads(text).get("generation") if status == 200 else status
            except (OSError, ValueError) as e:
                out[vm["id"]] = str(e)
        return out

    def upstream_fault(self, name, **fields):
        status, text = call(ADMIN, "POST", "/fault", {"name": name, **fields})
        if status != 200:
            raise SiteError(f"fault {name}: {text}")

    def store_fault(self, name, **fields):
        status, text = call(STORE, "POST", "/v1/fault", {"name": name, **fields})
        if status != 200:
            raise SiteError(f"fault {name}: {text}")

    def upstream_stats(self):
        return json.loads(call(ADMIN, "GET", "/stats")[1])

    def runs(self):
        """Returns the run ledger of the upstreams."""
        out = []
        while True:
            page = call(ADMIN, "GET", f"/ledger?from={len(out)}", timeout=20)[1].splitlines()
            if not page:
                return out
            out.extend(json.loads(line) for line in page)

    def key_digest(self, workspace):
        key = self.keys[workspace]
        key = key[0] if isinstance(key, list) else key
        return hashlib.sha256(key.encode()).hexdigest()

    # Callers

    def total_rate(self):
        return sum(it["rate"] for it in self.config["workspaces"])

    def load_factor(self):
        return min(0.5, MAX_REQUESTS_PER_SECOND / self.total_rate())

    def start_load(self, seconds, *arguments):
        """Starts the callers; finish_load stops them and reads the result."""
        return self.spawn("rwf-load", "--config", self.path("config.json"), "--keys", self.path("keys.json"),
                          "--seconds", str(seconds), "--upstream-admin", f"{ADMIN[0]}:{ADMIN[1]}",
                          "--log", self.path("load.jsonl"), "--stop-after", self.stop_after, *arguments,
                          stdout=subprocess.PIPE)

    @staticmethod
    def finish_load(process, wait_seconds=0):
        """Stops the callers if they have not finished after `wait_seconds`; returns their result."""
        try:
            process.popen.wait(wait_seconds)
        except subprocess.TimeoutExpired:
            process.signal(signal.SIGTERM)
        try:
            text, _ = process.popen.communicate(timeout=60)
        except subprocess.TimeoutExpired as e:
            raise SiteError("rwf-load did not exit within 60 s") from e
        lines = text.decode().splitlines()
        if not lines:
            raise SiteError(f"rwf-load exited {process.popen.returncode} without a result")
        return json.loads(lines[-1])

    def calls(self):
        """Returns every request of the last load, as logged by rwf-load."""
        with open(self.path("load.jsonl"), encoding="utf-8") as f:
            return [json.loads(line) for line in f]
