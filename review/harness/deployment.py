"""Starts a small deployment of the project's programs on loopback addresses.

Each machine of the deployment is a loopback address of its own. The programs
are started with the commands of deploy/system.toml, and with settings that are
filled in from the project's own templates, as the users' platform does.
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
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT, READINESS, CONTROL, APP = 8161, 8167, 8166, 8080
FIRST_PORT, LAST_PORT = 7720, 7735
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
ZONES = {"gdl-a": "occidente", "gdl-b": "occidente", "cdmx-a": "centro"}
BOUNDS = {
    "ack_ms": 5000,
    "cancel_ms": 3000,
    "config_apply_ms": 2500,
    "contact_ms": 4000,
    "drain_ms": 2500,
    "evac_ms": 5000,
    "harm_ms": 4000,
    "lease_ms": 3000,
    "max_hold_ms": 10000,
    "recover_s": 12,
    "stop_ms": 400,
    "visible_ms": 3000,
}


class NotRun(Exception):
    """The case could not be brought about."""


def render(template, fields):
    """Fills in the placeholders and sections that the project's templates use."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                found = None
        return found

    def section(match):
        kind, name, inner = match.groups()
        return inner if bool(value(name)) == (kind == "#") else ""

    def placeholder(match):
        found = value(match.group(1))
        if found is None:
            return ""
        return ",".join(found) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


def free_subnet():
    """Returns a prefix of loopback addresses of which the first has free ports."""
    for _ in range(100):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
        try:
            for port in (FRONT, READINESS, CONTROL, APP, FIRST_PORT):
                with socket.socket() as probe:
                    probe.bind((prefix + "1", port))
        except OSError:
            continue
        return prefix
    raise NotRun("no free loopback addresses")


class Machine:
    def __init__(self, deployment, number, zone, machine_class, roles):
        self.deployment = deployment
        self.ip = deployment.prefix + str(number)
        self.name = f"{machine_class}-{number}"
        self.zone = zone
        self.machine_class = machine_class
        self.roles = roles
        self.processes = {}
        self.starts = 0

    def settings(self, role):
        return {
            "node_name": self.name,
            "role": role,
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "bind_addrs": {
                "front": f"{self.ip}:{FRONT}",
                "readiness_addr": f"{self.ip}:{READINESS}",
                "control": f"{self.ip}:{CONTROL}",
            },
            "port_range": [FIRST_PORT, LAST_PORT],
            "seeds": self.deployment.seeds,
            "bootstrap": self.starts == 1,
            "data_dir": os.path.join(self.deployment.folder, self.name, role),
            "app": f"{self.ip}:{APP}",
            "bounds": BOUNDS,
        }

    def start(self, role):
        self.starts += role == "control"
        folder = os.path.join(self.deployment.folder, self.name)
        os.makedirs(os.path.join(folder, role), exist_ok=True)
        rules = self.deployment.roles[role]
        with open(os.path.join(ROOT, rules["template"])) as file:
            text = render(file.read(), self.settings(role))
        path = os.path.join(folder, role + ".ini")
        with open(path, "w") as file:
            file.write(text)
        words = [path if word == "/etc/turmericswitch/local.yaml" else word for word in rules["run"].split()]
        with open(os.path.join(folder, role + ".log"), "ab") as log:
            self.processes[role] = subprocess.Popen(
                words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={"PATH": os.environ["PATH"], "TURMERICSWITCH_NODE_FILE": path},
            )

    def kill(self, role):
        self.processes[role].kill()
        self.processes[role].wait()


