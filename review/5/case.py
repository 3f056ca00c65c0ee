"""The leader of the core is replaced as planned; then another disk is lost."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from fleet import BOUNDS, CannotRun, Fleet, Operator, finish  # noqa: E402

# The successor runs for so long before the old machine gets SIGTERM.
SUCCESSOR_FIRST_S = 6.0
# The next disk is lost so long after the old machine was removed: more than `catch_up_s`.
NEXT_LOSS_S = BOUNDS["catch_up_s"] + 0.3
# The machine whose disk was lost is back after so long, with an empty disk.
DOWN_S = 1.0
# The operator reads the config for so long: several times `stable_window_ms`.
READ_S = 15.0


def config(version):
    return {"version": version, "routes": [], "services": []}


def main(record, trouble):
    fleet, operator = Fleet(record), Operator(record)
    try:
        first = [fleet.add(f"core-{zone}-1", "control", zone) for zone in fleet.zones]
        seeds = [machine.address("control") for machine in first]
        for machine in first:
            machine.start(True, seeds)
        if not operator.replace(config(1), seeds, 10):
            raise CannotRun("the first config was not acknowledged")
        time.sleep(3)

        led = [machine for machine in first if "leader of term" in machine.log()]
        if len(led) != 1:
            raise CannotRun("no single leader since the start")
        leader = led[0]
        others = [machine for machine in first if machine is not leader]
        record(f"{leader.name} leads")
        successor = fleet.add(f"core-{leader.zone}-2", "control", leader.zone)
        successor.start(False, seeds)
        time.sleep(SUCCESSOR_FIRST_S)
        leader.signal(signal.SIGTERM)
        try:
            leader.process.wait(BOUNDS["grace_s"])
        except Exception:
            leader.kill()
        removed = time.monotonic()
        record(f"{leader.name} is removed for good")

        now = others + [successor]
        addresses = [machine.address("control") for machine in now]
        if not operator.replace(config(2), addresses, BOUNDS["ack_ms"] / 1000):
            raise CannotRun("no config was acknowledged after the replacement")
        time.sleep(max(0.0, removed + NEXT_LOSS_S - time.monotonic()))
        if trouble:
            victim = others[0]
            victim.kill()
            victim.lose_disk()
            time.sleep(DOWN_S)
            victim.start(False, addresses)
        time.sleep(BOUNDS["recovery_s"])

        if not all(machine.is_running() for machine in now):
            raise CannotRun("a process has ended")
        record("all machines have been back for longer than recovery_s")
        version = operator.read(addresses, READ_S)
        acknowledged = operator.replace(config(3), addresses, READ_S)
        if version is None:
            return "the acknowledged config 2 can't be read back"
        if version < 2:
            return f"config 2 was acknowledged, and version {version} is read back"
        if not acknowledged:
            return "a valid config is not acknowledged any more"
        return None
    finally:
        fleet.close()


finish(main)
