#!/usr/bin/env python3
"""Replaces the programs of one build by those of another, one machine after the other, and back.

    scripts/release.py EARLIER LATER

Each argument is a folder with `oleander-front` and `oleander-keeper`. Streams, jobs and changed
configurations go on all the while, at stand-ins of the store and the targets on loopback. Reports
streams that are not whole in the end, jobs that are not finished, and texts that are not those of
their items. By hand only; takes about three minutes. Exit code 1 if anything was wrong.
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
from worker import Worker  # noqa: E402

SERVICE = "model"
HOST = ("Host", "nony24.example")
STREAMS = 10
TARGETS = 6
EVENTS = 30
PAUSE_S = 0.03
ITEMS = 5
JOB_PAUSE_S = 2.0
CONFIG_PAUSE_S = 3.0
FINISH_S = 20.0
TRIES = 6


def identifier():
    return f"{random.getrandbits(64):016x}"


def plan(request):
    ident = request.get("Attempt-Id")
    return [(PAUSE_S, f"{ident[:4]}-{number}") for number in range(1, EVENTS + 1)]


class Traffic:
    """Streams and jobs, and what became of them."""

    def __init__(self, system):
        self.system, self.ends = system, False
        self.streams = self.broken = 0
        self.jobs = {}

    async def attempt(self, ident, body):
        head = [HOST, ("Attempt-Id", ident), ("Model", "m"), ("Token-Usage", "450,72"),
                ("Time-Budget-Ms", "5000")]
        front = random.choice(self.system.fronts)
        try:
            status, answer = await http11.request(
                front.address("front"), "POST", "/lohu930/2f", head, body, 6)
        except (OSError, http11.Closed, asyncio.TimeoutError):
            return False
        expected = "".join(
            f"id: {n}\ndata: {ident[:4]}-{n}\n\n" for n in range(1, EVENTS + 1)).encode()
        if status == 200 and answer.body != expected:
            raise ValueError(f"stream {ident}: {len(answer.body)} bytes, not {len(expected)}")
        return status == 200

    async def stream(self):
        while not self.ends:
            body, whole = os.urandom(50), False
            for _ in range(TRIES):
                whole = await self.attempt(identifier(), body)
                if whole:
                    break
                await asyncio.sleep(0.2)
            self.streams += 1
            self.broken += not whole

    async def submit(self):
        while not self.ends:
            job = identifier()
            items = [{"id": identifier(), "path": "/pule252/3", "headers":
                      {"Model": "m", "Token-Usage": "350,247"}, "token_count": 597,
                      "body": base64.b64encode(os.urandom(100)).decode()} for _ in range(ITEMS)]
            head = [HOST, ("Attempt-Id", job), ("Content-Type", "application/json")]
            front = random.choice(self.system.fronts)
            try:
                status, _ = await http11.request(
                    front.address("front"), "POST", "/pule252/7c", head,
                    json.dumps({"items": items}).encode())
                if status == 202:
                    self.jobs[job] = [item["id"] for item in items]
            except (OSError, http11.Closed, asyncio.TimeoutError):
                pass
            await asyncio.sleep(JOB_PAUSE_S)

    async def results(self, job):
        """What is wrong with a job, or nothing."""
        front = random.choice(self.system.fronts)
        try:
            status, answer = await http11.request(
                front.address("front"), "GET", f"/api/lots/{job}?after=0", [HOST])
        except (OSError, http11.Closed, asyncio.TimeoutError) as error:
            return f"not read: {error!r}"
        if status != 200:
            return f"status {status}"
        results = json.loads(answer.body)["results"]
        if sorted(result["id"] for result in results) != sorted(self.jobs[job]):
            return f"{len(results)} of {ITEMS} items listed"
        for result in results:
            text = "\n".join(f"{result['id'][:4]}-{n}" for n in range(1, EVENTS + 1))
            if (result["state"], result["output"]) != ("completed", text):
                return f"item {result['id']}: {result['state']}, {len(result['output'])} bytes"
        return None


async def configure(system, routes, traffic):
    version = 7
    while not traffic.ends:
        await asyncio.sleep(CONFIG_PAUSE_S)
        version += 1
        changed = [dict(route, timeout_ms=5000 + version) for route in routes]
        await system.store.put("config", "main", deployment.config(version, changed, [SERVICE]))


async def replace(system, folder):
    system.commands = programs(folder)
    for machine in system.keepers + system.fronts:
        machine.send(signal.SIGTERM)
        await asyncio.wait_for(machine.process.wait(), 10)
        await machine.start()
        await system.wait_ready()
        print(f"{system.now():7.1f} {machine.name} runs {folder}", flush=True)


def programs(folder):
    folder = os.path.abspath(folder)
    return {"entry": f"{folder}/oleander-front", "keeper": f"{folder}/oleander-keeper"}


async def main(earlier, later):
    system = deployment.System(ROOT, fronts=3, keepers=3)
    system.commands = programs(earlier)
    online = deployment.route("r-mark", SERVICE, path_prefix="/lohu930/")
    batch = deployment.route(
        "r-draft", SERVICE, path_prefix="/pule252/", route_kind="batch", timeout_ms=15000,
        target_latency_ms=500, priority=2, max_attempts=3, completion_target_ms=18000,
        retention_s=60, cap=2000000)
    traffic = Traffic(system)
    try:
        await system.start(deployment.config(7, [online, batch], [SERVICE]))
        for number in range(TARGETS):
            zone = deployment.ZONES[number % 3]
            worker = Worker(system.store, f"i-{number:08x}", SERVICE, zone, plan, system.record)
            await worker.start(f"{system.net}{150 + number}")
        await system.wait_ready()
        tasks = [asyncio.create_task(traffic.stream()) for _ in range(STREAMS)]
        tasks.append(asyncio.create_task(traffic.submit()))
        tasks.append(asyncio.create_task(configure(system, [online, batch], traffic)))
        for folder in [later, earlier]:
            await replace(system, folder)
        traffic.ends = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(FINISH_S)
        wrong = {job: await traffic.results(job) for job in traffic.jobs}
    finally:
        await system.stop()
    wrong = {job: text for job, text in wrong.items() if text}
    print(f"{traffic.streams} streams, {traffic.broken} never whole; "
          f"{len(traffic.jobs)} jobs, {len(wrong)} wrong: {wrong}")
    return 1 if traffic.broken or wrong else 0


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    sys.exit(asyncio.run(main(*sys.argv[1:])))
