"""MIXED: items of a job on a new route are given up by a machine that has not read the route yet.

A store machine freezes for some seconds. Meanwhile the operator adds a batch route, a machine of
another zone accepts jobs on it and is then stopped. It gives the jobs away, in part to a machine
whose configuration comes through the frozen one.
"""
import asyncio
import base64
import json
import os
import random
import signal
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin"))
import http11  # noqa: E402
import system as deployment  # noqa: E402
from worker import Worker  # noqa: E402

SERVICE = "hallmark-llm"
HOST = ("Host", "nony24.example")
FREEZE_S = 3.2
JOBS = 8
ITEMS = 5
ONLINE_STREAMS = 36
ONLINE_PLAN = [(0.04, "word")] * 36
ITEM_PLAN = [(0.02, "word")] * 40


def plan(request):
    return ITEM_PLAN if request.start[1].startswith("/pule252/") else ONLINE_PLAN


def identifier():
    return f"{random.getrandbits(64):016x}"


async def online(system, front, until):
    """Sends one stream after the other, so that the workers are full."""
    while system.now() < until:
        head = [HOST, ("Attempt-Id", identifier()), ("Model", "m"), ("Token-Usage", "450,72"),
                ("Time-Budget-Ms", "5000")]
        try:
            await http11.request(front.address("front"), "POST", "/lohu930/2f", head, b"x" * 300, 6)
        except (OSError, http11.Closed, asyncio.TimeoutError):
            await asyncio.sleep(0.3)


def make_job():
    items = [
        {"id": identifier(), "path": "/pule252/3/91c4",
         "headers": {"Model": "m", "Token-Usage": "350,247"},
         "body": base64.b64encode(os.urandom(200)).decode(), "token_count": 597}
        for _ in range(ITEMS)
    ]
    return identifier(), items


async def submit(system, front, job, items):
    body = json.dumps({"items": items}).encode()
    head = [HOST, ("Attempt-Id", job), ("Content-Type", "application/json")]
    status, _ = await http11.request(front.address("front"), "POST", "/pule252/7c41e0", head, body)
    system.record("job", job, "to", front.name, "answered", status)
    return status


async def read(front, job):
    try:
        status, answer = await http11.request(
            front.address("front"), "GET", f"/api/lots/{job}?after=0", [HOST])
    except (OSError, http11.Closed, asyncio.TimeoutError):
        return None
    return json.loads(answer.body) if status == 200 else None


async def main(system, trouble):
    freeze = trouble and os.environ.get("FREEZE", "1") != "0"
    online_route = deployment.route("r-mark", SERVICE, path_prefix="/lohu930/")
    batch_route = deployment.route(
        "r-draft", SERVICE, path_prefix="/pule252/", route_kind="batch", timeout_ms=15000,
        target_latency_ms=500, priority=2, max_attempts=3, completion_target_ms=18000,
        retention_s=60, cap=2000000)
    await system.start(deployment.config(7, [online_route], [SERVICE]))
    for number in range(3):
        worker = Worker(system.store, f"i-{number:08x}", SERVICE, deployment.ZONES[number], plan,
                        system.record)
        await worker.start(f"{system.net}{150 + number}")
    await system.wait_ready()
    await asyncio.sleep(4)
    until = system.now() + 5
    load = [
        asyncio.create_task(online(system, system.fronts[number % 3], until))
        for number in range(ONLINE_STREAMS)
    ]
    await asyncio.sleep(1.5)

    changed = dict(online_route, timeout_ms=5500)
    await system.store.put("config", "main", deployment.config(9, [changed], [SERVICE]))
    system.record("configuration 9: another timeout")
    await asyncio.sleep(0.6)
    frozen = system.keepers[2]
    if freeze:
        frozen.send(signal.SIGSTOP)
        system.record("freeze of", frozen.name)
        asyncio.get_running_loop().call_later(FREEZE_S, frozen.send, signal.SIGCONT)
    await system.store.put(
        "config", "main", deployment.config(12, [changed, batch_route], [SERVICE]))
    system.record("configuration 12: adds the batch route")
    first, *others = system.fronts
    jobs = {}
    await asyncio.sleep(0.1)
    # A request on a route that was just added may still get 404; the caller asks again with a new
    # job then.
    for _ in range(100):
        job, items = make_job()
        if await submit(system, first, job, items) == 202:
            jobs[job] = items
            break
        await asyncio.sleep(0.02)
    for job, items in [make_job() for _ in range(JOBS - 1)]:
        if await submit(system, first, job, items) == 202:
            jobs[job] = items
    if trouble:
        first.send(signal.SIGTERM)
        system.record("SIGTERM to", first.name)
    await asyncio.gather(*load)
    violations = []
    end = system.now() + 25
    open_jobs = set(jobs)
    while open_jobs and system.now() < end:
        await asyncio.sleep(0.5)
        for job in sorted(open_jobs):
            answer = await read(random.choice(others), job)
            if answer and len(answer["results"]) == len(jobs[job]):
                open_jobs.discard(job)
                states = [result["state"] for result in answer["results"]]
                system.record("results of", job, *states)
                runs = {text.split()[1] for _, text in system.lines if text.startswith("run ")}
                for result in answer["results"]:
                    if result["state"] == "dead_lettered":
                        ran = "ran" if result["id"] in runs else "never reached a worker"
                        violations.append(f"job {job} item {result['id']}: dead_lettered, {ran}")
    for job in open_jobs:
        system.record("not finished:", job)
    return violations


deployment.run(CASE, main)
