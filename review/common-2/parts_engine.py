"""An engine of a plain service that sends its answer in parts as it makes them.

A share of the answers has no length, so that the end of the connection is their end.
"""
import asyncio
import json
import random
import sys
import time

import beats
from standins import message, read_body, read_head, whole_answer

ARGUMENTS = json.loads(sys.argv[1])
NAME, LISTEN, SLOTS = ARGUMENTS["name"], ARGUMENTS["listen"], ARGUMENTS["slots"]
RECORD = open(ARGUMENTS["record"], "a", buffering=1)
busy = asyncio.Semaphore(SLOTS)
waiting = 0
running = 0


async def run(writer, attempt, echo, load):
    """Sends one part each `part_ms`; notes the beginning and the end of the run. Returns whether the connection ends with it."""
    is_unframed = random.random() < ARGUMENTS["unframed"]
    RECORD.write(f"{time.time():.3f} {NAME} runs {attempt} {'without' if is_unframed else 'with'} a length\n")
    head = ["HTTP/1.1 200 OK"]
    head.append("connection: close" if is_unframed else f"content-length: {len(b''.join(whole_answer(attempt)))}")
    head += [f"{name}: {value}" for name, value in (*echo, ("X-Hollyhook-Response-Signature", f"s.{NAME}.{attempt}"), load)]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    for part in whole_answer(attempt):
        await asyncio.sleep(ARGUMENTS["part_ms"] / 1000)
        writer.write(part)
        await writer.drain()
    RECORD.write(f"{time.time():.3f} {NAME} has sent all of {attempt}\n")
    return is_unframed


async def serve(reader, writer):
    global waiting, running
    try:
        while (head := await read_head(reader)) is not None:
            line, headers = head
            target = line.split(" ")[1]
            await read_body(reader, headers)
            attempt = headers.get("x-hollyhook-attempt-id")
            load = ("X-Hollyhook-Instance-Load", f"{running},{waiting},{SLOTS}")
            echo = [("X-Hollyhook-Attempt-Id", attempt)] if attempt else []
            if target == "/healthz":
                writer.write(message(200, [("X-Hollyhook-Instance-Id", NAME), load], b""))
            elif attempt is None:
                writer.write(message(400, [("X-Hollyhook-Not-Executed", "1"), load], b""))
            elif headers.get("x-hollyhook-expect-instance") not in (None, NAME):
                writer.write(message(421, echo + [("X-Hollyhook-Instance-Id", NAME), ("X-Hollyhook-Not-Executed", "1")], b""))
            elif waiting >= 24:
                writer.write(message(503, echo + [("X-Hollyhook-Not-Executed", "1"), load], b""))
            else:
                waiting += 1
                async with busy:
                    waiting -= 1
                    running += 1
                    try:
                        is_last = await run(writer, attempt, echo, load)
                    finally:
                        running -= 1
                if is_last:
                    return
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", LISTEN, reuse_address=True)
    asyncio.create_task(beats.beat(ARGUMENTS))
    await server.serve_forever()


asyncio.run(main())
