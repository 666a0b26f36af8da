#!/usr/bin/env python3
"""Ends jobs whose owner hears of it late, with real programs.

    scripts/ends.py FOLDER [FAULT...]

FOLDER holds `oleander-front` and `oleander-keeper`. Each round submits a job, lets a fault begin, and
has one host write the end of the job and die before it answers. The end is then asked for at another
host until it is acknowledged. Items that reach a target later than 3 s after that are counted. The
store and the targets are stand-ins on loopback. By hand only; about 20 s for each fault. Exit code 1
if any item came late.

Faults: silent (the keepers' connections to the store), frozen (the keepers), cut (the owner's
connections to the store), blind (both), paused (the owner, which goes on 4 s after the end).
"""
import asyncio
import base64
import json
import os
import random
import signal
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "standin"))
import http11  # noqa: E402
import system as deployment  # noqa: E402
from proxy import Proxy  # noqa: E402
from worker import Worker  # noqa: E402

SERVICE = "model"
HOST = ("Host", "nony24.example")
FAULTS = ["silent", "frozen", "cut", "blind", "paused"]
TARGETS = 2
SLOTS = 4
ITEMS = 200
EVENTS = 10
PAUSE_S = 0.04
LEAD_S = 0.2
BOUND_S = 3.0
PAUSED_S = 4.0
WATCHED_S = 5.0


def identifier():
    return f"{random.getrandbits(64):016x}"


async def ask(front, method, path, head=(), body=b""):
    """Status of a call; None without an answer."""
    try:
        status, _ = await http11.request(front.address("front"), method, path, [HOST, *head], body, 4)
        return status
    except (OSError, http11.Closed, asyncio.TimeoutError):
        return None


class Round:
    """One job and its end."""

    def __init__(self, fault):
        self.fault, self.job = fault, identifier()
        self.system = deployment.System(ROOT, fronts=3, keepers=3)
        self.proxies, self.arrivals = {}, []

    def record(self, what, *_):
        if what == "run":
            self.arrivals.append(self.system.now())

    async def start(self, commands):
        system = self.system
        system.commands = commands
        batch = deployment.route(
            "r-draft", SERVICE, path_prefix="/pule252/", route_kind="batch", timeout_ms=15000,
            target_latency_ms=500, priority=2, max_attempts=3, completion_target_ms=18000,
            retention_s=60, cap=2000000)
        await system.store.start(f"{system.net}200")
        for machine in system.keepers + system.fronts:
            proxy = self.proxies[machine.name] = Proxy(system.store.address)
            await proxy.start(f"{system.net}201")
            system.proxies[machine.name] = proxy.address
        await system.store.create("config", "main", deployment.config(7, [batch], [SERVICE]))
        for machine in system.keepers + system.fronts:
            await machine.start()
        for number in range(TARGETS):
            worker = Worker(system.store, f"i-{number:08x}", SERVICE, deployment.ZONES[number],
                            lambda _: [(PAUSE_S, f"{n}") for n in range(EVENTS)], self.record,
                            slots=SLOTS)
            await worker.start(f"{system.net}{150 + number}")
        await system.wait_ready()
        await asyncio.sleep(3)

    async def submit(self):
        body = base64.b64encode(b"body").decode()
        items = [{"id": identifier(), "path": "/pule252/3", "token_count": 597, "body": body,
                  "headers": {"Model": "m", "Token-Usage": "350,247"}} for _ in range(ITEMS)]
        head = [("Attempt-Id", self.job), ("Content-Type", "application/json")]
        data = json.dumps({"items": items}).encode()
        if await ask(self.system.fronts[0], "POST", "/pule252/7c", head, data) != 202:
            raise deployment.CannotRun("the job is not accepted")
        await asyncio.sleep(2)

    def owner(self):
        record = self.system.store.objects[("joblist", self.job)]["spec"]
        return next(front for front in self.system.fronts if front.name == record["owner"]["host"])

    def begin_fault(self, owner):
        keepers = self.system.keepers
        silent = {"silent": keepers, "cut": [owner], "blind": [owner, *keepers]}
        for machine in silent.get(self.fault, []):
            self.proxies[machine.name].open.clear()
        stopped = {"frozen": keepers, "paused": [owner]}
        for machine in stopped.get(self.fault, []):
            machine.send(signal.SIGSTOP)

    async def end(self, writer, other):
        """Has `writer` write the end and die, and `other` acknowledge it; returns the time."""
        def kill(method, kind, *_):
            if method == "PUT" and kind == "joblist":
                self.system.store.fault = lambda *_: None
                writer.send(signal.SIGKILL)
                return "lost"
            return None

        self.system.store.fault = kill
        path = f"/api/lots/{self.job}"
        await ask(writer, "DELETE", path)
        await asyncio.wait_for(writer.process.wait(), 2)
        while await ask(other, "DELETE", path) != 200:
            await asyncio.sleep(0.1)
        return self.system.now()

    async def play(self, commands):
        """Number of items that come late."""
        await self.start(commands)
        await self.submit()
        owner = self.owner()
        writer, other = [front for front in self.system.fronts if front is not owner]
        self.begin_fault(owner)
        await asyncio.sleep(LEAD_S)
        asked = self.system.now()
        ended = await self.end(writer, other)
        if self.fault == "paused":
            await asyncio.sleep(max(0, ended + PAUSED_S - self.system.now()))
            owner.send(signal.SIGCONT)
        await asyncio.sleep(max(0, ended + BOUND_S + WATCHED_S - self.system.now()))
        late = [at - ended for at in self.arrivals if at > ended + BOUND_S]
        last = max((at - ended for at in self.arrivals), default=0)
        print(f"{self.fault}: acknowledged after {ended - asked:.2f} s, last item {last:+.2f} s after that, "
              f"{len(late)} late", flush=True)
        return len(late)


async def main(folder, faults):
    folder = os.path.abspath(folder)
    commands = {"entry": f"{folder}/oleander-front", "keeper": f"{folder}/oleander-keeper"}
    late = 0
    for fault in faults:
        one = Round(fault)
        try:
            late += await one.play(commands)
        finally:
            await one.system.stop()
    return 1 if late else 0


if __name__ == "__main__":
    if len(sys.argv) < 2 or not set(sys.argv[2:]) <= set(FAULTS):
        sys.exit(__doc__)
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2:] or FAULTS)))
