"""Model servers that are ranks of one group, after the platform's pages."""

import asyncio
import json

from standins import Server

# Groups of two ranks; 2 sets of 16 experts, 9 places a rank and set.
SETS, EXPERTS, PLACES, SPARE = 2, 16, 9, 4
# Duration of a pass, and of copying the experts of a map.
PASS_S, COPY_S = 0.1, 0.15
# Pause after which other experts are in demand.
SHIFT_S = 3.4
# Choices of an expert in a pass: of one in demand, and of another one.
HOT, COLD = 60, 3


def engine_config():
    """The `engine` of the service in a config."""
    return {
        "slots": 12, "kv_capacity_tokens": 372000, "kv_token_bytes": 96256,
        "link_mbps": 92000.0, "stride": 1, "models": [{"name": "m"}], "step_ms": 5.85,
        "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0, "pairs_per_m": 0.325,
        "chunk": 512, "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 138},
        "sets": SETS, "experts": EXPERTS, "placements": PLACES, "spare": SPARE,
        "expert_mb": 580.0, "expert_share": 0.85, "form_ms": 600.0,
    }


class Group:
    """Ranks that execute each pass together."""

    def __init__(self, record):
        self.record, self.ranks = record, []
        self.step, self.epoch = 0, 1
        self.changes, self.last_pass = 0, 0.0
        self.mixed = []
        self.began = asyncio.Event()

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PASS_S)
            if any(rank.held == self.step + 1 for rank in self.ranks):
                continue
            self.step += 1
            self.last_pass = loop.time()
            turn = int(loop.time() / SHIFT_S)
            for rank in self.ranks:
                rank.begin_pass(self.step, turn)
            versions = {rank.version for rank in self.ranks}
            if len(versions) > 1:
                self.mixed.append((self.step, sorted(versions)))
            self.began.set()
            self.began = asyncio.Event()


class Rank(Server):
    """One rank. Its streams get an event a pass."""

    def __init__(self, group, *args):
        super().__init__(*args, behave=Rank.act)
        self.group, self.rank = group, len(group.ranks)
        group.ranks.append(self)
        self.version, self.newest, self.fence, self.orders = 0, 0, -1, 0
        self.prepared = self.armed = self.held = None
        self.counts = [0] * (SETS * EXPERTS)

    def begin_pass(self, step, turn):
        if self.armed is not None and self.armed[1] == step:
            self.version, self.armed = self.armed[0], None
            self.group.changes += self.rank == 0
        # Two experts that map 0 has on one rank are in demand, others each time.
        hot = (turn * 5 % EXPERTS, (turn * 5 + 2) % EXPERTS)
        for index in range(SETS * EXPERTS):
            self.counts[index] += HOT if index % EXPERTS in hot else COLD

    async def act(self, request, writer):
        method, path, _ = request["line"].split(" ", 2)
        if path == "/-/report":
            return await self.send(writer, 200, {
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": self.orders, "queued": 0, "active": self.running,
                "kv_used": 0, "kv_total": 372000, "handles": 0, "size": len(self.group.ranks),
                "group": {"name": "g0", "epoch": self.group.epoch, "rank": self.rank,
                          "state": "open"},
                "step": self.group.step, "map": self.version, "prepared": self.prepared,
                "armed": self.armed and {"version": self.armed[0], "step": self.armed[1]},
                "held": self.held, "pace": 1.0, "born": self.born})
        if path.startswith("/-/picked"):
            return await self.send(writer, 200, {
                "step": self.group.step, "epoch": self.group.epoch, "counts": self.counts})
        if path == "/-/order":
            return await self.send(writer, self.order(json.loads(request["body"])), {})
        if "token-count" not in request["headers"]:
            return None
        return await self.stream(request, writer)

    async def send(self, writer, status, body):
        data = json.dumps(body).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()
        return True

    def order(self, order):
        """Carries out an order; returns the status of its answer."""
        fence, op, step = order.get("fence", 0), order["op"], order.get("step")
        if fence < self.fence:
            return 412
        self.fence = fence
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        version = order.get("version")
        if op == "prepare":
            if self.prepared == version:
                return 200
            if version <= self.newest or self.armed is not None:
                return 409
            self.newest, self.prepared = version, None
            asyncio.get_running_loop().call_later(COPY_S, self.copied, version)
        elif op == "arm":
            if self.armed == (version, step):
                return 200
            if self.prepared != version or step <= self.group.step:
                return 409
            self.armed = (version, step)
        elif op == "disarm":
            if self.version == version:
                return 409
            if self.armed is None or self.armed[0] != version:
                return 200
            self.armed = None
        elif op == "hold":
            if self.held == step:
                return 200
            if step <= self.group.step or self.held is not None:
                return 409
            self.held = step
        elif op == "go":
            if self.held != step:
                return 200
            self.held = None
        else:
            return 400
        self.orders += 1
        return 202

    def copied(self, version):
        if self.newest == version:
            self.prepared = version

    async def stream(self, request, writer):
        headers = request["headers"]
        ident = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id or self.running >= self.slots:
            return None
        self.running += 1
        self.runs.append(ident)
        try:
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                await self.group.began.wait()
                if number == first:
                    writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {ident}\r\n"
                                  f"Server-Seal: s.{self.id}\r\n"
                                  f"Server-Load: {self.running},0,{self.slots}\r\n"
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n").encode())
                event = f"id: {number}\ndata: {ident} {number}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                if writer.is_closing():
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True
