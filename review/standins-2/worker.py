"""A model worker, for tests: streams events, registers itself at the store.

The text of event N of a request is `ID:N`; the number of events is the maximum output in
`Token-Usage`. With `--unframed` an answer has neither a length nor chunks and ends with its
connection.
"""

import argparse
import asyncio
import json
import os
import time

import http1

ARGS = argparse.ArgumentParser()
ARGS.add_argument("--id", required=True)
ARGS.add_argument("--service", required=True)
ARGS.add_argument("--address", required=True)
ARGS.add_argument("--zone", required=True)
ARGS.add_argument("--store", required=True)
ARGS.add_argument("--record", required=True)
ARGS.add_argument("--slots", type=int, default=8)
ARGS.add_argument("--queue", type=int, default=0, help="requests that wait for a slot")
ARGS.add_argument("--step-ms", type=float, default=20.0)
ARGS.add_argument("--first-ms", type=float, default=0.0, help="time before the first event")
ARGS.add_argument("--heartbeat-ms", type=float, default=1200.0)
ARGS.add_argument("--unframed", action="store_true")
ARGS.add_argument("--lose-file", help="while this file exists, answers are reset at their end")
ARGS.add_argument("--lose-one-in", type=int, default=20)
ARGS.add_argument("--spoil-file", help="while this file exists, heads of answers are spoiled")
ARGS.add_argument("--spoil-one-in", type=int, default=33)
ARGS.add_argument("--drain-file", help="while this file exists, the worker is draining")


class Worker:
    """One worker."""

    def __init__(self, args):
        self.args = args
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.ended = 0
        self.begun = 0
        self.born = int(time.time() * 1000)
        self.record = open(args.record, "a", buffering=1)

    def note(self, what, **more):
        self.record.write(json.dumps(dict(t=time.time(), worker=self.args.id, what=what, **more)) + "\n")

    async def heartbeat(self):
        args, seq, state = self.args, 0, None
        path = f"/api/objects/servers/{args.id}"
        while True:
            state = self.state()
            spec = {
                "service": args.service, "address": args.address, "zone": args.zone,
                "version": "v1", "slots": args.slots, "state": state, "cold_left_ms": 0,
                "stage": "dual", "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": seq, "born": self.born,
            }
            body = json.dumps({"metadata": {"name": args.id}, "spec": spec}).encode()
            await http1.call(args.store, "PUT", path, {"Host": "store"}, body, timeout=1.0)
            end = time.monotonic() + args.heartbeat_ms / 1e3
            while time.monotonic() < end and self.state() == state:
                await asyncio.sleep(0.05)

    def state(self):
        return "draining" if is_there(self.args.drain_file) else "ready"

    def load(self):
        return f"{self.running},{self.waiting},{self.args.slots}"

    def loses(self):
        if not is_there(self.args.lose_file):
            return False
        self.ended += 1
        return self.ended % self.args.lose_one_in == 0

    def spoils(self):
        if not is_there(self.args.spoil_file):
            return False
        self.begun += 1
        return self.begun % self.args.spoil_one_in == 0

    async def serve(self, reader, writer):
        try:
            while await self.answer(reader, writer):
                pass
        except (http1.Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        line, headers = await http1.read_head(reader)
        await http1.read_request_body(reader, headers)
        id = headers.get("attempt-id", "")
        head = {"Attempt-Id": id, "Instance-Id": self.args.id, "Instance-Load": self.load()}
        expected = headers.get("expect-instance")
        if line.startswith("GET "):
            writer.write(http1.encode_head("HTTP/1.1 200 OK", dict(head, **{"Content-Length": "0"})))
            return True
        if expected and expected != self.args.id:
            writer.write(http1.encode_head("HTTP/1.1 421 Misdirected", dict(head, **{"Content-Length": "0"})))
            return True
        if self.running + self.waiting >= self.args.slots + self.args.queue:
            self.note("refused", id=id)
            head.update({"Not-Executed": "1", "Content-Length": "0"})
            writer.write(http1.encode_head("HTTP/1.1 503 Full", head))
            return True
        await self.wait_for_slot(reader)
        try:
            return await self.stream(id, headers, head, writer, reader)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()

    async def wait_for_slot(self, reader):
        """Takes a slot; raises if the sender leaves while the request waits."""
        self.waiting += 1
        try:
            async with self.free:
                while self.running >= self.args.slots:
                    if reader.at_eof():
                        raise http1.Closed("the sender has left")
                    try:
                        await asyncio.wait_for(self.free.wait(), 0.05)
                    except asyncio.TimeoutError:
                        pass
                self.running += 1
        finally:
            self.waiting -= 1

    async def stream(self, id, headers, head, writer, reader):
        args = self.args
        count = int(headers["token-usage"].split(",")[1])
        after = int(headers.get("last-event-id", 0))
        self.note("run", id=id, after=after, count=count)
        head.update({"Content-Type": "text/event-stream", "Server-Stamp": f"stamp-{args.id}-{id}"})
        if args.unframed:
            head["Connection"] = "close"
        else:
            head["Transfer-Encoding"] = "chunked"
        await asyncio.sleep((args.first_ms or args.step_ms) / 1e3)
        if self.spoils():
            # One wrong byte, in the name of a header.
            self.note("spoiled", id=id)
            head["Server-Stomp"] = head.pop("Server-Stamp")
        writer.write(http1.encode_head("HTTP/1.1 200 OK", head))
        for n in range(after + 1, count + 1):
            if writer.is_closing() or reader.at_eof():
                self.note("left", id=id, at=n)
                raise http1.Closed("the sender has left")
            event = f"id: {n}\ndata: {id}:{n}\n\n".encode()
            writer.write(event if args.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(args.step_ms / 1e3)
        if after < count and self.loses():
            self.note("answer lost", id=id, last=count)
            http1.reset(writer)
            raise http1.Closed("reset")
        self.note("end", id=id, after=after, count=count)
        if args.unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def is_there(path):
    return path is not None and os.path.exists(path)


async def main():
    worker = Worker(ARGS.parse_args())
    host, port = worker.args.address.rsplit(":", 1)
    await asyncio.start_server(worker.serve, host, int(port), limit=http1.LIMIT)
    worker.note("start")
    await worker.heartbeat()


asyncio.run(main())
