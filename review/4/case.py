"""A version that fails its non-idempotent requests is not rolled back: it is completed and gets all requests."""
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from standins import *  # noqa: E402,F403

ZONES = ("sala-alfama", "sala-belem", "sala-graca")
EXPOSURE = {"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000}
DURATION = 30.0
PER_SECOND = 100
FAILING = 0.4
record = Record(HERE)
lock = threading.Lock()
arrivals, bad_answers, statuses = [], [], {}  # of the new version: (time, id); times; of all: id -> status


def serve_with(version, salt):
    draw = random.Random(salt)

    def serve(engine, request):
        if engine.turn_away(request) is not None:
            return True
        now = time.monotonic()
        with engine.lock:
            engine.running += 1
        is_bad = TROUBLE and version == "v2" and draw.random() < FAILING
        with lock:
            arrivals.append((now, version, request.id))
        time.sleep(0.03)
        with engine.lock:
            engine.running -= 1
        if is_bad:
            with lock:
                bad_answers.append(time.monotonic())
            engine.answer(request, 500, b"failed")
        else:
            engine.answer(request, 200, b"x" * 800)
        record(f"{engine.name} ({version}) ran {request.id}, {'500' if is_bad else '200'}")
        return True

    return serve


def main(fleet):
    store = Store()
    routes = [route("r-confirma", "/confirma/", "non_idempotent", "marketplace", timeout_ms=1500, slo_ms=300)]
    store.put("config", "main", configuration(routes, [service("marketplace", connections=430)]))

    engines = {}

    def start(version):
        for number, zone in enumerate(ZONES):
            name = f"i-{version}-{number}"
            engine = engines[name] = Engine(name, serve_with(version, f"{version}{number}"), slots=20)
            store.put("servers", name, engine.spec("marketplace", zone, version))

    start("v1")
    view = store.view()
    gateways = [fleet.gateway(f"edge-{zone}-1", zone, view, EXPOSURE) for zone in ZONES]
    fleet.wait_ready()
    time.sleep(4)
    sent, is_over, threads = {}, threading.Event(), []

    def client(number):
        request_id = f"q{number:05d}"
        with lock:
            sent[request_id] = time.monotonic()
        answer = call(gateways[number % 3].front, request_bytes("POST", "/confirma/2f", request_id, b"aula=7"), 3)
        with lock:
            statuses[request_id] = answer.status
        record(f"client got {answer.status} for POST {request_id}")

    def load():
        number, at, begin = 0, 0.0, time.monotonic()
        while not is_over.is_set():
            time.sleep(max(0.0, begin + at - time.monotonic()))
            thread = threading.Thread(target=client, args=(number,))
            thread.start()
            threads.append(thread)
            number, at = number + 1, at + random.expovariate(PER_SECOND)

    loader = threading.Thread(target=load)
    loader.start()
    time.sleep(3)
    start("v2")
    time.sleep(0.3)
    ordered = time.monotonic()
    store.put("rollouts", "marketplace", {"service": "marketplace", "target": "v2", "duration_s": DURATION})
    record(f"operator orders a roll-out of marketplace to v2, {DURATION} s")
    seen = None
    while time.monotonic() < ordered + DURATION + 8:
        status = store.get("rollouts", "marketplace")["status"]
        if status != seen:
            seen = status
            record(f"rollouts/marketplace status: {status}")
            if status.get("state") == "completed":
                for number in range(len(ZONES)):
                    engines[f"i-v1-{number}"].stop()
                    store.remove("servers", f"i-v1-{number}")
                record("the old engines are stopped")
        time.sleep(0.05)
    is_over.set()
    loader.join()
    for thread in threads:
        thread.join()
    new = [(at, name) for at, version, name in arrivals if version == "v2"]
    deadline = ordered + DURATION
    total = sum(ordered <= at <= deadline for at, _version, _name in arrivals)
    exposed = sum(ordered <= at <= deadline for at, _name in new)
    limit = EXPOSURE["exposure_share"] * total + EXPOSURE["exposure_slack"]
    is_over_exposed = len(bad_answers) > 0 and exposed > limit
    late = []
    if len(bad_answers) >= 50:
        until = sorted(bad_answers)[49] + EXPOSURE["rollback_ms"] / 1000
        late = [name for _at, name in new if sent.get(name, 0) > until]
        record(f"50th bad answer {until - 5 - ordered:.1f} s after the order; {len(late)} requests that were sent more than"
               f" 5 s after it reached v2")
    failed = sum(status == 500 for status in statuses.values())
    text = (f"{len(statuses)} requests, {failed} answered 500; v2 {len(bad_answers)} bad answers, {exposed} requests until"
            f" the deadline (limit {limit:.0f}), {len(late)} sent later than rollback_ms after the 50th; state"
            f" {seen and seen.get('state')}")
    record(text)
    print(text)
    return not late and not is_over_exposed and (TROUBLE or seen.get("state") == "completed")


random.seed(3)
run_case(main)
