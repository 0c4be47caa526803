"""Stand-ins for the platform's store, engines and clients, and a loader for hollyhookd processes.

They follow PROTOCOL.md; all addresses are loopback addresses with free ports.
"""
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOCAL = "127.0.0.1"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BEGIN = time.monotonic()


def free_port():
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - BEGIN:8.3f} {text}\n")
            self.file.flush()


# ---------------------------------------------------------------- the store


class Store:
    """The platform's metadata store. Each view is a port of its own; a view may see other addresses of engines."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.events = []
        self.servers = []

    def put(self, kind, name, spec=None, status=None, keep_status=True):
        with self.lock:
            known = self.objects.get((kind, name))
            if known and known["spec"] == spec and status is None:
                return known
            self.revision += 1
            entry = {
                "metadata": {"name": name, "revision": self.revision, "finalizers": [], "deleting": False,
                             "created": known["metadata"]["created"] if known else self.revision},
                "spec": spec if spec is not None else (known or {}).get("spec"),
                "status": status if status is not None else (known or {}).get("status"),
            }
            self.objects[kind, name] = entry
            self.events.append((self.revision, kind, entry, False))
            self.lock.notify_all()
            return entry

    def remove(self, kind, name):
        with self.lock:
            known = self.objects.pop((kind, name), None)
            if known:
                self.revision += 1
                self.events.append((self.revision, kind, known, True))
                self.lock.notify_all()

    def get(self, kind, name):
        with self.lock:
            return self.objects.get((kind, name))

    def view(self, rewrite=None):
        """Starts a port; `rewrite` maps (id, address) to the address that this view shows."""
        store = self

        def shown(kind, entry):
            if kind != "servers" or rewrite is None:
                return entry
            spec = dict(entry["spec"])
            spec["address"] = rewrite(entry["metadata"]["name"], spec["address"])
            return {**entry, "spec": spec}

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, *_arguments):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            def body(self):
                length = int(self.headers.get("Content-Length") or 0)
                return json.loads(self.rfile.read(length) or b"{}")

            def where(self):
                url = urlsplit(self.path)
                parts = url.path.split("/")[3:]
                return parts, {name: values[0] for name, values in parse_qs(url.query).items()}

            def do_GET(self):
                parts, query = self.where()
                kind = parts[0]
                if len(parts) > 1:
                    known = store.get(kind, parts[1])
                    return self.reply(200 if known else 404, shown(kind, known) if known else {})
                if "watch" in query:
                    return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
                with store.lock:
                    items = [shown(kind, entry) for (of, _), entry in sorted(store.objects.items()) if of == kind]
                    return self.reply(200, {"items": items, "more": False, "current_rev": store.revision})

            def watch(self, kind, after, wait):
                until = time.monotonic() + wait
                with store.lock:
                    while True:
                        found = [event for event in store.events if event[0] > after and event[1] == kind]
                        left = until - time.monotonic()
                        if found or left <= 0:
                            break
                        store.lock.wait(left)
                    events = [{"object": shown(kind, entry), "deleted": gone} for _, _, entry, gone in found]
                    answer = {"events": events, "current_rev": store.revision}
                self.reply(200, answer)

            def do_POST(self):
                parts, _query = self.where()
                body = self.body()
                name = body["metadata"]["name"]
                with store.lock:
                    known = store.get(parts[0], name)
                    if known:
                        return self.reply(409, known)
                    return self.reply(200, store.put(parts[0], name, body.get("spec")))

            def do_PUT(self):
                parts, query = self.where()
                body = self.body()
                with store.lock:
                    known = store.get(parts[0], parts[1])
                    if not known:
                        return self.reply(404, {})
                    stated = body.get("metadata", {}).get("revision", query.get("revision"))
                    if stated is not None and int(stated) != known["metadata"]["revision"]:
                        return self.reply(409, known)
                    if len(parts) > 2 and parts[2] == "status":
                        return self.reply(200, store.put(parts[0], parts[1], known["spec"], body.get("status")))
                    return self.reply(200, store.put(parts[0], parts[1], body.get("spec")))

            def do_DELETE(self):
                parts, _query = self.where()
                store.remove(parts[0], parts[1])
                self.reply(200, {})

        server = ThreadingHTTPServer((LOCAL, 0), Handler)
        server.daemon_threads = True
        server.handle_error = lambda *_arguments: None  # a gateway that ends resets its connections
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.servers.append(server)
        return f"{LOCAL}:{server.server_address[1]}"


def route(name, prefix, kind, service, **fields):
    usual = {"host": "ficu95.example", "timeout_ms": 800, "slo_ms": 150, "priority": 2, "max_attempts": 1,
             "public": False, "sticky": False, "resumable": False}
    return {"name": name, "path_prefix": prefix, "route_kind": kind, "service": service, **usual, **fields}


ENGINE_TERMS = {"slots": 64, "kv_capacity_tokens": 88000, "kv_token_bytes": 18432, "link_mbps": 280000.0,
                "moves": True, "backups": True, "stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                "handle_s": 4.0, "models": [{"name": "m"}]}


def configuration(routes, services, version=7):
    limits = {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits,
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


def service(name, engine=False, connections=360):
    terms = {"name": name, "health_path": "/healthz", "max_conns": connections, "protocol": "h1", "tls": False}
    return {**terms, "engine": ENGINE_TERMS} if engine else terms


# ---------------------------------------------------------------- engines


class Reader:
    """Buffered reading of HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            if not self.fill():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                raise ConnectionError("ended early")
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.fill():
                raise ConnectionError("ended early")
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def chunks(self, take):
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                self.line()
                return
            take(self.exactly(size))
            self.line()


