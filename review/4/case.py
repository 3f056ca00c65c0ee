"""The three first core machines are replaced one after the other; agents lose control."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import ranks  # noqa: E402
import standins  # noqa: E402
from fleet import BOUNDS, CannotRun, Fleet, Operator, finish  # noqa: E402

# A successor starts so long after its predecessor is gone, as in the day.
SUCCESSOR_S = 1.0
# Time between two replacements, as in the day: more than `catch_up_s` after the successor.
BETWEEN_S = 8.0
# Streams are counted for so long, before and after.
COUNTED_S = 12.0
PAUSE_S = 0.25
CLIENTS = 4


async def play(record, trouble):
    fleet, operator = Fleet(record), Operator(record)
    tasks, servers = [], []
    try:
        core = [fleet.add(f"core-{zone}-1", "control", zone) for zone in fleet.zones]
        front = fleet.add("front-oberpfalz-1", "entry", fleet.zones[0])
        side = [fleet.add(f"side-{zone}-1", "agent", zone) for zone in fleet.zones[:2]]
        seeds = [machine.address("control") for machine in core]
        group = ranks.Group(record)
        for number, machine in enumerate(side):
            app = f"{fleet.net}.{101 + number}"
            server = ranks.Rank(group, record, f"i-{number}", "llm", app, fleet.ports["front"],
                                machine.zone, 12, seeds)
            machine.extra = {"app": f"{app}:{fleet.ports['front']}", "service": "llm"}
            await server.start()
            servers.append(server)
        tasks.append(asyncio.create_task(group.run()))
        for machine in core + [front] + side:
            machine.start(True, seeds)
        config = standins.server_config(1, [("/llm/", "stream", "llm", 2, 8000)], [("llm", True)])
        config["services"][0]["engine"] = ranks.engine_config()
        if not await asyncio.to_thread(operator.replace, config, seeds, 10):
            raise CannotRun("the first config was not acknowledged")
        answers = []

        async def client(number):
            turn = 0
            while True:
                ident, sent = f"c{number}-{turn}", time.monotonic()
                turn += 1
                kind, status, _ = await standins.request(
                    front.address("front"), ident, "/llm/draft", "POST", b"a burl", stream=True,
                    deadline_ms=8000)
                answers.append((sent, ident, kind, status))
                await asyncio.sleep(PAUSE_S)

        def served(since, until):
            sent = [a for a in answers if since <= a[0] < until]
            return sum(a[2] == "whole" and a[3] == 200 for a in sent), len(sent)

        await asyncio.sleep(3)
        tasks += [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(COUNTED_S)
        start = time.monotonic()
        before, sent_before = served(0, start - 2)
        record(f"before: {before} of {sent_before} streams served, pass {group.step}, "
               f"{group.changes} changes of map")
        if before < sent_before / 2 or not group.changes:
            raise CannotRun("the group doesn't serve or doesn't change its map")

        # The one that leads goes last, so that all leave as the day has it: one at a time.
        leads = [m for m in core if "leader of term" in m.log()]
        if len(leads) != 1:
            raise CannotRun("no single leader since the start")
        now = list(core)
        for old in sorted(core, key=lambda machine: machine is leads[0]):
            began = time.monotonic()
            if trouble:
                old.kill()
                record(f"{old.name} is gone for good")
                await asyncio.sleep(SUCCESSOR_S)
                new = fleet.add(old.name[:-1] + "2", "control", old.zone)
                now = [m for m in now if m is not old] + [new]
                seeds = [m.address("control") for m in now]
                new.start(False, seeds)
                # The platform renders the settings anew and says so.
                for machine in side + [front]:
                    machine.render(False, seeds)
                    machine.signal(signal.SIGHUP)
                for server in servers:
                    server.controls = seeds
            await asyncio.sleep(max(0.0, began + BETWEEN_S - time.monotonic()))
        back = time.monotonic()
        await asyncio.sleep(BOUNDS["recovery_s"])

        since = time.monotonic()
        await asyncio.sleep(COUNTED_S + 9)
        after, sent_after = served(since, since + COUNTED_S)
        loop = asyncio.get_running_loop()
        record(f"after: {after} of {sent_after} streams served, pass {group.step}, begun "
               f"{loop.time() - group.last_pass:.1f} s ago, {group.changes} changes of map; "
               f"held: {[rank.held for rank in servers]}; {time.monotonic() - back:.0f} s "
               "after the last replacement")
        version = await asyncio.to_thread(operator.read, seeds, 5)
        if version != 1:
            raise CannotRun("control doesn't answer")
        if not all(machine.is_running() for machine in now + [front] + side):
            raise CannotRun("a process has ended")
        if after < sent_after / 4:
            return (f"{BOUNDS['recovery_s']} s after the machines were back {after} of "
                    f"{sent_after} streams were served; a quarter is the least")
        return None
    finally:
        for task in tasks:
            task.cancel()
        for server in servers:
            await server.stop()
        fleet.close()


finish(lambda record, trouble: asyncio.run(play(record, trouble)))
