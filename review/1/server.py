"""Stand-in for a server. It speaks what PROTOCOL.md says of servers."""

import argparse
import asyncio
import json
import time

parser = argparse.ArgumentParser()
for name in ("id", "host", "port", "service", "zone", "controls", "log"):
    parser.add_argument("--" + name, required=True)
args = parser.parse_args()

born = int(time.time() * 1000)
log_file = open(args.log, "a", buffering=1)
running = 0


def log(text):
    log_file.write("%.3f server %s %s\n" % (time.time(), args.id, text))


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    return method, path, headers, body


def head(status, headers, extra):
    lines = ["HTTP/1.1 " + status]
    if "attempt-id" in headers:
        lines.append("Attempt-Id: " + headers["attempt-id"])
    lines.append("Server-Load: %d,0,6" % running)
    return ("\r\n".join(lines + extra) + "\r\n\r\n").encode()


async def answer(headers, writer):
    global running
    attempt = headers["attempt-id"]
    log("of %s runs %s" % (args.service, attempt))
    running += 1
    await asyncio.sleep(0.03)
    running -= 1
    body = ("answer of %s" % args.service).encode()
    extra = ["Server-Seal: seal." + args.id, "Content-Length: %d" % len(body)]
    writer.write(head("200 OK", headers, extra) + body)


async def serve(reader, writer):
    try:
        while True:
            method, path, headers, _ = await read_request(reader)
            if method == "GET" and path == "/health":
                writer.write(head("200 OK", headers, ["Instance-Id: " + args.id, "Content-Length: 0"]))
            elif headers.get("expect-instance", args.id) != args.id:
                writer.write(head("421 Misdirected Request", headers, ["Not-Run: 1", "Content-Length: 0"]))
            elif "attempt-id" not in headers:
                writer.write(head("400 Bad Request", headers, ["Not-Run: 1", "Content-Length: 0"]))
            elif running >= 6:
                writer.write(head("503 Service Unavailable", headers, ["Not-Run: 1", "Content-Length: 0"]))
            else:
                await answer(headers, writer)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    finally:
        writer.close()


async def call(address, path, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    data = json.dumps(body).encode()
    writer.write(
        b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
        b"Connection: close\r\n\r\n%s" % (path.encode(), address.encode(), len(data), data)
    )
    status = await asyncio.wait_for(reader.readline(), 1)
    writer.close()
    return int(status.split()[1])


async def check_in():
    sequence = 0
    controls = args.controls.split(",")
    told = None
    while True:
        state = "ready"
        body = {
            "service": args.service,
            "address": "%s:%s" % (args.host, args.port),
            "zone": args.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "born": born,
        }
        for number in range(len(controls)):
            sequence += 1
            body["sequence"] = sequence
            try:
                status = await call(controls[number], "/-/Instances.Heartbeat/" + args.id, body)
            except (OSError, asyncio.TimeoutError, IndexError, ValueError):
                continue
            if status // 100 == 2:
                if told != state:
                    log("check-in as %s confirmed" % state)
                    told = state
                break
        await asyncio.sleep(1.2)


async def main():
    server = await asyncio.start_server(serve, args.host, int(args.port))
    asyncio.create_task(check_in())
    async with server:
        await server.serve_forever()


asyncio.run(main())