class Request:
    def __init__(self, line, headers, body, sock, connection):
        self.method, self.path, _version = line.split(" ", 2)
        self.headers, self.body, self.sock, self.connection = headers, body, sock, connection
        self.id = headers.get("x-hollyhook-attempt-id")


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Engine:
    """An engine: `serve(engine, request)` writes the answer; it returns False to close the connection.

    A request without an id is turned away with 400 and X-Hollyhook-Not-Executed, one that expects another instance
    with 421, as PROTOCOL.md says. A closed connection drops the request that runs on it.
    """

    def __init__(self, name, serve, slots=6):
        self.name, self.serve, self.slots = name, serve, slots
        self.running, self.lock = 0, threading.Lock()
        self.connections = 0
        self.answers = 0
        self.answered = []
        self.sockets = []
        self.listener = socket.create_server((LOCAL, 0), backlog=512)
        self.address = f"{LOCAL}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _peer = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            self.sockets.append(sock)
            threading.Thread(target=self.connection, args=(sock, self.connections), daemon=True).start()

    def connection(self, sock, number):
        reader = Reader(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            state = {"number": number, "peer": sock.getpeername()[1]}
            while True:
                head = reader.head()
                if head is None:
                    break
                line, headers = head
                body = b""
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    parts = []
                    reader.chunks(parts.append)
                    body = b"".join(parts)
                elif "content-length" in headers:
                    body = reader.exactly(int(headers["content-length"]))
                if self.serve(self, Request(line, headers, body, sock, state)) is False:
                    break
            sock.close()
        except (OSError, ConnectionError):
            try:
                sock.close()
            except OSError:
                pass

    def answer(self, request, status, body=b"", more=(), signed=True):
        lines = [f"HTTP/1.1 {status} X"]
        if request.id is not None:
            lines.append(f"X-Hollyhook-Attempt-Id: {request.id}")
            if signed:
                lines.append(f"X-Hollyhook-Response-Signature: {self.name}.{request.id}")
        lines.append(f"X-Hollyhook-Instance-Id: {self.name}")
        lines.append(f"X-Hollyhook-Instance-Load: {self.running},0,{self.slots}")
        lines += [f"Content-Length: {len(body)}", *more]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        self.count_answer()
        request.sock.sendall(data)
        return data

    def count_answer(self):
        with self.lock:
            self.answers += 1
            self.answered.append(time.monotonic())

    def answers_since(self, at):
        with self.lock:
            return sum(answered >= at for answered in self.answered[-2000:])

    def stop(self):
        """The engine stops at once: it accepts nothing more and its connections are closed."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def turn_away(self, request):
        """Answers what is not run; returns the bytes sent, or None if the request is to be run."""
        if request.headers.get("x-hollyhook-expect-instance", self.name) != self.name:
            return self.answer(request, 421, more=("X-Hollyhook-Not-Executed: 1",), signed=False)
        if request.id is None:
            return self.answer(request, 400, more=("X-Hollyhook-Not-Executed: 1",), signed=False)
        return None

    def spec(self, of, zone, version="v1", state="ready"):
        return {"service": of, "address": self.address, "zone": zone, "version": version, "slots": self.slots,
                "state": state, "cold_remaining_ms": 0, "phase": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq_no": 1}


class Garble:
    """When a faulty engine may spoil an answer: in windows of `FOR_S` seconds, at most `X` of its answers.

    The site file's dose: `{ kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }`.
    """

    X, FOR_S = 0.03, 5.0

    def __init__(self, period):
        self.period, self.begin, self.window, self.spoilt, self.most = period, time.monotonic(), None, 0, []

    def is_on(self):
        return TROUBLE and (time.monotonic() - self.begin) % self.period <= self.FOR_S

    def try_spoil(self, engine, count=1, held=0):
        """Counts a spoilt answer if the dose allows it, and `held` more after it."""
        now = time.monotonic()
        window, into = divmod(now - self.begin, self.period)
        if not TROUBLE or into > self.FOR_S:
            return False
        with engine.lock:
            if window != self.window:
                self.window, self.spoilt = window, 0
        answers = engine.answers_since(now - self.FOR_S)
        if self.spoilt + count + held > self.X * answers:
            return False
        self.spoilt += count
        self.most.append((self.spoilt, answers))
        return True

    def __str__(self):
        return f"spoilt in a window, answers in 5 s: {self.most}"


# ---------------------------------------------------------------- a proxy


class Link:
    """A proxy before an engine: one gateway's path to it."""

    def __init__(self, target):
        self.target, self.open, self.ports = target, set(), set()
        self.listener = socket.create_server((LOCAL, 0), backlog=512)
        self.address = f"{LOCAL}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        """From now on open connections are reset and new ones refused."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.open):
            try:
                reset(sock)
            except OSError:
                pass

    def heal(self):
        self.listener = socket.create_server((LOCAL, int(self.address.split(":")[1])), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        listener = self.listener
        while True:
            try:
                sock, _peer = listener.accept()
            except OSError:
                return
            host, port = self.target.split(":")
            other = socket.create_connection((host, int(port)))
            self.ports.add(other.getsockname()[1])
            for one in (sock, other):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.open.add(one)
            threading.Thread(target=self.copy, args=(sock, other), daemon=True).start()
            threading.Thread(target=self.copy, args=(other, sock), daemon=True).start()

    def copy(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            for one in (source, target):
                try:
                    reset(one)
                except OSError:
                    pass
        self.open.discard(source)


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_complete, self.why = 0, {}, b"", False, ""


def read_answer(sock, reader=None, on_data=None):
    """Reads one answer; `is_complete` says whether its framing shows it as whole."""
    answer, parts = Answer(), []
    reader = reader or Reader(sock)

    def take(data):
        parts.append(data)
        if on_data:
            on_data(data)

    try:
        head = reader.head()
        if head is None:
            answer.why = "closed without an answer"
            return answer
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            reader.chunks(take)
        elif "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                if not reader.buffer and not reader.fill():
                    raise ConnectionError("ended early")
                data, reader.buffer = reader.buffer[:left], reader.buffer[left:]
                left -= len(data)
                take(data)
        answer.is_complete = True
    except (OSError, ConnectionError, ValueError) as error:
        answer.why = f"{type(error).__name__}: {error}"
    answer.body = b"".join(parts)
    return answer


def request_bytes(method, path, request_id, body=b"", deadline_ms=1500, more=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: ficu95.example", f"X-Hollyhook-Attempt-Id: {request_id}",
             f"X-Hollyhook-Deadline-Ms: {deadline_ms}", f"X-Hollyhook-Credential: {KEY}", *more]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def connect(address, timeout=30, receive_bytes=None):
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(timeout)
    host, port = address.split(":")
    sock.connect((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def call(address, data, timeout=30):
    try:
        with connect(address, timeout) as sock:
            sock.sendall(data)
            return read_answer(sock)
    except OSError as error:
        answer = Answer()
        answer.why = str(error)
        return answer


# ---------------------------------------------------------------- gateways


def fill(template, fields):
    """Fills the deploy file's template as DEPLOY.md says, as far as deploy/hollyhookd.ini uses it."""

    def value(path, inner=None):
        if path == ".":
            return inner
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
        return found

    def section(match):
        inner = value(match[1])
        return "" if inner in (None, False) else match[2].replace("{{.}}", str(inner))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match[1])), text)


BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "strict_revoke": True,
          "revoke_ms": 5000, "retry_budget_ratio": 0.8, "budget_window_s": 10, "budget_extra": 150}


class Fleet:
    """The processes and the temporary folder of a script; ends all of them."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyhook-review-"))
        self.gateways = []

    def gateway(self, name, zone, store, bounds=None, tries=3):
        front, ready, metrics, peer = (free_port() for _ in range(4))
        fields = {"node_name": name, "zone": zone, "ip": LOCAL, "platform": {"address": store},
                  "limits": {"memory_mb": 260, "link_mbps": 1000.0}, "bounds": {**BOUNDS, **(bounds or {})},
                  "listen": {"front": f"{LOCAL}:{front}", "ready": f"{LOCAL}:{ready}"}, "port_range": [peer, peer + 15]}
        template = (ROOT / "deploy/hollyhookd.ini").read_text()
        # Machines share one address here, so each needs ports of its own, also for its metrics.
        text = fill(template, fields).replace(":9464", f":{metrics}")
        settings = self.folder / f"{name}.ini"
        settings.write_text(text)
        process = self.start(name)
        time.sleep(0.3)
        if process.poll() is not None and tries > 0:  # another program took one of the ports meanwhile
            return self.gateway(name, zone, store, bounds, tries - 1)
        gateway = Gateway(name, process, fields["listen"]["front"], fields["listen"]["ready"],
                          f"{LOCAL}:{metrics}", self.folder / f"{name}.log")
        self.gateways.append(gateway)
        return gateway

    def start(self, name):
        """Starts the process, also again after it was killed."""
        log = open(self.folder / f"{name}.log", "a")
        command = [ROOT / "target/release/hollyhookd", "--settings", self.folder / f"{name}.ini"]
        return subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{gateway.name} is not ready")
                time.sleep(0.05)

    def end(self):
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
            gateway.process.wait()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Gateway:
    def __init__(self, name, process, front, ready, metrics, log):
        self.name, self.process, self.front, self.ready, self.metrics, self.log = name, process, front, ready, metrics, log

    def is_ready(self):
        data = b"GET /api/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        return call(self.ready, data, 1).status == 200

    def metric(self, name):
        text = call(self.metrics, b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 2).body.decode()
        found = re.findall(rf"^{name}(?:_total)? (\d+)", text, flags=re.M)
        return int(found[0]) if found else None


def run_case(main):
    """Runs `main(fleet)`, which returns True if the rule held; exits with 0, 1, or 2 if the case could not run."""
    fleet, code = Fleet(), 2

    def end(*_arguments):
        raise RuntimeError("the time is up")

    signal.signal(signal.SIGTERM, end)
    try:
        code = 0 if main(fleet) else 1
    except Exception as error:  # the case could not run
        import traceback
        traceback.print_exc()
        print(f"could not run: {error}")
    finally:
        fleet.end()
    os._exit(code)