class Minion:
    """A stand-in of a minion beside its sidecar; `start` begins a new boot."""

    def __init__(self, deployment, machine, labels):
        self.deployment = deployment
        self.machine = machine
        self.labels = labels
        self.id = "i-" + machine.name
        self.process = None
        self.records_calls = False

    def start(self):
        machine = self.machine
        options = {
            "id": self.id,
            "ip": machine.ip,
            "sidecar": f"{machine.ip}:{CONTROL}",
            "service": SERVICE,
            "zone": machine.zone,
            "labels": ",".join(self.labels),
            "record": self.deployment.minion_record,
            "port": APP,
            "cpu": 32000,
            "mem-mb": 128000,
            "max-hold-ms": BOUNDS["max_hold_ms"],
            "heartbeat-ms": 1100,
            "record-calls": int(self.records_calls),
        }
        words = [sys.executable, os.path.join(ROOT, "review", "harness", "minion.py")]
        for name, text in options.items():
            words += ["--" + name, str(text)]
        log = os.path.join(self.deployment.folder, self.id + ".log")
        with open(log, "ab") as file:
            self.process = subprocess.Popen(words, stdout=file, stderr=file)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def be_late(self, is_late):
        """While it is late, the minion leaves calls without an answer and carries them out seconds later."""
        path = f"{self.deployment.minion_record}.late.{self.id}"
        if is_late:
            open(path, "w").close()
        else:
            os.remove(path)


