"""Starts the release programs as separate processes on loopback addresses.

Settings are rendered from the templates that `deploy/system.toml` names, with the
values of a small deployment. Each machine has a loopback address of its own, so that
all of them use the same ports, as on the platform.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of the deployment, as its sheet states them.
BOUNDS = {
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_ms": 2000,
    "budget_slack": 88,
    "budget_window_s": 10,
    "recovery_s": 12,
}


class CannotRun(Exception):
    """The case could not be carried out; it says nothing about the rule."""


def render(template, values):
    """Fills in a settings template (the subset of the language that deploy/ uses)."""

    def lookup(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        entries = lookup(match.group(1))
        keys = list(entries)
        out = []
        for position, key in enumerate(keys):
            text = match.group(2).replace("{{@}}", str(key))
            out.append(text.replace("{{,}}", "," if position + 1 < len(keys) else ""))
        return "".join(out)

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = lookup(name)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")
                self.file.flush()
            print(line, flush=True)

    def now(self):
        return time.monotonic() - self.start


def is_free(address):
    with socket.socket() as s:
        try:
            s.bind(address)
        except OSError:
            return False
    return True


class Machine:
    """One machine: an address, a role, and perhaps a disk."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.data = os.path.join(fleet.folder, name, "data")
        self.settings = os.path.join(fleet.folder, name, "local.json")
        self.log_path = os.path.join(fleet.folder, name, "log.txt")
        os.makedirs(os.path.dirname(self.settings), exist_ok=True)
        self.process = None
        self.extra = {}

    def address(self, what):
        return f"{self.ip}:{self.fleet.ports[what]}"

    def render(self, bootstrap, seeds):
        """Writes the settings file; returns the entry of the role in the deploy file."""
        values = {
            "node": self.name,
            "zone": self.zone,
            "region": "bayern",
            "ip": self.ip,
            "internal_ports": [self.fleet.ports["links"], self.fleet.ports["links"] + 1],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "heartbeat_ms": 1200,
            "data_dir": self.data,
            "zones": {zone: "bayern" for zone in self.fleet.zones},
            "listen": {
                key: self.address(key) for key in ("front", "ready", "control", "directory")
            },
            "fault_tolerance": {"machines": self.fleet.losses, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            **self.extra,
        }
        role = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            text = render(f.read(), values)
        # The port of the metrics page is the only one that the templates fix.
        text = text.replace(":9464", f":{self.fleet.ports['metrics']}")
        json.loads(text)
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        return role

    def start(self, bootstrap, seeds):
        """Starts the process with newly rendered settings."""
        role = self.render(bootstrap, seeds)
        command = role["run"].replace("/etc/lovageramp/local.toml", self.settings).split()
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} is not built")
        log = open(self.log_path, "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["LOVAGERAMP_BOOT"] = self.settings
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.fleet.record(f"{self.name} started at {self.ip}, bootstrap {str(bootstrap).lower()}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)
            self.fleet.record(f"{self.name} got {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.fleet.record(f"{self.name} lost its disk")

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()


class Fleet:
    """The machines of a case."""

    def __init__(self, record, zones=("oberpfalz", "allgaeu", "franken"), losses=1):
        self.record, self.zones, self.losses = record, list(zones), losses
        self.folder = tempfile.mkdtemp(prefix="lovageramp-review-")
        self.machines = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        rng = random.SystemRandom()
        # A net of addresses and ports of this run's own.
        self.net = f"127.{rng.randrange(16, 240)}.{rng.randrange(1, 250)}"
        names = ["front", "ready", "control", "directory", "metrics", "links"]
        for _ in range(100):
            base = rng.randrange(20000, 30000)
            self.ports = {name: base + i for i, name in enumerate(names)}
            probes = [(f"{self.net}.1", port) for port in range(base, base + 8)]
            if all(is_free(probe) for probe in probes):
                break
        else:
            raise CannotRun("no free ports")

    def add(self, name, role, zone):
        machine = Machine(self, name, role, f"{self.net}.{len(self.machines) + 1}", zone)
        self.machines.append(machine)
        return machine

    def close(self):
        for machine in self.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP") == "1":
            self.record(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, within=1.0):
    """One HTTP call; returns (status, headers, body), or (None, {}, reason)."""
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=within)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        response = conn.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as e:
        return None, {}, f"{type(e).__name__}: {e}"
    finally:
        conn.close()


class Operator:
    """Sends and reads configs, as the platform's operator does."""

    def __init__(self, record):
        self.record = record
        self.position = 0

    def replace(self, config, addresses, within):
        """Sends a config to one control after the other until one acknowledges it."""
        body = json.dumps(config).encode()
        end, pause, answers = time.monotonic() + within, 0.05, []
        while time.monotonic() < end:
            address = addresses[self.position % len(addresses)]
            self.position += 1
            status, _, _ = call(
                address, "POST", "/-/Config.Replace", body, {"Content-Type": "application/json"}
            )
            answers.append(status)
            if status == 200:
                self.record(f"config {config['version']} acknowledged by {address}")
                return address
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        tail = ", ".join(str(a) for a in answers[-6:])
        self.record(
            f"config {config['version']} not acknowledged in {within:.0f} s, "
            f"{len(answers)} tries; last answers: {tail}"
        )
        return None

    def read(self, addresses, within):
        """Reads the config at one control after the other; returns its version, or None."""
        end, answers = time.monotonic() + within, []
        while time.monotonic() < end:
            address = addresses[self.position % len(addresses)]
            self.position += 1
            status, _, body = call(address, "GET", "/-/Config.Read")
            answers.append(status)
            if status == 200:
                version = json.loads(body)["version"]
                self.record(f"config read at {address}: version {version}")
                return version
            time.sleep(0.2)
        tail = ", ".join(str(a) for a in answers[-6:])
        self.record(f"config not readable in {within:.0f} s, {len(answers)} tries; last: {tail}")
        return None


def finish(main):
    """Runs a case and ends the process with its result."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record(f"disruption {'on' if trouble else 'off'}")
    try:
        broken = main(record, trouble)
    except CannotRun as e:
        record(f"result: could not run: {e}")
        sys.exit(2)
    except Exception as e:  # any other fault of the script itself
        record(f"result: could not run: {type(e).__name__}: {e}")
        raise SystemExit(2) from e
    record("result: " + (f"rule broken: {broken}" if broken else "rule held"))
    sys.exit(1 if broken else 0)
