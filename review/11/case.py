"""A machine that the store turns away continues streams at a worker of another version."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from fleet import *  # noqa: E402,F403

ZONES = ("zone-a", "zone-b", "zone-c")
# One stream each 25 ms over all machines, 1.4 s long.
EVENTS, PACE_S, GAP_S = 36, 0.04, 0.025
# Workers of the first zone that crash: twice 2 of 12.
FIRST, SECOND = (0, 3), (6, 9)
# `platform_down`, nodes: 9 s; 2 of 6 machines.
AWAY_S = 9.0
# Which of them: "both", "front" or "none" (the crashes alone).
AWAY = os.environ.get("AWAY", "both")
# Times after the begin of the store's refusals.
FIRST_CRASH_S, DOWN_S, SECOND_CRASH_S = 0.5, 1.0, 7.0


class Client:
    """Asks for streams at all machines in turn, and keeps the versions that each one holds."""

    def __init__(self, fleet, hosts):
        self.fleet, self.hosts, self.answers, self.mixed = fleet, hosts, {}, []

    async def ask(self, host):
        attempt = "%016x" % random.getrandbits(64)
        fields = {"Host": "stream.example", "Attempt-Id": attempt, "Model": "m",
                  "Token-Usage": f"250,{EVENTS}", "Time-Budget-Ms": "5000"}
        try:
            answer = await call(host.front, "POST", "/ask/1", fields, b"question", 6)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.count(type(error).__name__)
            return
        self.count(answer.status)
        events = [line for line in answer.body.decode().split("\n") if line.startswith("data:")]
        versions = [line.rsplit(" ", 1)[1] for line in events]
        if len(set(versions)) > 1:
            self.mixed.append(attempt)
            at = next(n for n, version in enumerate(versions) if version != versions[0])
            self.fleet.note(f"stream {attempt} at {host.name}: {answer.status}, {len(events)} events, "
                            f"of {versions[0]} up to event {at}, then of {versions[at]}")

    def count(self, end):
        self.answers[end] = self.answers.get(end, 0) + 1

    async def run(self, seconds):
        end, tasks = self.fleet.now() + seconds, []
        while self.fleet.now() < end:
            tasks.append(asyncio.create_task(self.ask(self.hosts[len(tasks) % len(self.hosts)])))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)


async def disturb(fleet, workers, away):
    start = fleet.now()

    async def until(seconds):
        await asyncio.sleep(max(0, start + seconds - fleet.now()))

    names = {machine.name for machine in away}
    fleet.note(f"the store turns {sorted(names)} away")
    fleet.store.gate = lambda node, *_: "busy" if node in names else None
    await until(FIRST_CRASH_S)
    for number in FIRST:
        workers[number].crash()
    await until(FIRST_CRASH_S + DOWN_S)
    for number in FIRST:
        await workers[number].restart("v2")
    await until(SECOND_CRASH_S)
    for number in SECOND:
        workers[number].crash()
    await until(AWAY_S)
    fleet.store.gate = lambda *_: None
    for number in SECOND:
        fleet.store.remove("servers", workers[number].name)
    fleet.note("the store serves all machines")


async def case(fleet):
    fleet.configure(routes=[fleet.stream_route()])
    workers = []
    for number in range(12):
        worker = Worker(fleet, f"i-w{number}", pace_s=PACE_S, zone=ZONES[number % 3])
        worker.text = lambda item, event, worker=worker: f"{event_text(item, event)} {worker.version}"
        workers.append(await worker.start())
    keepers = [await fleet.machine(220 + n, f"storage-{zone}-1", "keeper", zone).start()
               for n, zone in enumerate(ZONES)]
    hosts = [await fleet.machine(10 + n, f"frontend-{zone}-1", "entry", zone).start()
             for n, zone in enumerate(ZONES)]
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(4)
    client = Client(fleet, hosts)
    asking = asyncio.create_task(client.run(15))
    await asyncio.sleep(3)
    if TROUBLE:
        await disturb(fleet, workers, {"both": [hosts[0], keepers[0]], "front": hosts[:1]}.get(AWAY, []))
    await asking
    fleet.note(f"answers: {client.answers}; streams of two versions: {len(client.mixed)}")
    if client.answers.get(200, 0) < 100:
        raise CannotRun("too few streams")
    return len(client.mixed) <= 2


play(case, HERE)
