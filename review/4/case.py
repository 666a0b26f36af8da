"""ORDER: streams go on at another software version of the workers.

While a service gets workers of a second version, a store machine loses its path to the store for
some seconds. A frontend that has just started knows both versions and is killed; callers take their
streams up again at the other frontends of their zone, which know the first version only.
"""
import asyncio
import os
import random
import signal
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin"))
import http11  # noqa: E402
import system as deployment  # noqa: E402
from proxy import Proxy  # noqa: E402
from worker import Worker  # noqa: E402

SERVICE = "hallmark-llm"
HOST = ("Host", "nony24.example")
FRONTS = 7
ZONE = "coast-a"
EVENTS = 36
PAUSE_S = 0.06
SETTLED_S = 18
CUT_S = 4.5
STREAMS = 12
MAX_MIXED = 2


def identifier():
    return f"{random.getrandbits(64):016x}"


def versioned(version):
    return lambda _: [(PAUSE_S, f"{version}-{number}") for number in range(1, EVENTS + 1)]


async def start_workers(system, version, first):
    for number in range(3):
        worker = Worker(system.store, f"i-{first + number:08x}", SERVICE, deployment.ZONES[number],
                        versioned(version), system.record, version=version)
        await worker.start(f"{system.net}{150 + first + number}")
    return worker


async def attempt(system, front, ident, body, events, extra=()):
    """One client attempt; adds the events that came and returns whether the answer is whole."""
    head = [HOST, ("Attempt-Id", ident), ("Model", "m"), ("Token-Usage", "450,72"),
            ("Time-Budget-Ms", "5000"), *extra]
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*front.address("front")), 1.0)
    except (OSError, asyncio.TimeoutError):
        return False
    rest = b""
    try:
        writer.write(http11.encode("POST /lohu930/2f HTTP/1.1", head, body))
        await writer.drain()
        answer = await asyncio.wait_for(http11.read_head(reader), 5)
        system.record("attempt", ident, "at", front.name, answer.start[1])
        if answer.start[1] != "200":
            return False
        async for chunk in http11.read_chunks(reader):
            *whole, rest = (rest + chunk).split(b"\n\n")
            events += [event.decode().split("data: ")[1] for event in whole]
        return True
    except (http11.Closed, OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


async def stream(system, first, others, mixed):
    ident, body, events = identifier(), os.urandom(100).hex().encode(), []
    whole = await attempt(system, first, ident, body, events)
    tries = 0
    while not whole and tries < 3:
        tries += 1
        extra = []
        if events:
            extra = [("Resumes", ident), ("Last-Event-Id", str(len(events)))]
        other = random.choice(others)
        whole = await attempt(system, other, identifier(), body, events, extra)
        await asyncio.sleep(0.2)
    versions = [event.split("-")[0] for event in events]
    system.record("stream", ident, "whole" if whole else "not whole",
                  *(f"{v}:{versions.count(v)}" for v in sorted(set(versions))))
    if len(set(versions)) > 1:
        mixed.append(f"stream {ident}: {versions.count('v1')} events of v1 and "
                     f"{versions.count('v2')} of v2")


async def main(system, trouble):
    route = deployment.route("r-mark", SERVICE, path_prefix="/lohu930/")
    await system.store.start(f"{system.net}200")
    keeper = system.keepers[0]
    proxy = Proxy(system.store.address)
    await proxy.start(f"{system.net}201")
    system.proxies[keeper.name] = proxy.address
    await system.store.create("config", "main", deployment.config(7, [route], [SERVICE]))
    for machine in system.keepers + system.fronts:
        await machine.start()
    old = await start_workers(system, "v1", 0)
    await system.wait_ready()
    await asyncio.sleep(SETTLED_S)

    # Callers get the addresses of their zone alone, as it has more than one frontend.
    first, *others = [front for front in system.fronts if front.zone == ZONE]
    warm = []
    await asyncio.gather(*[stream(system, others[0], [first], warm) for _ in range(4)])
    if trouble:
        first.process.kill()
        await first.process.wait()
        system.record("kill of", first.name)
    # A change in the list, so that the store machines' watches begin at the same moment in each run.
    await old.report("ready", cold_left_ms=1)
    await asyncio.sleep(0.3)
    if trouble:
        proxy.open.clear()
        system.record("path of", keeper.name, "to the store is cut")
        asyncio.get_running_loop().call_later(CUT_S, proxy.open.set)
    await start_workers(system, "v2", 10)
    system.record("workers of v2 are listed")
    if trouble:
        await first.start()
    while not await first.ready():
        await asyncio.sleep(0.02)
    system.record(first.name, "is ready")
    mixed = []
    streams = [
        asyncio.create_task(stream(system, first, others, mixed)) for _ in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    if trouble:
        first.process.kill()
        await first.process.wait()
        system.record("kill of", first.name)
    await asyncio.gather(*streams)
    return mixed if len(mixed) > MAX_MIXED else []


deployment.run(CASE, main, fronts=FRONTS)
