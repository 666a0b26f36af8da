"""LOST: a worker that doesn't stop writing for an item ends one machine after the other.

One of twelve workers answers items with events without end. The machine that runs the item keeps
them all, and the platform kills it when it uses more than `memory_mb`. The answers that callers wait
for there on kept connections are lost.
"""
import asyncio
import base64
import json
import os
import random
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin"))
import http11  # noqa: E402
import system as deployment  # noqa: E402
from worker import Worker  # noqa: E402

SERVICE = "hallmark-llm"
HOST = ("Host", "nony24.example")
WORKERS = 12
TROUBLE_S = 5.5
TRAFFIC_S = 9.0
MEMORY_MB = 260
RESTART_S = 0.5
ITEMS = 20
EVENTS = 40
PAUSE_S = 0.02
ANSWER_S = 0.6
CALLERS = 24
MAX_UNANSWERED = 3


def plan(_):
    return [(PAUSE_S, f"word-{number}") for number in range(1, EVENTS + 1)]


class TroubledWorker(Worker):
    """Doesn't end its streams of items while `in_trouble`, and answers other requests soundly."""

    in_trouble = False

    async def run(self, writer, request, ident):
        if not request.start[1].startswith("/pule252/"):
            self.record("run", ident, self.id)
            await asyncio.sleep(ANSWER_S)
            head = self.headers(ident) + [("Server-Stamp", f"stamp.{ident}")]
            writer.write(http11.encode("HTTP/1.1 200 OK", head, ident.encode()))
            await writer.drain()
            return
        if not self.in_trouble:
            return await super().run(writer, request, ident)
        self.record("run", ident, self.id, "without end")
        head = self.headers(ident) + [
            ("Server-Stamp", f"stamp.{ident}"), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(http11.encode("HTTP/1.1 200 OK", head, length=False))
        number = int(request.get("Last-Event-Id") or 0)
        while True:
            events = []
            for _ in range(200):
                number += 1
                events.append(b"id: %d\ndata: %s\n\n" % (number, b"x" * 1000))
            writer.write(http11.chunk(b"".join(events)))
            await writer.drain()
            if not self.in_trouble:
                raise http11.Closed("the trouble has ended")
            await asyncio.sleep(0.002)


def identifier():
    return f"{random.getrandbits(64):016x}"


async def submit(system, front):
    job = identifier()
    items = [
        {"id": identifier(), "path": "/pule252/3/91c4",
         "headers": {"Model": "m", "Token-Usage": "350,247"},
         "body": base64.b64encode(os.urandom(200)).decode(), "token_count": 597}
        for _ in range(ITEMS)
    ]
    head = [HOST, ("Attempt-Id", job), ("Content-Type", "application/json")]
    status, _ = await http11.request(
        front.address("front"), "POST", "/pule252/7c41e0", head,
        json.dumps({"items": items}).encode())
    system.record("job", job, "to", front.name, "answered", status)


def used_mb(machine):
    """Memory of a process that no other one shares."""
    try:
        with open(f"/proc/{machine.process.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        return int(fields["RssAnon"].split()[0]) / 1024
    except (OSError, KeyError):
        return 0


async def enforce_memory(system, machine, ends):
    """Kills the process above its memory limit and starts it again, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        used = used_mb(machine)
        if used > MEMORY_MB:
            machine.process.kill()
            await machine.process.wait()
            system.record("kill of", machine.name, f"which uses {used:.0f} of {MEMORY_MB} MB")
            ends.append(machine.name)
            await asyncio.sleep(RESTART_S)
            await machine.start()


async def call(system, front, until, unanswered):
    """Sends one request after the other on a kept connection."""
    connection = None
    while system.now() < until:
        ident = identifier()
        head = [HOST, ("Attempt-Id", ident), ("Model", "m"), ("Token-Usage", "450,72"),
                ("Time-Budget-Ms", "5000")]
        kept = connection is not None
        try:
            if not kept:
                opening = asyncio.open_connection(*front.address("front"), limit=1 << 20)
                connection = await asyncio.wait_for(opening, 1.0)
            reader, writer = connection
            writer.write(http11.encode("POST /lohu930/2f HTTP/1.1", head, b"x" * 300))
            await writer.drain()
        except (OSError, asyncio.TimeoutError):
            connection = None
            await asyncio.sleep(0.3)
            continue
        try:
            answer = await asyncio.wait_for(
                http11.read_body(reader, await http11.read_head(reader)), 5)
            if answer.get("Connection") == "close":
                writer.close()
                connection = None
        except (OSError, http11.Closed, asyncio.TimeoutError):
            writer.close()
            connection = None
            runs = [text for _, text in system.lines if text.startswith(f"run {ident}")]
            system.record("no answer to", ident, "at", front.name, "kept" if kept else "new",
                          "passed on" if runs else "not passed on")
            if kept and runs:
                unanswered.append((front.name, ident, runs[0].split()[2]))
    if connection:
        connection[1].close()


async def main(system, trouble):
    batch = deployment.route(
        "r-draft", SERVICE, path_prefix="/pule252/", route_kind="batch", timeout_ms=15000,
        target_latency_ms=500, priority=2, max_attempts=3, completion_target_ms=18000,
        retention_s=60, cap=2000000)
    online = deployment.route(
        "r-mark", SERVICE, path_prefix="/lohu930/", route_kind="idempotent", resumable=False)
    await system.start(deployment.config(7, [batch, online], [SERVICE]))
    workers = []
    for number in range(WORKERS):
        worker = TroubledWorker(system.store, f"i-{number:08x}", SERVICE,
                                deployment.ZONES[number % 3], plan, system.record)
        await worker.start(f"{system.net}{150 + number}")
        workers.append(worker)
    await system.wait_ready()
    await asyncio.sleep(3)
    ends, unanswered = [], []
    guards = [
        asyncio.create_task(enforce_memory(system, front, ends)) for front in system.fronts
    ]
    until = system.now() + TRAFFIC_S
    callers = [
        asyncio.create_task(call(system, system.fronts[number % 3], until, unanswered))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(1.5)
    if trouble:
        workers[0].in_trouble = True
        system.record("trouble of", workers[0].id, "begins")
    await submit(system, system.fronts[0])
    await asyncio.sleep(TROUBLE_S)
    workers[0].in_trouble = False
    system.record("trouble of", workers[0].id, "ends")
    await asyncio.gather(*callers)
    for guard in guards:
        guard.cancel()
    await asyncio.gather(*guards, return_exceptions=True)
    sound = [entry for entry in unanswered if not trouble or entry[2] != workers[0].id]
    if len(sound) <= MAX_UNANSWERED:
        return []
    violations = [f"{name} was killed: memory over the limit" for name in ends]
    for name, ident, worker in sound:
        violations.append(f"{name}: no answer to {ident}, passed on to the sound worker {worker}")
    return violations


deployment.run(CASE, main)
