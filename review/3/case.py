"""MIXED: answers and texts of items begin with bytes that a worker sent in place of an answer.

One of six workers answers for some seconds with a head and bytes that are no events, without end,
until its caller closes. The streams and items go on at other workers.
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
WORKERS = 6
TROUBLE_S = 5.0
JOBS = 6
ITEMS = 10
EVENTS = 60
PAUSE_S = 0.02
CALLERS = 6


def word(ident, number):
    return f"{ident}-{number}"


def plan(request):
    ident = request.get("Attempt-Id")
    return [(PAUSE_S, word(ident, number)) for number in range(1, EVENTS + 1)]


class TroubledWorker(Worker):
    """Sends random bytes in its bodies while `in_trouble`."""

    in_trouble = False

    async def run(self, writer, request, ident):
        if not self.in_trouble:
            return await super().run(writer, request, ident)
        self.record("garbage", ident, self.id)
        head = self.headers(ident) + [
            ("Server-Stamp", f"stamp.{ident}"), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(http11.encode("HTTP/1.1 200 OK", head, length=False))
        source = random.Random(ident)
        while True:
            writer.write(http11.chunk(source.randbytes(4096)))
            await writer.drain()
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
    return job, status


def whole_stream(ident):
    events = [f"id: {n}\ndata: {word(ident, n)}\n\n" for n in range(1, EVENTS + 1)]
    return "".join(events).encode()


async def stream(system, front, until, violations):
    """Sends one stream after the other; reports whole answers that hold other bytes."""
    while system.now() < until:
        ident = identifier()
        head = [HOST, ("Attempt-Id", ident), ("Model", "m"), ("Token-Usage", "450,72"),
                ("Time-Budget-Ms", "5000")]
        try:
            status, answer = await http11.request(
                front.address("front"), "POST", "/lohu930/2f", head, b"x" * 300, 6)
        except (OSError, http11.Closed, asyncio.TimeoutError):
            system.record("stream", ident, "no whole answer")
            continue
        system.record("stream", ident, status, len(answer.body), "bytes")
        expected = whole_stream(ident)
        if status == 200 and answer.body != expected:
            rest = "then the whole stream" if answer.body.endswith(expected) else "no whole stream"
            violations.append(
                f"stream {ident}: answered 200 with {len(answer.body) - len(expected)} bytes beyond"
                f" its own, {rest}")
        await asyncio.sleep(0.1)


async def read(front, job):
    results = []
    while len(results) < ITEMS:
        status, answer = await http11.request(
            front.address("front"), "GET", f"/api/lots/{job}?after={len(results)}", [HOST])
        page = json.loads(answer.body)["results"] if status == 200 else []
        if not page:
            return None
        results += page
    return results


async def main(system, trouble):
    route = deployment.route(
        "r-draft", SERVICE, path_prefix="/pule252/", route_kind="batch", timeout_ms=15000,
        target_latency_ms=500, priority=2, max_attempts=3, completion_target_ms=18000,
        retention_s=60, cap=2000000)
    online = deployment.route("r-mark", SERVICE, path_prefix="/lohu930/")
    await system.start(deployment.config(7, [route, online], [SERVICE]))
    workers = []
    for number in range(WORKERS):
        kind = TroubledWorker if number == 0 else Worker
        worker = kind(system.store, f"i-{number:08x}", SERVICE, deployment.ZONES[number % 3], plan,
                      system.record)
        await worker.start(f"{system.net}{150 + number}")
        workers.append(worker)
    await system.wait_ready()
    await asyncio.sleep(3)
    if trouble:
        workers[0].in_trouble = True
        system.record("trouble of", workers[0].id, "begins")
    jobs = set()
    violations = []
    until = system.now() + TROUBLE_S
    callers = [
        asyncio.create_task(stream(system, system.fronts[number % 3], until, violations))
        for number in range(CALLERS)
    ]
    for number in range(JOBS):
        job, status = await submit(system, system.fronts[number % 3])
        if status == 202:
            jobs.add(job)
        await asyncio.sleep(0.3)
    await asyncio.sleep(TROUBLE_S - 0.3 * JOBS)
    workers[0].in_trouble = False
    system.record("trouble of", workers[0].id, "ends")
    await asyncio.gather(*callers)
    end = system.now() + 40
    while jobs and system.now() < end:
        await asyncio.sleep(0.5)
        for job in sorted(jobs):
            try:
                results = await read(random.choice(system.fronts), job)
            except (OSError, http11.Closed, asyncio.TimeoutError):
                continue
            if results is None:
                continue
            jobs.discard(job)
            for result in results:
                ident = result["id"]
                whole = "\n".join(word(ident, number) for number in range(1, EVENTS + 1))
                system.record("result of", ident, result["state"], len(result["output"]), "bytes")
                if result["state"] == "completed" and result["output"] != whole:
                    violations.append(
                        f"item {ident} of job {job}: completed with {len(result['output'])} bytes"
                        f" that begin with {result['output'][:24]!r}, its output is {len(whole)}"
                        f" bytes that begin with {whole[:24]!r}")
                if result["state"] == "dead_lettered":
                    violations.append(f"item {ident} of job {job}: dead_lettered")
    for job in jobs:
        system.record("not finished:", job)
    return violations


deployment.run(CASE, main)
