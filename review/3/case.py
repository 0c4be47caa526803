"""A gateway that carries another one's stream is killed: the caller gets the stream's begin as a complete stream."""
import pathlib
import re
import sys
import threading
import time
import zlib

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from standins import *  # noqa: E402,F403

GATEWAYS = [("edge-uio-a-1", "uio-a"), ("edge-uio-a-2", "uio-a"), ("edge-uio-a-3", "uio-a"), ("edge-uio-b-1", "uio-b"),
            ("edge-uio-b-2", "uio-b"), ("edge-uio-c-1", "uio-c"), ("edge-uio-c-2", "uio-c")]
ENGINES = [("i-a-1", "uio-a"), ("i-a-2", "uio-a"), ("i-b-1", "uio-b"), ("i-b-2", "uio-b"), ("i-c-1", "uio-c"),
           ("i-c-2", "uio-c")]
CUT_GATEWAY, CUT_ENGINE = "edge-uio-a-1", "i-a-1"
EVENTS, EVENT_SECONDS = 140, 0.035
UNFRAMED_SHARE, CUT_SECONDS = 0.02, 5.0
ROUNDS = 5
record = Record(HERE)


class Model:
    """Streams of an engine: the events of a request follow from its id, so that any engine may go on with it."""

    def __init__(self, may_be_unframed):
        self.may_be_unframed, self.unframed, self.runs, self.lock = may_be_unframed, 0, {}, threading.Lock()
        self.unframed_ports = {}

    def report(self, engine):
        with self.lock:
            runs = [[name, 8200 + 7 * events, events, 5] for name, events in self.runs.items() if events]
            active = len(self.runs)
        used = sum(run[1] for run in runs)
        return {"phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq_no": 2,
                "queued": 0, "active": active, "kv_used": used, "kv_total": 88000, "handles": 0, "pinned": 0, "held": 0,
                "state": "ready", "next": 0, "runs": runs}

    def __call__(self, engine, request):
        if request.path == "/api/report" and request.method == "GET":
            body = json.dumps(self.report(engine)).encode()
            engine.answer(request, 200, body, more=("Content-Type: application/json",))
            return True
        if request.path.startswith("/api/"):
            engine.answer(request, 404, signed=False)
            return True
        if engine.turn_away(request) is not None:
            return True
        return self.stream(engine, request)

    def stream(self, engine, request):
        wanted = int(request.headers["x-hollyhook-token-counts"].split(",")[1]) // 7
        first = int(request.headers.get("last-event-id", 0)) + 1
        with self.lock:
            recent = engine.answers_since(time.monotonic() - 5.0)
            is_unframed = self.may_be_unframed and wanted == EVENTS and self.unframed + 1 <= UNFRAMED_SHARE * recent
            self.unframed += is_unframed
            if is_unframed:
                record(f"{engine.name} has sent {recent} answers in the last 5 s, {self.unframed} without a length")
            self.runs[request.id] = 0
            if is_unframed:
                self.unframed_ports[request.id] = request.connection["peer"]
        engine.count_answer()
        record(f"{engine.name} runs {request.id} from event {first}{', answer without a length' if is_unframed else ''}")
        framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
        head = (f"HTTP/1.1 200 OK\r\nX-Hollyhook-Attempt-Id: {request.id}\r\nX-Hollyhook-Response-Signature: "
                f"{engine.name}.{request.id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n")
        last = first - 1
        try:
            time.sleep(0.2)
            request.sock.sendall(head.encode())
            for number in range(first, wanted + 1):
                event = f"id: {number}\ndata: token-{request.id}-{number}\n\n".encode()
                data = event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event)
                request.sock.sendall(data)
                last = number
                with self.lock:
                    self.runs[request.id] = number
                time.sleep(EVENT_SECONDS)
            if not is_unframed:
                request.sock.sendall(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.runs.pop(request.id, None)
                self.unframed_ports.pop(request.id, None)
            record(f"{engine.name} ends {request.id} after event {last}")
        return not is_unframed


def main(fleet):
    store = Store()
    engines = {name: Engine(name, Model(name == CUT_ENGINE), slots=64) for name, _zone in ENGINES}
    terms = {**service("drafting", engine=True)}
    terms["engine"] = {**terms["engine"], "moves": False, "backups": False}
    stream_route = route("r-draft", "/draft/", "streaming", "drafting", timeout_ms=25000, slo_ms=4500, priority=1,
                         max_attempts=5, sticky=True, resumable=True, gap_target_ms=700)
    store.put("config", "main", configuration([stream_route], [terms]))
    for name, zone in ENGINES:
        store.put("servers", name, engines[name].spec("drafting", zone))
    links, gateways = {}, {}
    for name, zone in GATEWAYS:
        links[name] = {engine: Link(engines[engine].address) for engine, _zone in ENGINES}
        view = store.view(lambda engine, _address, name=name: links[name][engine].address)
        gateways[name] = fleet.gateway(name, zone, view)
    fleet.wait_ready()
    time.sleep(6)  # by then each gateway knows the others

    answers, lock = {}, threading.Lock()

    def client(request_id, events):
        more = ("X-Hollyhook-Model: m", f"X-Hollyhook-Token-Counts: 8200,{events * 7}",
                f"X-Hollyhook-Prompt-Prefix: 5c1e07a2:200,{zlib.crc32(request_id.encode()):x}:8000")
        data = request_bytes("POST", "/draft/2f", request_id, b"year=2026", 25000, more)
        record(f"client sends POST {request_id} to {CUT_GATEWAY}")
        answer = call(gateways[CUT_GATEWAY].front, data)
        ids = [int(number) for number in re.findall(rb"^id: (\d+)$", answer.body, flags=re.M)]
        with lock:
            answers[request_id] = (answer, ids, events)
        record(f"client got {answer.status} for {request_id}, {'complete' if answer.is_complete else 'not complete'}"
               f" {answer.why}, events {ids[:1]} to {ids[-1:]}, {len(ids)} of {events}")

    threads = []

    def send(name, count, events, pause):
        for number in range(count):
            threads.append(threading.Thread(target=client, args=(f"{name}-{number:03d}", events)))
            threads[-1].start()
            time.sleep(pause)

    link, model = links[CUT_GATEWAY][CUT_ENGINE], engines[CUT_ENGINE].serve
    for number in range(ROUNDS):
        model.unframed = 0
        load = threading.Thread(target=send, args=(f"short{number}", 200, 4, 0.03))
        load.start()
        time.sleep(4.5)
        if TROUBLE:
            link.cut()
            record(f"{CUT_GATEWAY} loses its path to {CUT_ENGINE} for {CUT_SECONDS} s (connections are reset and refused)")
        cut_at = time.monotonic()
        time.sleep(0.2)
        send(f"long{number}", 10, EVENTS, 0.05)
        time.sleep(1.8)
        ports = set(model.unframed_ports.values())
        carriers = [name for name, _zone in GATEWAYS[1:] if ports & links[name][CUT_ENGINE].ports]
        record(f"gateways that carry answers without a length of {CUT_ENGINE} for {CUT_GATEWAY}: {carriers}")
        if TROUBLE and carriers:
            killed = gateways[carriers[0]]
            killed.process.kill()
            record(f"{killed.name} is killed")
            time.sleep(1.0)
            killed.process.wait()
            killed.process = fleet.start(killed.name)
            record(f"{killed.name} is started again")
        time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
        if TROUBLE:
            link.heal()
            record("the path is back")
        load.join()
        while threads:
            threads.pop().join()
        if carriers:
            break
        time.sleep(2.0)
    broken = [name for name, (answer, ids, events) in answers.items()
              if answer.status == 200 and answer.is_complete and ids != list(range(1, events + 1))]
    for name in broken:
        _answer, ids, events = answers[name]
        record(f"ORDER: {name} ended as complete after {len(ids)} of {events} events")
    whole = sum(answer.is_complete and len(ids) == events for answer, ids, events in answers.values())
    text = (f"{len(answers)} streams, {whole} whole, {len(broken)} ended as complete and were not")
    record(text)
    print(text)
    return not broken


run_case(main)
