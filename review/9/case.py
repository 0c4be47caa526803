"""Case 9, see claim.txt: generations whose prompts share one part, after the engines of their service have all crashed once."""
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import outage  # noqa: E402
from standins import Engine, call  # noqa: E402

HOST, SERVICE, ENGINES_PER_ZONE = "desk.example", "drafting", 2
DEADLINE_MS, PER_S = 25_000, 6
READ_MS, EVENTS, EVENT_MS = 1_000, 100, 40
# The first part of each prompt: the instructions of the product that sends them all. Each prompt has a last part of its own.
SHARED_PART = "5c1e07a2:200"
CONFIG = outage.configuration(
    [{"name": "draft", "host": HOST, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 25000, "slo_ms": 4500,
      "gap_target_ms": 700, "priority": 1, "service": SERVICE, "max_attempts": 5, "public": False, "sticky": True,
      "resumable": True}],
    [{"name": SERVICE, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False,
      "engine": {"slots": 64, "kv_capacity_tokens": 88000, "kv_token_bytes": 18432, "link_mbps": 280000.0, "moves": False,
                 "backups": False, "stride": 7, "models": [{"name": "m"}]}}])


def make_engines(folder, store_port, runs):
    return [Engine(folder, SERVICE, zone, store_port, runs, program="model_engine.py", slots=64, read_ms=READ_MS, events=EVENTS,
                   event_ms=EVENT_MS) for zone in outage.ZONES for _ in range(ENGINES_PER_ZONE)]


async def attempt(gateway, memory, left_ms):
    """A client attempt, which goes on from the last event that the one before brought."""
    part = memory.setdefault("part", f"{random.getrandbits(32):08x}")
    last = memory.get("last", 0)
    extra = ["X-Hollyhook-Model: m", "X-Hollyhook-Token-Counts: 8000,700",
             f"X-Hollyhook-Prompt-Prefix: {SHARED_PART},{part}:7800"] + ([f"Last-Event-Id: {last}"] if last else [])
    name, status, headers, body = await call(gateway.front, "POST", f"/draft/{part}", HOST, deadline_ms=left_ms,
                                             body=f"draft {part}".encode(), extra=extra)
    numbers = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
    memory["last"] = numbers[-1] if numbers else last
    is_whole = status == 200 and "x-hollyhook-response-signature" in headers and memory["last"] == EVENTS
    return name, (200 if is_whole else 0 if status == 200 else status), headers


outage.main(FOLDER, 6, config=CONFIG, make_engines=make_engines, attempt=attempt, deadline_ms=DEADLINE_MS, per_s=PER_S,
            logged="quarantine.parts_begun")
