"""The entry of an engine in the store, and its heartbeats."""
import asyncio
import json

from standins import HEARTBEAT_S, read_head


async def beat(arguments):
    name, number = arguments["name"], 0
    while True:
        number += 1
        spec = {"service": arguments["service"], "address": f"127.0.0.1:{arguments['port']}", "zone": arguments["zone"],
                "version": "v1", "slots": arguments["slots"], "state": "ready", "cold_remaining_ms": 0, "seq_no": number}
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", arguments["store"])
            writer.write(f"PUT /api/objects/servers/{name} HTTP/1.1\r\nhost: store\r\ncontent-type: application/json\r\n"
                         f"content-length: {len(body)}\r\n\r\n".encode() + body)
            await read_head(reader)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(HEARTBEAT_S)
