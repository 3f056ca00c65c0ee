"""Servers and clients that follow the platform's pages, on one event loop."""

import asyncio
import json
import random
import time


def server_config(version, routes, services, tenants=(), timeout_ms=8000):
    """A complete config. `routes` holds (prefix, kind, service, max_attempts, timeout_ms)."""
    entries = []
    for prefix, kind, service, attempts, limit in routes:
        entries.append(
            {
                "name": "r-" + prefix.strip("/"),
                "host": "desk.example",
                "path_prefix": prefix,
                "kind": kind,
                "timeout_ms": limit,
                "target_latency_ms": 400,
                "priority": 1,
                "service": service,
                "max_attempts": attempts,
                "allow_anonymous": not tenants,
                "sticky": kind == "stream",
                "resumable": kind == "stream",
                "gap_target_ms": 120,
            }
        )
    known = []
    for name, engine in services:
        entry = {"name": name, "health_path": "/health", "max_connections": 248,
                 "protocol": "h1", "tls": False}
        if engine:
            entry["engine"] = {
                "slots": 12, "kv_capacity_tokens": 372000, "kv_token_bytes": 96256,
                "link_mbps": 92000.0, "stride": 5, "models": [{"name": "m"}],
                "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036,
                "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512,
                "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 138},
            }
        known.append(entry)
    return {
        "version": version,
        "routes": entries,
        "services": known,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": list(tenants),
    }


async def read_head(reader):
    """Reads a head; returns its first line and its headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """A sound server of one service, which checks in with the controls.

    `behave(server, request, writer)` may answer in place of the sound answer; it returns
    whether the connection is kept.
    """

    def __init__(self, record, ident, service, ip, port, zone, slots, controls, behave=None):
        self.record, self.id, self.service = record, ident, service
        self.ip, self.port, self.zone, self.slots = ip, port, zone, slots
        self.controls, self.behave = controls, behave
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.work_s = 0.03
        self.events = 10
        self.event_gap_s = 0.05
        self.tasks = []

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port)
        self.tasks.append(asyncio.create_task(self.check_in()))

    async def check_in(self):
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
            }).encode()
            order = random.sample(self.controls, len(self.controls))
            for control in order:
                status, _ = await http_call(
                    control, "POST", f"/-/Instances.Heartbeat/{self.id}", body, 1.0)
                if status == 200:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                length = int(headers.get("content-length", "0") or 0)
                body = await reader.readexactly(length) if length else b""
                request = {"line": line, "headers": headers, "body": body}
                if self.behave is not None:
                    kept = await self.behave(self, request, writer)
                    if kept is not None:
                        if kept:
                            continue
                        return
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        """The answer of a sound server."""
        headers = request["headers"]
        ident = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {ident}\r\n"
                         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        load = f"{self.running},0,{self.slots}"
        if self.running >= self.slots:
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {ident}\r\n"
                         f"Not-Run: 1\r\nServer-Load: {load}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.running += 1
        self.runs.append(ident)
        try:
            head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {ident}\r\nServer-Seal: s.{self.id}\r\n"
                    f"Server-Load: {self.running},0,{self.slots}\r\n")
            if "token-count" in headers:
                first = int(headers.get("last-event-id", "0")) + 1
                writer.write((head + "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n").encode())
                for number in range(first, self.events + 1):
                    await asyncio.sleep(self.event_gap_s)
                    event = f"id: {number}\ndata: {ident} {number}\n\n"
                    writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            else:
                await asyncio.sleep(self.work_s)
                body = f"answer to {ident}"
                writer.write((head + f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            await writer.drain()
        finally:
            self.running -= 1

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.listener.close()


async def http_call(address, method, path, body=b"", within=1.0, headers=()):
    """One call on a new connection; returns (status, body) or (None, reason)."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        head = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close",
                "Content-Type: application/json", f"Content-Length: {len(body)}"]
        head += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        await writer.drain()
        got = await read_head(reader)
        if got is None:
            return None, "closed"
        status = int(got[0].split(" ")[1])
        length = got[1].get("content-length")
        data = await (reader.readexactly(int(length)) if length else reader.read())
        return status, data

    try:
        return await asyncio.wait_for(exchange(), within)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
        return None, type(e).__name__
    finally:
        if writer is not None:
            writer.close()


async def request(entry, ident, path, method="GET", body=b"", stream=False, deadline_ms=2500,
                  headers=()):
    """One client attempt; returns (kind, status, body).

    `kind` is "whole", "cut in the answer", "cut, no answer" or "no connection".
    """
    host, port = entry.rsplit(":", 1)
    writer, status, data = None, None, b""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 20), 1.0)
    except (OSError, asyncio.TimeoutError):
        return "no connection", None, b""
    head = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"Attempt-Id: {ident}",
            f"Deadline-Ms: {deadline_ms}"]
    if stream:
        head += ["Model: m", "Token-Count: 800,138", f"Prompt-Prefix: aa:40,{ident}:760"]
    head += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")

    async def exchange():
        nonlocal status, data
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        await writer.drain()
        got = await read_head(reader)
        if got is None:
            return "cut, no answer"
        status = int(got[0].split(" ")[1])
        fields = got[1]
        if "content-length" in fields:
            data = await reader.readexactly(int(fields["content-length"]))
        elif "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                data += chunk[:-2]
        else:
            data = await reader.read()
        return "whole"

    try:
        kind = await asyncio.wait_for(exchange(), deadline_ms / 1000 + 1)
    except asyncio.TimeoutError:
        kind = "left at the deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        kind = "cut in the answer" if status is not None else "cut, no answer"
    finally:
        writer.close()
    return kind, status, data
