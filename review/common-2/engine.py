"""An engine of a plain service: registers in the store, beats, and answers after its work; a queue of 24, then 503."""
import asyncio
import json
import sys
import time

import beats
from standins import message, read_body, read_head

ARGUMENTS = json.loads(sys.argv[1])
NAME, PORT, SLOTS = ARGUMENTS["name"], ARGUMENTS["port"], ARGUMENTS["slots"]
RECORD = open(ARGUMENTS["record"], "a", buffering=1)
busy = asyncio.Semaphore(SLOTS)
waiting = 0
running = 0


async def serve(reader, writer):
    global waiting, running
    try:
        while (head := await read_head(reader)) is not None:
            line, headers = head
            method, target, _ = line.split(" ")
            body = await read_body(reader, headers)
            attempt = headers.get("x-hollyhook-attempt-id")
            load = ("X-Hollyhook-Instance-Load", f"{running},{waiting},{SLOTS}")
            echo = [("X-Hollyhook-Attempt-Id", attempt)] if attempt else []
            expected = headers.get("x-hollyhook-expect-instance")
            if target == "/healthz":
                answer = message(200, [("X-Hollyhook-Instance-Id", NAME), load], b"")
            elif expected not in (None, NAME):
                answer = message(421, echo + [("X-Hollyhook-Instance-Id", NAME), ("X-Hollyhook-Not-Executed", "1")], b"")
            elif waiting >= 24:
                answer = message(503, echo + [("X-Hollyhook-Not-Executed", "1"), load], b"")
            else:
                waiting += 1
                async with busy:
                    waiting -= 1
                    running += 1
                    RECORD.write(f"{time.time():.3f} {NAME} runs {method} {target} {attempt}\n")
                    try:
                        await asyncio.sleep(ARGUMENTS["work_ms"] / 1000)
                    finally:
                        running -= 1
                answer = message(200, echo + [("X-Hollyhook-Response-Signature", f"s.{NAME}.{attempt}"), load,
                                              ("Keep-Alive", "timeout=10")], b"answer to " + (attempt or "").encode())
            writer.write(answer)
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
