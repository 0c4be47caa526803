"""Plays the crash of all engines of a service and, some seconds after their return, the loss of all gateways; judges RECOVER.

The rule: of the requests sent later than `recovery_s` after the machines are back, less than a quarter is served, though a
quarter or more was before the final fault.
"""
import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from standins import KEY, TENANT, Gateway, Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b", "zone-c"]
RECOVERY_S, LEAST_SHARE = 12.0, 0.25
# Seconds from the start of traffic; the engines are down as long as in the site file's entry of `srv_crash`, the gateways as
# in its `closing`.
CRASH_AT, CRASH_FOR, FAULT_AT, DOWN_FOR, JUDGED_FOR = 20.0, 4.5, 30.0, 1.3, 12.0
LIMITS = {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def configuration(routes, services):
    return {"version": 7, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


class Balancer:
    """Asks each gateway once a second; after two misses it gets no new connections."""

    def __init__(self, gateways):
        self.gateways, self.misses = gateways, {}

    async def run(self):
        while True:
            answers = await asyncio.gather(*(gateway.is_ready() for gateway in self.gateways))
            for gateway, is_ready in zip(self.gateways, answers):
                self.misses[gateway.name] = 0 if is_ready else self.misses.get(gateway.name, 0) + 1
            await asyncio.sleep(1)

    def pick(self):
        return random.choice([gateway for gateway in self.gateways if self.misses.get(gateway.name, 0) < 2] or self.gateways)


class Traffic:
    """Requests that come at a steady rate, each with one retry that waits as `Retry-After` says, a third of its time at most."""

    def __init__(self, balancer, attempt, deadline_ms):
        self.balancer, self.attempt, self.deadline_s = balancer, attempt, deadline_ms / 1000
        self.requests, self.tasks, self.events = [], [], []

    async def request(self):
        sent_at, ends, memory = time.monotonic(), [], {}
        entry = (sent_at, ends)
        self.requests.append(entry)
        for turn in range(2):
            left = self.deadline_s - (time.monotonic() - sent_at)
            if left <= 0.05:
                break
            gateway, begun = self.balancer.pick(), time.monotonic()
            name, end, headers = await self.attempt(gateway, memory, int(left * 1000))
            self.events.append((begun, f"client sends {name} to {gateway.name}"))
            self.events.append((time.monotonic(), f"client got {end or 'no whole answer'} for {name}"))
            ends.append(end)
            if end == 200 or turn == 1:
                break
            left = self.deadline_s - (time.monotonic() - sent_at)
            await asyncio.sleep(max(min(float(headers.get("retry-after", "0.05")), left / 3), 0.05))

    async def run(self, per_s, until):
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(due - time.monotonic(), 0))
            self.tasks.append(asyncio.create_task(self.request()))
            due += random.uniform(0.5, 1.5) / per_s


def kill_together(parts):
    for part in parts:
        part.process.send_signal(signal.SIGKILL)
    for part in parts:
        part.process.wait()


def share(requests):
    served = sum(bool(ends) and ends[-1] == 200 for _, ends in requests)
    return served / max(len(requests), 1), len(requests)


def record_details(record, traffic, runs, start):
    """What was sent, answered and run, in seconds from the start of traffic."""
    offset = time.time() - time.monotonic() + start
    ran = [(float(line.split(" ", 1)[0]) - offset, line.split(" ", 1)[1]) for line in runs.read_text().splitlines()]
    for at, event in sorted([(at - start, event) for at, event in traffic.events] + ran):
        record(f"{at:8.3f} {event}")


async def play(folder, record, config, make_engines, attempt, deadline_ms, per_s, logged):
    store = Store()
    await store.start()
    store.put("config", "main", config)
    runs = folder / "runs.txt"
    runs.touch()
    engines = make_engines(folder, store.port, runs)
    gateways = [Gateway(folder, f"edge-{zone}", zone, store.port) for zone in ZONES]
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
        balancer = Balancer(gateways)
        balancing = asyncio.create_task(balancer.run())
        traffic = Traffic(balancer, attempt, deadline_ms)
        flow = asyncio.create_task(traffic.run(per_s, back_at + RECOVERY_S + JUDGED_FOR))

        async def at(seconds):
            await asyncio.sleep(start + seconds - time.monotonic())

        if TROUBLE:
            await at(CRASH_AT)
            kill_together(engines)
            record(f"{time.monotonic() - start:.1f} s: all engines of the service were killed")
            await at(CRASH_AT + CRASH_FOR)
            names = [engine.start() for engine in engines]
            record(f"{time.monotonic() - start:.1f} s: they were started again, as {', '.join(names)}")
            await at(FAULT_AT)
            kill_together(gateways)
            record(f"{time.monotonic() - start:.1f} s: all gateways were killed")
            await at(FAULT_AT + DOWN_FOR)
            for gateway in gateways:
                gateway.start()
            record(f"{time.monotonic() - start:.1f} s: they were started again")
        await flow
        await asyncio.gather(*traffic.tasks)
        balancing.cancel()
        end = back_at + RECOVERY_S + JUDGED_FOR
        for second in range(0, int(end - start), 2):
            span = [ends for sent_at, ends in traffic.requests if second <= sent_at - start < second + 2]
            counts = {}
            for ends in span:
                counts[ends[-1] if ends else 0] = counts.get(ends[-1] if ends else 0, 0) + 1
            record(f"requests sent from {second} s on: {len(span)}, by their last answer (0: none whole): {dict(sorted(counts.items()))}")
        before = share([entry for entry in traffic.requests if entry[0] < start + FAULT_AT])
        after = share([entry for entry in traffic.requests if entry[0] > back_at + RECOVERY_S])
        record(f"served before the final fault: {before[0]:.3f} of {before[1]}")
        record(f"served of those sent later than {RECOVERY_S:.0f} s after the machines were back: {after[0]:.3f} of {after[1]}")
        lines = runs.read_text().splitlines()
        record(f"runs at engines: {len(lines)}, the last {float(lines[-1].split()[0]) - (time.time() - time.monotonic()) - start:.1f} s from the start"
               if lines else "runs at engines: none")
        for gateway in gateways:
            found = [line for line in gateway.log.read_text().splitlines() if logged in line]
            record(f"{gateway.name} logged {logged} {len(found)} times" + (f", first: {found[0]}" if found else ""))
        record_details(record, traffic, runs, start)
        living = [engine.process.poll() is None for engine in engines] + [gateway.process.poll() is None for gateway in gateways]
        if not all(living) or before[1] < 40 or after[1] < 40 or before[0] < LEAST_SHARE:
            return 2
        return 1 if after[0] < LEAST_SHARE else 0
    finally:
        for part in (*gateways, *engines):
            part.kill()


def main(folder, seed, **arguments):
    random.seed(seed)
    # So that the processes are ended too if this one is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with open(folder / "record.txt", "w") as file, tempfile.TemporaryDirectory() as work:
        def record(line):
            print(line, file=file, flush=True)
        record(f"TROUBLE={1 if TROUBLE else 0}")
        code = asyncio.run(play(pathlib.Path(work), record, **arguments))
        record("verdict: " + {0: "RECOVER held", 1: "RECOVER is broken", 2: "the case could not run"}[code])
    sys.exit(code)
