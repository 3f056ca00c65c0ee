"""A server leaves, and processes are killed right after its departure was confirmed."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins  # noqa: E402
from fleet import BOUNDS, CannotRun, Fleet, Operator, finish  # noqa: E402

# The processes are back so long after the kill: within a second.
DOWN_S = 0.7
# The server serves for so long after the confirmation: `drain_ms`, and some seconds longer.
SERVES_S = 6.0
# Work of a request at the server that leaves; the largest of its kind on the sheet.
WORK_S = 0.22
# Pause between two requests of one client.
PAUSE_S = 0.1
CLIENTS = 6
IN_TOUCH_S = BOUNDS["stable_window_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


async def play(record, trouble):
    fleet, operator = Fleet(record), Operator(record)
    tasks, servers = [], []
    try:
        core = [fleet.add(f"core-{zone}-1", "control", zone) for zone in fleet.zones]
        front = [fleet.add(f"front-{zone}-1", "entry", zone) for zone in fleet.zones[:2]]
        seeds = [machine.address("control") for machine in core]
        for machine in core + front:
            machine.start(True, seeds)
        route = ("/book/", "unsafe", "desk", 1, 1200)
        config = standins.server_config(1, [route], [("desk", False)])
        if not await asyncio.to_thread(operator.replace, config, seeds, 10):
            raise CannotRun("the first config was not acknowledged")
        arrivals, cut = [], []

        async def leave_cut(server, request, writer):
            """Runs a request; it ends without an answer if the server exits meanwhile."""
            ident = request["headers"].get("attempt-id", "")
            if not request["line"].startswith("POST /book/"):
                return None
            arrivals.append((time.monotonic(), ident))
            server.running += 1
            server.runs.append(ident)
            try:
                await asyncio.sleep(WORK_S)
            finally:
                server.running -= 1
            if gone.is_set():
                cut.append(ident)
                return False
            body = f"answer to {ident}"
            writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {ident}\r\nServer-Seal: s.{server.id}\r\n"
                          f"Server-Load: {server.running},0,{server.slots}\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            await writer.drain()
            return True

        gone = asyncio.Event()
        for number, zone in enumerate(fleet.zones):
            server = standins.Server(
                record, f"i-{number}", "desk", f"{fleet.net}.{101 + number}",
                fleet.ports["front"], zone, 6, seeds, leave_cut if number == 0 else None)
            await server.start()
            servers.append(server)
        leaving = servers[0]
        answers = {}

        async def client(number):
            turn = 0
            while True:
                ident = f"c{number}-{turn}"
                turn += 1
                entry = front[turn % len(front)].address("front")
                sent = time.monotonic()
                kind, status, _ = await standins.request(
                    entry, ident, "/book/lot", "POST", b"a burl", deadline_ms=2500)
                answers[ident] = (sent, kind, status)
                await asyncio.sleep(PAUSE_S)

        await asyncio.sleep(2)
        tasks += [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(5)
        if not arrivals:
            raise CannotRun("no request reached the server while it was ready")

        # The server never reports `draining`: it deregisters, serves on and exits.
        leaving.tasks[0].cancel()
        body = f'{{"born": {leaving.born}}}'.encode()
        status, _ = await standins.http_call(
            seeds[0], "POST", f"/-/Instances.Deregister/{leaving.id}", body, 1.0)
        confirmed = time.monotonic()
        if status != 200:
            raise CannotRun(f"the departure was not confirmed: {status}")
        record(f"the departure of {leaving.id} was confirmed by {core[0].name}")
        calm = confirmed
        if trouble:
            # All of the core and half of the fronts.
            killed = core + front[:1]
            for machine in killed:
                machine.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for machine in killed:
                machine.kill()
                machine.start(False, seeds)
            calm = time.monotonic()
        await asyncio.sleep(max(0.0, confirmed + SERVES_S - time.monotonic()))
        gone.set()
        await leaving.stop()
        record(f"{leaving.id} has exited")
        await asyncio.sleep(3)

        # Requests that were sent, and reached the server, when the machines were in touch.
        since = max(confirmed + DRAIN_S, calm + IN_TOUCH_S)
        late = [(at, ident) for at, ident in arrivals
                if at > since and answers.get(ident, (0,))[0] > since]
        for at, ident in late:
            sent, kind, status = answers[ident]
            record(f"request {ident}, sent {sent - confirmed:.2f} s after the confirmation, "
                   f"reached {leaving.id} at {at - confirmed:.2f} s; the client got {kind} {status}")
        counts = {}
        for _, kind, status in answers.values():
            counts[f"{kind} {status}"] = counts.get(f"{kind} {status}", 0) + 1
        record(f"answers: {counts}")
        record(f"{leaving.id} exited while it ran {cut}")
        if not all(machine.is_running() for machine in core + front):
            raise CannotRun("a process has ended")
        if late:
            lost = [ident for ident in cut if answers[ident][2] != 200]
            return (f"{len(late)} requests reached a server that had left, "
                    f"{len(lost)} of them are lost with it")
        return None
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            await server.stop()
        fleet.close()


finish(lambda record, trouble: asyncio.run(play(record, trouble)))
