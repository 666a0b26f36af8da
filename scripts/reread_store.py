"""A stand-in of the store for `reread.py`: slow, limited, losing answers, refusing single machines."""
import asyncio
import bisect
import collections
import contextvars
import json
import os
import random
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "standin"))
import http11  # noqa: E402
from store import MAX_WAIT_MS, Store  # noqa: E402

# Longer than any play.
FOREVER_S = 3600
MACHINE = contextvars.ContextVar("machine", default=None)


class FaultyStore(Store):
    """Each machine has an address of its own, so that its path alone can fail."""

    def __init__(self, rng: random.Random):
        super().__init__()
        self.rng = rng
        self.heal()
        # Machine to "refused" (503), "reset" (its connections close) or "silent".
        self.paths = {}
        self.of_kind = collections.defaultdict(list)
        self.results = collections.Counter()
        self.per_s = collections.Counter()

    def heal(self):
        self.delay_s, self.rate, self.lost, self.mute = 0, None, 0, 0

    async def serve_machine(self, ip, machine):
        """The address at which this machine alone reaches the store."""
        async def serve(reader, writer):
            MACHINE.set(machine)
            await self.serve(reader, writer)

        server = await asyncio.start_server(serve, ip, 0, limit=1 << 23)
        return server.sockets[0].getsockname()[:2]

    async def change(self, kind, name, obj, deleted=False):
        """As the parent's, which keeps the changes of all kinds in one list."""
        self.revision += 1
        obj["metadata"]["revision"] = self.revision
        if deleted:
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = obj
        event = {"object": json.loads(json.dumps(obj)), "deleted": deleted}
        self.of_kind[kind].append((self.revision, event))
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, kind, since, wait_ms):
        loop = asyncio.get_running_loop()
        end = loop.time() + min(wait_ms, MAX_WAIT_MS) / 1000
        changes = self.of_kind[kind]
        while True:
            first = bisect.bisect_right(changes, since, key=lambda change: change[0])
            left = end - loop.time()
            if first < len(changes) or left <= 0:
                events = [event for _, event in changes[first:]]
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def note(self, result):
        self.results[result] += 1

    def refused(self):
        """Whether the call exceeds the rate of all machines."""
        second = int(asyncio.get_running_loop().time())
        self.per_s[second] += 1
        return self.rate is not None and self.per_s[second] > self.rate

    async def handle(self, *call):
        path = self.paths.get(MACHINE.get())
        over = self.refused()
        if path == "silent":
            self.note("silent")
            await asyncio.sleep(FOREVER_S)
        if path == "reset":
            self.note("reset")
            raise http11.Closed("refused")
        if path == "refused" or over:
            status = 503 if path else 429
            self.note(status)
            return status, None
        await asyncio.sleep(self.delay_s)
        status, answer = await super().handle(*call)
        draw = self.rng.random()
        if draw < self.lost:
            self.note("lost")
            raise http11.Closed("lost")
        if draw < self.lost + self.mute:
            self.note("mute")
            await asyncio.sleep(FOREVER_S)
        self.note(status)
        return status, answer

    def take_counts(self):
        """Calls by result and the most calls in one second since the last time."""
        results = ", ".join(f"{count} of {result}" for result, count in sorted(
            self.results.items(), key=lambda pair: str(pair[0])))
        most = max(self.per_s.values(), default=0)
        self.results.clear()
        self.per_s.clear()
        return f"{results or 'none'} (at most {most} in one second)"
