"""A stand-in of a worker: streams events, one request at a time on a connection."""
import asyncio
import time

import http11

# Time between two checks whether the caller has closed its connection.
LEFT_CHECK_S = 0.02


class Worker:
    """`plan(request)` gives the events of a run, a list of (pause in s, data) from the first one."""

    def __init__(self, store, ident, service, zone, plan, record, slots=8, queue=8,
                 version="v1"):
        self.store, self.id, self.service, self.zone = store, ident, service, zone
        self.plan, self.record = plan, record
        self.slots, self.queue, self.version = slots, queue, version
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.born = int(time.time() * 1000)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 23)
        self.address = self.server.sockets[0].getsockname()[:2]
        await self.report("ready")

    async def report(self, state, cold_left_ms=0):
        entry = {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state,
            "cold_left_ms": cold_left_ms,
            "stage": "dual", "models": [{"name": "m", "version": 1, "adapters": []}], "seq": 0,
            "born": self.born,
        }
        await self.store.put("servers", self.id, entry)

    def headers(self, ident):
        load = f"{self.running},{self.waiting},{self.slots}"
        return [("Attempt-Id", ident), ("Instance-Id", self.id), ("Instance-Load", load)]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http11.read_body(reader, await http11.read_head(reader))
                await self.answer(reader, writer, request)
        except (http11.Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer, request):
        ident = request.get("Attempt-Id")
        expected = request.get("Expect-Instance")
        refusal = None
        if ident is None:
            refusal = "400 Bad Request"
        elif expected not in (None, self.id):
            refusal = "421 Misdirected Request"
        elif self.running >= self.slots and self.waiting >= self.queue:
            refusal = "503 Service Unavailable"
        if refusal:
            head = self.headers(ident or "") + [("Not-Executed", "1")]
            writer.write(http11.encode(f"HTTP/1.1 {refusal}", head))
            await writer.drain()
            return
        run = asyncio.create_task(self.run(writer, request, ident))
        while not run.done():
            await asyncio.wait({run}, timeout=LEFT_CHECK_S)
            if not run.done() and (reader.at_eof() or reader.exception()):
                run.cancel()
                await asyncio.gather(run, return_exceptions=True)
                self.record("dropped", ident, self.id)
                raise http11.Closed("caller left")
        run.result()

    async def run(self, writer, request, ident):
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
        finally:
            self.waiting -= 1
        self.running += 1
        self.record("run", ident, self.id)
        try:
            after = int(request.get("Last-Event-Id") or 0)
            events = list(enumerate(self.plan(request), 1))[after:]
            head = self.headers(ident) + [
                ("Server-Stamp", f"stamp.{ident}"), ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            begun = False
            for number, (pause, data) in events:
                await asyncio.sleep(pause)
                if not begun:
                    writer.write(http11.encode("HTTP/1.1 200 OK", head, length=False))
                    begun = True
                writer.write(http11.chunk(f"id: {number}\ndata: {data}\n\n".encode()))
                await writer.drain()
            if not begun:
                writer.write(http11.encode("HTTP/1.1 200 OK", head, length=False))
            writer.write(http11.LAST_CHUNK)
            await writer.drain()
            self.record("done", ident, self.id)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify_all()
