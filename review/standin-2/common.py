"""Stand-ins for the review cases: the platform's store, engines, clients, and the start of entry processes.

Standard library only. Every address is a loopback address of its own 127.x.y.z per machine, ports are drawn free.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"


class CannotRun(Exception):
    """The case can't run here: neither kept nor broken."""


def free_port(ip):
    s = socket.socket()
    s.bind((ip, 0))
    port = s.getsockname()[1]
    s.close()
    return port


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """One HTTP head: first line and headers with lower-case names."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return b""


class Store:
    """The platform's store: keyed topics with reads, long polls and appends."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self, ip):
        self.port = free_port(ip)
        self.ip = ip
        self.server = await asyncio.start_server(self.serve, ip, self.port)

    async def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + value
        async with self.changed:
            self.topics.setdefault(topic, []).append(record)
            self.changed.notify_all()

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            n = record[0]
            key, value = record[1 : 1 + n].decode(), record[1 + n :]
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self.answer(line.split(" ")[1], body)
                writer.write(
                    f"HTTP/1.1 {status} S\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        q = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        topic = q.get("topic", "")
        if path == "/-/log-newest":
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in sorted(self.newest(topic).items())
            ]
            end = len(self.topics.get(topic, []))
            return 200, json.dumps({"items": items, "hasMore": False, "end": end}).encode()
        if path == "/-/log-read":
            start, wait = int(q.get("from", 0)), int(q.get("waitMs", 0)) / 1000
            if start > len(self.topics.get(topic, [])):
                return 410, json.dumps({"first": 0}).encode()

            async def until_more():
                async with self.changed:
                    await self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)

            try:
                await asyncio.wait_for(until_more(), wait)
            except asyncio.TimeoutError:
                pass
            records = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(records), 0)
            for record in records[start:]:
                out += struct.pack(">I", len(record)) + record
            return 200, out
        if path == "/-/log-append":
            offset = len(self.topics.get(topic, []))
            async with self.changed:
                while len(body) >= 4:
                    n = struct.unpack(">I", body[:4])[0]
                    self.topics.setdefault(topic, []).append(body[4 : 4 + n])
                    body = body[4 + n :]
                self.changed.notify_all()
            end = len(self.topics[topic])
            return 200, json.dumps({"offset": offset, "end": end}).encode()
        return 404, b""


class Engine:
    """An engine: `handler(engine, line, headers, body, writer)` answers one request.

    The handler returns False to close the channel.
    """

    def __init__(self, store, name, service, zone, handler):
        self.store, self.id, self.service, self.zone = store, name, service, zone
        self.handler, self.seq, self.born = handler, 0, int(time.time() * 1000)
        self.runs = {}

    async def start(self, ip):
        self.ip, self.port = ip, free_port(ip)
        self.server = await asyncio.start_server(self.serve, ip, self.port)
        self.beating = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            entry = {
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 12, "state": "ready", "coldLeftMs": 0,
                "seq": self.seq, "born": self.born,
            }
            await self.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                rid = headers.get("x-request-id", "")
                if line.startswith("GET /health"):
                    writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                if headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(f"HTTP/1.1 421 M\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs[rid] = self.runs.get(rid, 0) + 1
                if await self.handler(self, line, headers, body, writer) is False:
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {
        "name": name, "host": "site.example", "pathPrefix": prefix, "kind": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
        "service": service, "maxAttempts": attempts, "public": False, **more,
    }


async def put_config(store, version, routes, services, engines={}):
    config = {
        "version": version, "routes": routes,
        "services": [
            {"name": it, "healthPath": "/health", "maxConns": 348, "protocol": "h1", "tls": False}
            | ({"engine": engines[it]} if it in engines else {})
            for it in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
    }
    await store.put("keyed.op", "config", json.dumps(config).encode())


KEY = "n2ctnfzs989anu6wsjnb"


class Entry:
    """An entry process, started with the command and template of the deploy file."""

    def __init__(self, folder, number, zone, store):
        self.ip = f"{NET}.{number}"
        self.ports = [free_port(self.ip) for _ in range(3)]
        self.number, self.zone, self.store, self.folder = number, zone, store, folder
        self.ended = None

    async def start(self, peer_port, seeds, first=True):
        self.front, self.ready = self.ports[0], self.ports[1]
        settings = {
            "vm": f"front-{self.zone}-{self.number}", "zone": self.zone,
            "callers": f"{self.ip}:{self.front}", "readiness": f"{self.ip}:{self.ready}",
            "seeds": seeds, "peer_port": peer_port, "log": f"{self.store.ip}:{self.store.port}",
            "heartbeat_ms": 1200, "drain_ms": 2000, "config_apply_ms": 2000, "grace_ms": 8000,
            "wait_ms": 1900, "first_start": first,
            "retries": {"ratio": 0.2, "slack": 90, "span_ms": 10000},
            "max_open_files": 4200, "memory_mb": 260, "log_level": "info",
        }
        path = os.path.join(self.folder, f"entry-{self.number}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        program = os.path.join(ROOT, "target/release/cowsliproad-direct")
        if not os.path.exists(program):
            raise CannotRun("the deploy build is missing")
        self.log_path = os.path.join(self.folder, f"entry-{self.number}.log")
        with open(self.log_path, "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "COWSLIPROAD_NODE_FILE": path},
            )

    async def wait_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200 " in line:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("an entry process isn't ready in 10 s")

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def run_case(main, here):
    """Runs `main(folder, record)`, which returns True if the rule held; sets the exit status."""
    record = Record(os.path.join(here, "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")

    async def limited():
        # What still waits when the case ends is cancelled, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(folder, record), 110)

    try:
        held = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.line(f"can't run: {error!r}")
        print(f"can't run: {error!r}")
        sys.exit(2)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    verdict = "the rule held" if held else "the rule was broken"
    record.line(verdict)
    print(verdict)
    sys.exit(0 if held else 1)
