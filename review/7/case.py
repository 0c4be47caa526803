"""Case 7, see claim.txt: entries of another writer, with fields missing, that name the addresses of a service's engines."""
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import outage  # noqa: E402
from standins import HEARTBEAT_S, Engine, Gateway, Store, call  # noqa: E402

HOST, SERVICE = "desk.example", "ledger"
DEADLINE_MS, PER_S, WORK_MS = 600, 60, 15
# recovery_s of the site whose pages name the entries of other writers.
RECOVERY_S = 15.0
ENTRIES_AT, FAULT_AT, DOWN_FOR, JUDGED_FOR = 20.0, 26.0, 1.3, 12.0
CONFIG = outage.configuration(
    [{"name": "status", "host": HOST, "path_prefix": "/status/", "route_kind": "idempotent", "timeout_ms": 500, "slo_ms": 120,
      "priority": 2, "service": SERVICE, "max_attempts": 2, "public": False}],
    [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}])


async def attempt(gateway, memory, left_ms):
    path = memory.setdefault("path", f"/status/{random.randrange(5_000)}")
    name, status, headers, _ = await call(gateway.front, "GET", path, HOST, deadline_ms=left_ms)
    return name, (status if status != 200 or "x-hollyhook-response-signature" in headers else 0), headers


async def other_writer(store, engines):
    """Keeps an entry for each engine's address that lacks `version`, `slots`, `cold_remaining_ms` and `seq_no`."""
    while True:
        for engine in engines:
            name = f"inventory-{engine.port}"
            store.put("servers", name, {"service": SERVICE, "address": f"127.0.0.1:{engine.port}",
                                        "zone": engine.arguments["zone"], "state": "ready"})
            store.beaten[name] = time.monotonic()
        await asyncio.sleep(HEARTBEAT_S)


async def play(folder, record):
    store = Store()
    await store.start()
    store.put("config", "main", CONFIG)
    runs = folder / "runs.txt"
    runs.touch()
    engines = [Engine(folder, SERVICE, zone, store.port, runs, slots=6, work_ms=WORK_MS) for zone in outage.ZONES]
    gateways = [Gateway(folder, f"edge-{zone}", zone, store.port) for zone in outage.ZONES]
    try:
        for part in (*engines, *gateways):
            part.start()
        for _ in range(200):
            if all([await gateway.is_ready() for gateway in gateways]):
                break
            await asyncio.sleep(0.1)
        else:
            record("the gateways were not ready within 20 s")
            return 2
        await asyncio.sleep(2)
        start = time.monotonic()
        back_at = start + FAULT_AT + DOWN_FOR
        balancer = outage.Balancer(gateways)
        balancing = asyncio.create_task(balancer.run())
        traffic = outage.Traffic(balancer, attempt, DEADLINE_MS)
        flow = asyncio.create_task(traffic.run(PER_S, back_at + RECOVERY_S + JUDGED_FOR))

        async def at(seconds):
            await asyncio.sleep(start + seconds - time.monotonic())

        if outage.TROUBLE:
            await at(ENTRIES_AT)
            writing = asyncio.create_task(other_writer(store, engines))
            record(f"{time.monotonic() - start:.1f} s: another writer began to write {len(engines)} entries")
            await at(FAULT_AT)
            outage.kill_together(gateways)
            record(f"{time.monotonic() - start:.1f} s: all gateways were killed")
            await at(FAULT_AT + DOWN_FOR)
            for gateway in gateways:
                gateway.start()
            record(f"{time.monotonic() - start:.1f} s: they were started again")
        await flow
        await asyncio.gather(*traffic.tasks)
        balancing.cancel()
        if outage.TROUBLE:
            writing.cancel()
        for second in range(0, int(back_at + RECOVERY_S + JUDGED_FOR - start), 2):
            counts = {}
            span = [ends for sent_at, ends in traffic.requests if second <= sent_at - start < second + 2]
            for ends in span:
                counts[ends[-1] if ends else 0] = counts.get(ends[-1] if ends else 0, 0) + 1
            record(f"requests sent from {second} s on: {len(span)}, by their last answer (0: none whole): {dict(sorted(counts.items()))}")
        for (kind, name), obj in sorted(store.objects.items()):
            if kind == "servers":
                record(f"in the store at the end: servers/{name} {obj['spec']}")
        before = outage.share([entry for entry in traffic.requests if entry[0] < start + FAULT_AT])
        after = outage.share([entry for entry in traffic.requests if entry[0] > back_at + RECOVERY_S])
        record(f"served before the final fault: {before[0]:.3f} of {before[1]}")
        record(f"served of those sent later than {RECOVERY_S:.0f} s after the machines were back: {after[0]:.3f} of {after[1]}")
        for gateway in gateways:
            lines = gateway.log.read_text().splitlines()
            found = [line for line in lines if "endpoint.displaced" in line]
            record(f"{gateway.name} logged endpoint.displaced {len(found)} times" + (f", first: {found[0]}" if found else ""))
        outage.record_details(record, traffic, runs, start)
        living = [part.process.poll() is None for part in (*engines, *gateways)]
        if not all(living) or before[1] < 40 or after[1] < 40 or before[0] < outage.LEAST_SHARE:
            return 2
        return 1 if after[0] < outage.LEAST_SHARE else 0
    finally:
        for part in (*gateways, *engines):
            part.kill()


def main():
    random.seed(8)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with open(FOLDER / "record.txt", "w") as file, tempfile.TemporaryDirectory() as work:
        def record(line):
            print(line, file=file, flush=True)
        record(f"TROUBLE={1 if outage.TROUBLE else 0}")
        code = asyncio.run(play(pathlib.Path(work), record))
        record("verdict: " + {0: "RECOVER held", 1: "RECOVER is broken", 2: "the case could not run"}[code])
    sys.exit(code)


main()