class Deployment:
    def __init__(self, case_folder, side_machines, labels_of):
        """
        :param labels_of: Returns the labels of the minion with a number from 0.
        """
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
                raise NotRun(role["run"].split()[0] + " is not built")
        self.case_folder = case_folder
        self.folder = tempfile.mkdtemp(prefix="turmericswitch-review.")
        self.minion_record = os.path.join(self.folder, "minions.jsonl")
        open(self.minion_record, "w").close()
        self.events = []
        self.events_lock = threading.Lock()
        self.prefix = free_subnet()
        zones = list(ZONES)
        self.seeds = [f"{self.prefix}{number}:{CONTROL}" for number in (1, 2, 3)]
        self.edges = [Machine(self, n, zones[n - 1], "edge", ["control", "gateway"]) for n in (1, 2, 3)]
        self.sides = [
            Machine(self, 11 + n, zones[n % len(zones)], "side", ["sidecar"]) for n in range(side_machines)
        ]
        self.minions = [Minion(self, machine, labels_of(n)) for n, machine in enumerate(self.sides)]

    # Records

    def note(self, what, **fields):
        with self.events_lock:
            self.events.append({"t": round(time.monotonic(), 4), "what": what, **fields})

    def minion_events(self):
        with open(self.minion_record, "rb") as file:
            content = file.read()
        # The last line may be incomplete.
        return [json.loads(line) for line in content[: content.rfind(b"\n") + 1].splitlines()]

    def write_record(self, verdict):
        events = sorted(self.events + self.minion_events(), key=lambda each: each["t"])
        begun = events[0]["t"] if events else 0
        with open(os.path.join(self.case_folder, "record.txt"), "w") as file:
            file.write(verdict + "\n")
            file.write("Times are in seconds from the first line. A line without `minion` is of the consumer,\n")
            file.write("the operator or the platform.\n")
            for event in events:
                event = dict(event)
                at = event.pop("t") - begun
                what = event.pop("what")
                rest = " ".join(f"{name}={text}" for name, text in event.items())
                file.write(f"{at:9.3f} {what}: {rest}\n")

    # Calls

    def call(self, address, method, path, body=None, headers=None, timeout=3.0, quiet=False):
        """Returns the status and the decoded body; status 0 without an answer."""
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            connection.request(
                method, path, body=body, headers={"Content-Type": "application/json", **(headers or {})}
            )
            response = connection.getresponse()
            status, text = response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, json.dumps({"error": str(error)})
        finally:
            connection.close()
        try:
            answer = json.loads(text)
        except ValueError:
            answer = None
        if not quiet:
            self.note("answered", method=method, path=path, at=address, status=status, body=json.dumps(answer)[:200])
        return status, answer

    def put_config(self, routes, version=1, timeout_s=30):
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_connections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "warmup_s": 0.0,
                    "cold_per_s": 0.0,
                    "enforces_capacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        until = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until:
            address = self.seeds[number % len(self.seeds)]
            number += 1
            status, _ = self.call(address, "PUT", "/config", json.dumps(document), quiet=True)
            if status == 200:
                self.note("configuration acknowledged", version=version, at=address)
                return
            time.sleep(0.2)
        raise NotRun("the configuration was not acknowledged")

    def consumer(self, method, job, body=None, tries_s=20, headers=None):
        """Calls as a consumer: the same again, at another gateway, until the answer is clear.

        :returns: The status, and the decoded body; 0 without a clear answer in `tries_s`.
        """
        until = time.monotonic() + tries_s
        number = random.randrange(len(self.edges))
        status, answer = 0, None
        text = None if body is None else json.dumps(body)
        if body is not None:
            self.note("sent", method=method, path=PREFIX + job, body=text[:400])
        while time.monotonic() < until:
            edge = self.edges[number % len(self.edges)]
            number += 1
            status, answer = self.call(
                f"{edge.ip}:{FRONT}",
                method,
                PREFIX + job,
                text,
                {"Host": HOST, "X-Deadline-Ms": "3000", **(headers or {})},
            )
            if status in (200, 404, 410) or 400 <= status < 500 and status != 429:
                return status, answer
            time.sleep(0.25)
        return status, answer

    # Course

    def start(self):
        for edge in self.edges:
            for role in edge.roles:
                edge.start(role)
        for side in self.sides:
            side.start("sidecar")
        for minion in self.minions:
            minion.start()

    def wait_ready(self, timeout_s=30):
        until = time.monotonic() + timeout_s
        for edge in self.edges:
            while self.call(f"{edge.ip}:{READINESS}", "GET", "/ready", quiet=True)[0] != 200:
                if time.monotonic() > until:
                    raise NotRun("a gateway is not ready")
                time.sleep(0.1)
        while len({each["minion"] for each in self.minion_events() if each["what"] == "ping"}) < len(self.minions):
            if time.monotonic() > until:
                raise NotRun("not all minions are registered")
            time.sleep(0.1)

    def kill_core(self):
        for edge in self.edges:
            edge.processes["control"].kill()
        for edge in self.edges:
            edge.processes["control"].wait()
        self.note("all processes of the core are killed")

    def start_core(self):
        for edge in self.edges:
            edge.start("control")
        self.note("all processes of the core are started again")

    def stop(self):
        processes = [p for m in self.edges + self.sides for p in m.processes.values()]
        processes += [minion.process for minion in self.minions if minion.process]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        until = time.monotonic() + 6
        for process in processes:
            try:
                process.wait(max(0.05, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name="r-3hwrr6x", host=HOST, prefix=PREFIX, attempts=3, priority=0):
    return {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "type": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": priority,
        "service": SERVICE,
        "attempts": attempts,
        "stretch": 1.5,
        "allowed_regions": [],
    }


def end_run(*_):
    raise NotRun("the time is over")


def run_case(case_folder, play, side_machines, labels_of, prepare=lambda deployment: None):
    """Plays a case and exits with its result.

    :param play: Gets the deployment and whether the disruption is wanted; returns the reason
                 why the rule is broken, or an empty text.
    :param prepare: Gets the deployment before anything is started.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, end_run)
    deployment = None
    status, verdict = NOT_RUN, "NOT RUN"
    try:
        deployment = Deployment(case_folder, side_machines, labels_of)
        prepare(deployment)
        deployment.note("begin", trouble=int(trouble))
        deployment.start()
        broken = play(deployment, trouble)
        status = BROKEN if broken else HELD
        verdict = f"BROKEN: {broken}" if broken else "HELD"
    except NotRun as error:
        verdict = f"NOT RUN: {error}"
    except Exception as error:
        traceback.print_exc()
        verdict = f"NOT RUN: {error!r}"
    finally:
        if deployment:
            try:
                deployment.write_record(verdict)
            finally:
                deployment.stop()
    print(verdict)
    sys.exit(status)
