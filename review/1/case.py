"""Other content under the version held, then planned restarts; see claim.txt."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.abspath(os.path.join(HERE, "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "lovageramp-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
SERVICES = ["huvo11a", "wuno96b"]
ZONES = ["celje", "maribor", "ptuj"]
REQUESTS = 40

record = open(os.path.join(HERE, "record.txt"), "w", buffering=1)
processes = []


def note(text):
    record.write("%.3f %s\n" % (time.time(), text))


def free_port(hosts):
    """A port that is free at all these addresses."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        sockets = []
        try:
            for host in hosts:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free port")


def start(name, command, folder):
    log = open(os.path.join(folder, name + ".log"), "w")
    process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
    processes.append(process)
    note("started %s as process %d" % (name, process.pid))
    return process


def write_json(folder, name, settings):
    path = os.path.join(folder, name + ".json")
    with open(path, "w") as file:
        json.dump(settings, file)
    return path


async def http(address, method, path, headers=(), body=b"", within=5.0):
    """One call; returns status and body."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + address, "Connection: close"]
    lines += list(headers) + ["Content-Length: %d" % len(body)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        data = await asyncio.wait_for(reader.read(-1), within)
    finally:
        writer.close()
    head, _, content = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), content


async def until(what, check, within):
    end = time.monotonic() + within
    while time.monotonic() < end:
        try:
            if await check():
                return
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            pass
        await asyncio.sleep(0.1)
    raise RuntimeError("not in time: " + what)


def config(service):
    """Config 7, with the route to this service."""
    services = [
        {"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": False}
        for name in SERVICES
    ]
    route = {
        "name": "r-2yhvz3p",
        "host": HOST,
        "path_prefix": "/puxa403/",
        "kind": "safe",
        "timeout_ms": 2500,
        "target_latency_ms": 150,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "allow_anonymous": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    return {"version": 7, "routes": [route], "services": services, "limits": limits, "tenants": tenants}


async def replace(address, service):
    status, _ = await http(address, "POST", "/-/Config.Replace", (), json.dumps(config(service)).encode())
    note("config 7 with the route to %s sent to %s: %d" % (service, address, status))
    return status == 200


async def read_back(address):
    status, body = await http(address, "GET", "/-/Config.Read")
    service = json.loads(body)["routes"][0]["service"] if status == 200 else None
    note("config read at %s: %d, route to %s" % (address, status, service))
    return service


async def request(address):
    """Which service has answered; none if the request was not served."""
    attempt = "%016x" % random.getrandbits(64)
    headers = ["Attempt-Id: " + attempt, "Deadline-Ms: 2500", "Authorization: Token " + KEY]
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    lines = ["GET /puxa403/2f HTTP/1.1", "Host: " + HOST, "Connection: close"] + headers
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    try:
        data = await asyncio.wait_for(reader.read(-1), 4)
    finally:
        writer.close()
    status, content = int(data.split()[1]), data.partition(b"\r\n\r\n")[2]
    service = content.decode().rpartition(" ")[2] if status == 200 else None
    note("client sends %s, gets %d, answered by %s" % (attempt, status, service))
    return service


async def stop(process):
    process.send_signal(signal.SIGTERM)
    note("process %d is told to end" % process.pid)
    for _ in range(100):
        if process.poll() is not None:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError("a process did not end")


async def run(folder):
    block = "127.%d.%d." % (random.randrange(20, 120), random.randrange(1, 250))
    control_ips = [block + str(2 + n) for n in range(3)]
    entry_ip, server_ips = block + "10", [block + "20", block + "21"]
    hosts = control_ips + [entry_ip] + server_ips
    ports = {}
    for name in ("links", "http", "operators", "directory", "front", "ready", "server"):
        while True:
            port = free_port(hosts)
            if port not in ports.values():
                ports[name] = port
                break
    seeds = ["%s:%d" % (ip, ports["operators"]) for ip in control_ips]
    key_file, token_file = os.path.join("deploy", "cluster.key"), os.path.join("deploy", "operator.token")
    def start_control(index, bootstrap):
        ip = control_ips[index]
        name = "core-%s-1" % ZONES[index]
        data = os.path.join(folder, name)
        os.makedirs(data, exist_ok=True)
        settings = {
            "operators": "%s:%d" % (ip, ports["operators"]),
            "directory": "%s:%d" % (ip, ports["directory"]),
            "seeds": seeds,
            "links_port": ports["links"],
            "control": {
                "name": name,
                "zone": ZONES[index],
                "zones": ZONES,
                "listen": "%s:%d" % (ip, ports["links"]),
                "http": "%s:%d" % (ip, ports["http"]),
                "data": data,
                "cluster_key_file": key_file,
                "operator_token_file": token_file,
                "snapshot_entries": 100,
                "timing": {
                    "redial_most_ms": 150,
                    "heartbeat_ms": 80,
                    "election_ms": 500,
                    "lease_ms": 600,
                    "lease_most_ms": 2400,
                },
                "forming": {"bootstrap": bootstrap, "losses": 1},
            },
        }
        return start(name, [PROGRAM, "control", "--settings", write_json(folder, name, settings)], folder)

    controls = [start_control(index, True) for index in range(3)]
    settings = {
        "name": "front-celje-1",
        "zone": "celje",
        "region": "vzhod",
        "callers": "%s:%d" % (entry_ip, ports["front"]),
        "ready": "%s:%d" % (entry_ip, ports["ready"]),
        "metrics": "%s:%d" % (entry_ip, ports["http"]),
        "seeds": seeds,
        "links_port": ports["links"],
        "cluster_key_file": key_file,
        "check_in_ms": 1200,
        "retry_slack": 88,
        "retry_window_ms": 10000,
        "grace_ms": 8000,
    }
    command = [PROGRAM, "entry", "--settings", write_json(folder, "front-celje-1", settings)]
    entry = start("front-celje-1", command, folder)
    callers, held = settings["callers"], SERVICES[0]

    await until("config", lambda: replace(random.choice(seeds), held), 30)
    for index, service in enumerate(SERVICES):
        values = {
            "id": "i-%d" % (index + 1),
            "host": server_ips[index],
            "port": ports["server"],
            "service": service,
            "zone": ZONES[0],
            "controls": ",".join(seeds),
            "log": os.path.join(folder, "servers.txt"),
        }
        server = [sys.executable, os.path.join(HERE, "server.py")]
        for name, value in values.items():
            server += ["--" + name, str(value)]
        start("server i-%d" % (index + 1), server, folder)

    async def served():
        return await request(callers) is not None

    await until("a request served", served, 30)
    before = [await request(callers) for _ in range(5)]
    if TROUBLE:
        await until("the other config", lambda: replace(random.choice(seeds), SERVICES[1]), 10)
        before += [await request(callers) for _ in range(5)]

    for index in range(3):
        await stop(controls[index])
        controls[index] = start_control(index, False)
        await until("the config read", lambda: read_back(seeds[index]), 20)
        await asyncio.sleep(3.0)
    await stop(entry)
    start("front-celje-1", command, folder)
    await until("a request served", served, 30)
    after = [await request(callers) for _ in range(REQUESTS)]
    await read_back(random.choice(seeds))
    return before + after


def judge(answers):
    broken = 0
    for service in answers:
        if service not in (None, SERVICES[0]):
            broken += 1
    if broken:
        note("BROKEN: CONFIG: other content under the version held is obeyed by %d requests" % broken)
    return broken


def end(number, frame):
    """Ends the script in order, so that it ends what it has started."""
    raise SystemExit(2)


def main():
    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    if not os.path.exists(PROGRAM):
        note("the program is not built")
        return 2
    folder = tempfile.mkdtemp(prefix="review-")
    try:
        answers = asyncio.run(run(folder))
    except (Exception, SystemExit) as error:
        # Whatever goes wrong here says nothing about the rule.
        note("could not run: %r" % error)
        answers = None
    finally:
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
        path = os.path.join(folder, "servers.txt")
        if os.path.exists(path):
            record.write("what the servers ran:\n" + open(path).read())
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(folder, ignore_errors=True)
    if answers is None:
        return 2
    broken = judge(answers)
    unserved = answers.count(None)
    if not broken and unserved:
        note("could not run: %d of %d requests were not served" % (unserved, len(answers)))
        return 2
    note("%d of %d requests broke the rule, trouble %s" % (broken, len(answers), TROUBLE))
    return 1 if broken else 0


sys.exit(main())
