"""After many replacements of machines and a restart of all, accepted jobs have no owner for long."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from fleet import *  # noqa: E402,F403

# Machines that were replaced by others, one after another, in the life of the deployment.
REPLACED = int(os.environ.get("REPLACED", "100"))
JOBS, ITEMS, EVENTS = 1, 8, 60
FINISH_S, CALM_S, UNFINISHED_S = 18, 5, 3


async def replace_machines(fleet, hosts):
    """Each new machine is ready before an old one gets SIGTERM and is gone for good."""
    number = len(hosts)
    for _ in range(REPLACED):
        number += 1
        new = await fleet.machine(10 + number, f"frontend-zone-a-{number}").start()
        await new.until_ready()
        old, hosts = hosts[0], hosts[1:] + [new]
        old.signal(signal.SIGTERM)
        fleet.note(f"{old.name} is removed for good; {new.name} has come at another address")
    await asyncio.sleep(4)
    return hosts


async def case(fleet):
    fleet.configure()
    workers = [await Worker(fleet, f"i-w{n}", pace_s=0.02).start() for n in (1, 2)]
    keeper = await fleet.machine(220, "storage-zone-a-1", "keeper").start()
    hosts = [await fleet.machine(10 + n, f"frontend-zone-a-{n}").start() for n in (1, 2, 3)]
    for host in hosts:
        await host.until_ready()
    if TROUBLE:
        hosts = await replace_machines(fleet, hosts)
    await asyncio.sleep(3)

    jobs = [Job(fleet, ITEMS, EVENTS) for _ in range(JOBS)]
    for job in jobs:
        await job.accept(hosts[:1])
    if TROUBLE:
        fleet.note(f"all processes are killed; {hosts[0].name}, which accepted the jobs, never comes back")
        for machine in fleet.machines:
            if machine.process.poll() is None:
                machine.kill()
        await asyncio.sleep(0.5)
        for machine in hosts[1:] + [keeper]:
            await machine.start()
    for host in hosts[1:]:
        await host.until_ready()
    fleet.note("all that come back are ready again; the traffic has ended")

    # The clients go on reading for `finish_s`.
    back, end = fleet.now(), fleet.now() + FINISH_S
    while fleet.now() < end and not all(job.is_done() for job in jobs):
        for job in jobs:
            await job.read(hosts[1], wait_ms=100)
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(0, end - fleet.now()))
    for job in jobs:
        for host in hosts[1:]:
            await job.read(host, wait_ms=0)
    return held(fleet, jobs, workers, back)


def held(fleet, jobs, workers, back):
    """The rule: an unlisted item, no worker with one of that job, and nothing finished lately."""
    now = fleet.now()
    runs = [run for worker in workers for run in worker.runs]
    lately = [run for run in runs if run["at"] > now - CALM_S]
    busy = sum(worker.running for worker in workers)
    late_ends = [run for run in runs if run["end"] == "complete" and run["ended"] > now - UNFINISHED_S]
    fleet.note(f"{now - back:.1f} s later: {busy} items run, {len(lately)} runs began in the last "
               f"{CALM_S} s, {len(late_ends)} ended in the last {UNFINISHED_S} s")
    broken = False
    for job in jobs:
        missing = set(job.items) - {result["id"] for result in job.results}
        had = [run for run in lately if run["id"] in missing]
        fleet.note(f"job {job.id}: {len(missing)} of {len(job.items)} items are not listed")
        broken |= bool(missing) and not had and busy * 2 < sum(w.slots for w in workers) and not late_ends
    return not broken


play(case, HERE)
