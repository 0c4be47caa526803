"""Case 8, see claim.txt: the last heartbeats of engines that crashed are executed late, after their successors have registered."""
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
DEADLINE_MS, PER_S, WORK_MS = 1_500, 60, 30
RECOVERY_S = 12.0
# Seconds from the start of traffic. The store loses answers in the 4.5 s before the crash, and executes those writes 5.5 s late.
LOST_FOR, LATE_BY, LARGEST_SHARE = 4.5, 5.5, 0.35
CRASH_AT, CRASH_FOR, FAULT_AT, DOWN_FOR, JUDGED_FOR = 20.0, 1.2, 25.7, 1.3, 12.0
CONFIG = outage.configuration(
    [{"name": "lookup", "host": HOST, "path_prefix": "/lookup/", "route_kind": "idempotent", "timeout_ms": 800, "slo_ms": 150,
      "priority": 2, "service": SERVICE, "max_attempts": 2, "public": False}],
    [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}])


class LateStore(Store):
    """A store that for some seconds loses the answers of some writes and executes these later."""

    def __init__(self):
        super().__init__()
        self.lost_from = self.late_from = self.lost_until = float("inf")
        self.writes, self.late = 0, []

    async def answer(self, method, target, body):
        now = time.monotonic()
        if method in ("PUT", "POST") and self.lost_from <= now < self.lost_until:
            self.writes += 1
            if "/servers/" in target and now >= self.late_from:
                self.late.append(target.rsplit("/", 1)[1])
                asyncio.get_running_loop().call_later(LATE_BY, lambda: asyncio.ensure_future(super(LateStore, self).answer(method, target, body)))
                # Nothing further comes on this connection.
                await asyncio.sleep(4 * LATE_BY)
        return await super().answer(method, target, body)


async def attempt(gateway, memory, left_ms):
    path = memory.setdefault("path", f"/lookup/{random.randrange(5_000)}")
    name, status, headers, _ = await call(gateway.front, "GET", path, HOST, deadline_ms=left_ms)
    return name, (status if status != 200 or "x-hollyhook-response-signature" in headers else 0), headers


async def play(folder, record):
    store = LateStore()
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

        def entries():
            return ", ".join(f"{name} (created at {obj['metadata']['created']})" for (kind, name), obj in sorted(store.objects.items())
                             if kind == "servers")

        if outage.TROUBLE:
            store.lost_from, store.lost_until = start + CRASH_AT - LOST_FOR, start + CRASH_AT
            store.late_from = store.lost_until - HEARTBEAT_S
            await at(CRASH_AT)
            outage.kill_together(engines)
            record(f"{time.monotonic() - start:.1f} s: all engines of the service were killed; of {store.writes} writes in the last "
                   f"{LOST_FOR} s {len(store.late)} were not answered and are executed {LATE_BY} s late: {', '.join(store.late)}")
            await at(CRASH_AT + CRASH_FOR)
            names = [engine.start() for engine in engines]
            record(f"{time.monotonic() - start:.1f} s: they were started again, as {', '.join(names)}")
            await at(FAULT_AT)
            record(f"{time.monotonic() - start:.1f} s: entries in the store: {entries()}")
            outage.kill_together(gateways)
            record(f"{time.monotonic() - start:.1f} s: all gateways were killed")
            await at(FAULT_AT + DOWN_FOR)
            for gateway in gateways:
                gateway.start()
            record(f"{time.monotonic() - start:.1f} s: they were started again; entries in the store: {entries()}")
            await at(FAULT_AT + DOWN_FOR + RECOVERY_S)
        else:
            await at(FAULT_AT + DOWN_FOR + RECOVERY_S)
        record(f"{time.monotonic() - start:.1f} s: entries in the store: {entries()}")
        await flow
        await asyncio.gather(*traffic.tasks)
        balancing.cancel()
        for second in range(0, int(back_at + RECOVERY_S + JUDGED_FOR - start), 2):
            counts = {}
            span = [ends for sent_at, ends in traffic.requests if second <= sent_at - start < second + 2]
            for ends in span:
                counts[ends[-1] if ends else 0] = counts.get(ends[-1] if ends else 0, 0) + 1
            record(f"requests sent from {second} s on: {len(span)}, by their last answer (0: none whole): {dict(sorted(counts.items()))}")
        before = outage.share([entry for entry in traffic.requests if entry[0] < start + FAULT_AT])
        after = outage.share([entry for entry in traffic.requests if entry[0] > back_at + RECOVERY_S])
        record(f"served before the final fault: {before[0]:.3f} of {before[1]}")
        record(f"served of those sent later than {RECOVERY_S:.0f} s after the machines were back: {after[0]:.3f} of {after[1]}")
        for gateway in gateways:
            lines = [line for line in gateway.log.read_text().splitlines() if '"endpoint.' in line]
            record(f"{gateway.name}, the last lines on endpoints:")
            for line in lines[-6:]:
                record(f"  {line}")
        outage.record_details(record, traffic, runs, start)
        living = [part.process.poll() is None for part in (*engines, *gateways)]
        if not all(living) or before[1] < 40 or after[1] < 40 or before[0] < outage.LEAST_SHARE:
            return 2
        if outage.TROUBLE and not 0 < len(store.late) <= LARGEST_SHARE * store.writes:
            record("more writes were late than the page allows, or none")
            return 2
        return 1 if after[0] < outage.LEAST_SHARE else 0
    finally:
        for part in (*gateways, *engines):
            part.kill()


def main():
    random.seed(9)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with open(FOLDER / "record.txt", "w") as file, tempfile.TemporaryDirectory() as work:
        def record(line):
            print(line, file=file, flush=True)
        record(f"TROUBLE={1 if outage.TROUBLE else 0}")
        code = asyncio.run(play(pathlib.Path(work), record))
        record("verdict: " + {0: "RECOVER held", 1: "RECOVER is broken", 2: "the case could not run"}[code])
    sys.exit(code)


main()
