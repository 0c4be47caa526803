"""A model engine: registers in the store, beats, reports, and writes streams of numbered events, from Last-Event-Id on."""
import asyncio
import json
import sys
import time

from standins import message, read_body, read_head
import beats

ARGUMENTS = json.loads(sys.argv[1])
NAME, PORT, SLOTS = ARGUMENTS["name"], ARGUMENTS["port"], ARGUMENTS["slots"]
READ_S, EVENTS, EVENT_S = ARGUMENTS["read_ms"] / 1000, ARGUMENTS["events"], ARGUMENTS["event_ms"] / 1000
RECORD = open(ARGUMENTS["record"], "a", buffering=1)
runs = {}
TOKENS = 8_000


def report():
    begun = [[attempt, TOKENS, events, 1] for attempt, events in runs.items() if events]
    return {"phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq_no": 1,
            "queued": 0, "active": len(runs), "kv_used": TOKENS * len(runs), "kv_total": 88_000, "handles": 0,
            "pinned": 0, "held": 0, "state": "ready", "runs": begun}


async def stream(writer, attempt, headers):
    last = int(headers.get("last-event-id", "0"))
    writer.write(("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
                  f"X-Hollyhook-Attempt-Id: {attempt}\r\nX-Hollyhook-Response-Signature: s.{NAME}.{attempt}\r\n"
                  "X-Hollyhook-Weight-Versions: 1\r\n\r\n").encode())
    runs[attempt] = 0
    try:
        await asyncio.sleep(READ_S)
        RECORD.write(f"{time.time():.3f} {NAME} runs {attempt} from event {last + 1}\n")
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            runs[attempt] = number
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    finally:
        runs.pop(attempt, None)


async def serve(reader, writer):
    try:
        while (head := await read_head(reader)) is not None:
            line, headers = head
            method, target, _ = line.split(" ")
            await read_body(reader, headers)
            attempt = headers.get("x-hollyhook-attempt-id")
            echo = [("X-Hollyhook-Attempt-Id", attempt)] if attempt else []
            if headers.get("x-hollyhook-expect-instance") not in (None, NAME):
                writer.write(message(421, echo + [("X-Hollyhook-Instance-Id", NAME), ("X-Hollyhook-Not-Executed", "1")], b""))
            elif target == "/healthz":
                writer.write(message(200, [("X-Hollyhook-Instance-Id", NAME)], b""))
            elif target == "/api/report":
                writer.write(message(200, [("content-type", "application/json")], json.dumps(report()).encode()))
            elif attempt is None:
                writer.write(message(404, [], b""))
            elif len(runs) >= SLOTS:
                writer.write(message(503, echo + [("X-Hollyhook-Not-Executed", "1")], b""))
            else:
                await stream(writer, attempt, headers)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", PORT, reuse_address=True)
    asyncio.create_task(beats.beat(ARGUMENTS))
    await server.serve_forever()


asyncio.run(main())
