"""One entry VM: the real program as a child process, its settings, its log and its signals."""
import json
import os
import signal
import subprocess

GRACE_S = 6.0


class Vm:
    def __init__(self, name, region, zone, address, store, folder, program, zones):
        self.name = name
        self.region = region
        self.zone = zone
        self.address = address
        self.front = (address, 8388)
        self.lookup = (address, 8383)
        self.peer = (address, 7560)
        self.program = program
        self.log = os.path.join(folder, f"{name}.log")
        self.path = os.path.join(folder, f"{name}.json")
        self.process = None
        self.starts = 0
        self.is_paused = False
        settings = {
            "vm": name, "zone": zone, "region": region,
            "listen": {"callers": f"{address}:8388", "readiness": f"{address}:8384", "lookups": f"{address}:8383"},
            "link_mbps": 1000, "cpu_share": 0.5, "first_internal_port": 7560, "store": f"{store[0]}:{store[1]}",
            "region_of_zone": zones,
            "bounds": {"key_withdrawal_s": 5, "stop_s": GRACE_S, "retry_window_s": 10, "retry_ratio": 0.2,
                       "retry_extra": 64, "limit_tolerance_ratio": 0.1, "limit_tolerance_requests": 20,
                       "limit_window_s": 5, "max_shift": 0.15, "lookup_ttl_s": 5}}
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(settings, f, indent=1)

    def start(self):
        # Overlapping faults may both start the VM; a second process would find the addresses in use.
        if self.is_running():
            return
        self.starts += 1
        self.is_paused = False
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen([self.program, "--settings", self.path], stdout=out, stderr=out)

    @property
    def process_name(self):
        return f"{self.name}#{self.starts}"

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if not self.is_running():
            return
        self.process.send_signal(number)
        if number == signal.SIGSTOP:
            self.is_paused = True
        if number == signal.SIGCONT:
            self.is_paused = False

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()
