"""Stand-ins for the cases of the second review: a store, plain engines, callers, and the gateways as separate processes.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on 127.0.0.1, at free ports.
"""
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HEARTBEAT_S = 1.2
KEY = "key-of-the-review"
TENANT = "tenant-a"


TAKEN = set()


def free_port():
    """A free port below those that the kernel gives to outgoing connections, so that it stays free while its process is down."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(status, headers, body):
    reasons = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, lists, watches, and entries of servers that expire."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.log = []
        self.changed = asyncio.Event()
        self.beaten = {}
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        """Removes entries after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            for name, at in list(self.beaten.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.beaten[name]
                    self.remove("servers", name)

    def note(self, kind, obj, deleted):
        self.log.append((self.revision, kind, obj, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None):
        """Creates or changes an object; returns it. A change that changes nothing raises no revision."""
        old = self.objects.get((kind, name))
        new_spec = spec if spec is not None or old is None else old["spec"]
        new_status = status if status is not None or old is None else old["status"]
        if old is not None and (old["spec"], old["status"]) == (new_spec, new_status):
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False}
        obj = {"metadata": metadata, "spec": new_spec, "status": new_status}
        self.objects[(kind, name)] = obj
        self.note(kind, obj, False)
        return obj

    def remove(self, kind, name):
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self.note(kind, obj, True)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                status, answer = await self.answer(method, target, json.loads(body) if body else None)
                writer.write(message(status, [("content-type", "application/json")], json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        kind = parts[0]
        if method == "GET" and len(parts) == 1:
            return await self.watch(kind, query) if "watch" in query else self.list(kind, query)
        if method == "GET":
            obj = self.objects.get((kind, parts[1]))
            return (200, obj) if obj else (404, {})
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, body.get("spec"), body.get("status"))
        if method == "PUT":
            obj = self.objects.get((kind, parts[1]))
            if obj is None and kind == "servers" and len(parts) == 2:
                obj = self.put(kind, parts[1], body.get("spec"))
                self.beaten[parts[1]] = time.monotonic()
                return 200, obj
            if obj is None:
                return 404, {}
            revision = (body.get("metadata") or {}).get("revision") or query.get("revision")
            if revision is not None and int(revision) != obj["metadata"]["revision"]:
                return 409, obj
            if len(parts) == 3:
                return 200, self.put(kind, parts[1], status=body.get("status"))
            if kind == "servers":
                self.beaten[parts[1]] = time.monotonic()
                fields = lambda spec: {key: value for key, value in spec.items() if key != "seq_no"}
                if fields(obj["spec"]) == fields(body["spec"]):
                    return 200, obj
            return 200, self.put(kind, parts[1], body.get("spec"))
        if method == "DELETE":
            self.beaten.pop(parts[1], None)
            self.remove(kind, parts[1])
            return 200, {}
        return 404, {}

    def list(self, kind, query):
        after = query.get("after_revision", "")
        names = sorted(name for known, name in self.objects if known == kind and name > after)
        items = [self.objects[(kind, name)] for name in names[:500]]
        return 200, {"items": items, "more": len(names) > 500, "current_rev": self.revision}

    async def watch(self, kind, query):
        since, until = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            events = [{"object": obj, "deleted": deleted} for revision, known, obj, deleted in self.log
                      if known == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


SETTINGS = """\
[host]
name = {name}
zone = {zone}
memory = 260 MiB
link = 1000.0

[gateway]
listen = 127.0.0.1:{front}
ready_listen = 127.0.0.1:{ready}
metrics_listen = 127.0.0.1:{metrics}
peer_listen = 127.0.0.1:{peer}

[platform]
address = 127.0.0.1:{store}
writes = 400

[bounds]
revoke = 5000 ms
drain = 2000 ms
config = 2000 ms
contact = 3000 ms
grace = 8 s
retry_ratio = 0.8
retry_window = 10 s
retry_extra = 150

[log]
format = json
level = info
"""


class Gateway:
    """One hollyhookd as the deploy file runs it, with settings as its template gives them."""

    def __init__(self, folder, name, zone, store_port):
        self.name, self.zone = name, zone
        self.front, self.ready = free_port(), free_port()
        self.settings = folder / f"{name}.yaml"
        self.settings.write_text(SETTINGS.format(name=name, zone=zone, front=self.front, ready=self.ready,
                                                 metrics=free_port(), peer=free_port(), store=store_port))
        self.log = folder / f"{name}.log"
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            command = [str(ROOT / "target/release/hollyhookd"), "--settings", str(self.settings)]
            self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Engine:
    """One engine in a process of its own, so that it can be killed."""

    def __init__(self, folder, service, zone, store_port, record, *, program="engine.py", slots=6, **settings):
        self.arguments = dict(service=service, zone=zone, store=store_port, record=str(record), slots=slots, **settings)
        self.program = program
        self.port = free_port()
        self.starts = 0
        self.process = None

    def start(self):
        self.starts += 1
        name = f"i-{self.port:x}{self.starts:02x}"
        arguments = dict(self.arguments, name=name, port=self.port)
        self.process = subprocess.Popen([sys.executable, str(HERE / self.program), json.dumps(arguments)],
                                        stdin=subprocess.DEVNULL)
        return name

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def call(port, method, path, host, *, deadline_ms, body=b"", extra=()):
    """One client attempt on a new connection: (status, headers, body); status 0 if there is no whole answer in time."""
    attempt = f"{random.getrandbits(64):016x}"
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Hollyhook-Attempt-Id: {attempt}",
            f"X-Hollyhook-Deadline-Ms: {deadline_ms}", f"X-Hollyhook-Credential: {KEY}", *extra]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        answered = await read_head(reader)
        if answered is None:
            return 0, {}, b""
        line, headers = answered
        return int(line.split(" ")[1]), headers, await read_body(reader, headers)

    try:
        return attempt, *(await asyncio.wait_for(exchange(), deadline_ms / 1000))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return attempt, 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def whole_answer(attempt):
    """The parts of a whole answer to a request of this id, 800 bytes."""
    return [f"{part:2} of 10 of the answer to {attempt}".ljust(79).encode() + b"\n" for part in range(1, 11)]


class Path:
    """The path to one engine: relays bytes, and nothing while it is cut; what was sent meanwhile arrives when it heals."""

    def __init__(self, engine_port):
        self.port, self.engine_port = free_port(), engine_port
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            engine_reader, engine_writer = await asyncio.open_connection("127.0.0.1", self.engine_port)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self.relay(reader, engine_writer), self.relay(engine_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            engine_writer.close()
            writer.close()

    async def relay(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
            await self.open.wait()
            writer.write_eof()
        except OSError:
            await self.open.wait()
            writer.transport.abort()
