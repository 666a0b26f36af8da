#!/usr/bin/env python3
"""Reads jobs that had been read again from their start, after faults, with real programs.

    scripts/reread.py FOLDER [FAULT...] [--hosts N] [--keepers N] [--jobs N] [--items N] [--events N]
                      [--seed N] [--rounds N] [--logs FOLDER]

FOLDER holds `oleander-front` and `oleander-keeper`. Each play submits jobs, whose items end more than
1 s apart so that each is a segment of its own, reads them to their end, lets a fault begin, and has
each job read from its start, and a body of each: `Wait-Ms` 1000, 2.5 s of patience, again at a host
drawn anew after each failure, given up after 20 s; some rounds. The first job has an item that never
ends. The store and the targets are stand-ins on loopback. By hand only; about a minute for each fault.
Exit code 1 if a result that had been read did not come again, came otherwise, or a body did not come;
2 if a play can't run. A seed draws jobs, hosts and lost answers, not the timing.

A fault is a series of steps joined by `+`, such as `slow:0.5+restart` or `hang:0.1+restart+mute:0.1`:
none; restart (all killed and started, until ready); restart-now (the same, without a wait);
slow:S (the store takes S seconds a call); rate:N (calls in a second, 429 beyond them);
lost:P, mute:P (part of the store's calls that take effect and close or never answer);
heal (all these); path:MODE:N (refused, reset or silent for N hosts, and these are read);
back (their paths work; how long until they answer, with reads and without);
hang:P, gone:P (part of the hosts, frozen or killed for good); owners-hang:P, owners-gone:P (those
that own the most jobs); former:S (such owners are frozen for S seconds while others finish new jobs,
and are read then); pause:S.
"""
import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
from collections import Counter

from reread_jobs import Job, Reader, call
from reread_store import ROOT, FaultyStore
import system as deployment
from worker import Worker

SERVICE = "model"
FAULTS = ["none", "restart", "restart+slow:0.1", "restart+slow:0.24", "restart+slow:0.5",
          "restart+slow:1", "rate:20+restart", "restart+path:refused:2+back",
          "restart+path:silent:2+back", "owners-hang:0.2", "owners-gone:0.2", "hang:0.1+restart",
          "former:4", "restart+lost:0.1", "restart+mute:0.1"]
TARGETS = 6
FIRST_S, STEP_S, PACE_S = 0.5, 1.3, 0.4
READ_S, READY_S, RECOVERY_S = 90, 60, 20
FORMER_PART, FORMER_S = 0.25, 10
IDLE_S = 3
TEXT = "x" * 40
SIGNALS = {"hang": signal.SIGSTOP, "gone": signal.SIGKILL}


class Play:
    """One fault, and the reads after it."""

    def __init__(self, fault, options):
        self.fault, self.options = fault, options
        self.system = deployment.System(ROOT, fronts=options.hosts, keepers=options.keepers)
        self.rng = random.Random(options.seed)
        self.store = self.system.store = FaultyStore(random.Random(options.seed + 1))
        self.disturbed, self.readable, self.run_items = set(), list(self.system.fronts), set()
        self.jobs, self.clock = [], self.system.now
        self.failures = []

    def plan(self, request):
        """Events of an item: the first run takes as long as its number says, later ones no time."""
        name, item = request.start[1].rsplit("/", 1)[1], request.get("Attempt-Id")
        if name == "open":
            return [(PACE_S, TEXT)] * 10000
        paced = int((FIRST_S + STEP_S * int(name)) / PACE_S)
        paced, _ = (0 if item in self.run_items else paced), self.run_items.add(item)
        return [(PACE_S if n < paced else 0, f"{item} {n} {TEXT}")
                for n in range(max(self.options.events, paced))]

    async def start(self, commands):
        system, store = self.system, self.store
        system.commands = commands
        batch = deployment.route(
            "r-draft", SERVICE, path_prefix="/pule252/", route_kind="batch", timeout_ms=15000,
            target_latency_ms=500, priority=2, max_attempts=3, completion_target_ms=60000,
            retention_s=600, cap=20000000)
        await store.start(f"{system.net}200")
        for machine in system.keepers + system.fronts:
            system.proxies[machine.name] = await store.serve_machine(
                f"{system.net}201", machine.name)
        await store.create("config", "main", deployment.config(7, [batch], [SERVICE]))
        for machine in system.keepers + system.fronts:
            await machine.start()
        slots = 2 * self.options.jobs * self.options.items // TARGETS + 8
        for number in range(TARGETS):
            worker = Worker(store, f"i-{number:08x}", SERVICE, deployment.ZONES[number % 3],
                            self.plan, lambda *_: None, slots=slots)
            await worker.start(f"{system.net}{150 + number}")
        await system.wait_ready(READY_S)
        await asyncio.sleep(3)

    async def submit(self, jobs):
        async def one(job):
            for _ in range(10):
                head = [("Attempt-Id", job.id), ("Content-Type", "application/json")]
                host = self.rng.choice(self.readable)
                status, _ = await call(host, "POST", "/pule252/7c", head, job.submission(), 5)
                if status == 202:
                    return
                await asyncio.sleep(0.5)
            raise deployment.CannotRun(f"a job is not accepted: {status}")

        await asyncio.gather(*[one(job) for job in jobs])
        self.jobs = jobs

    async def read_first(self, until=lambda job: job.due):
        """Reads the jobs as they are done."""
        reader = Reader(self.rng, self.readable, self.clock)
        read = await asyncio.gather(
            *[reader.read_job(job, until(job), READ_S) for job in self.jobs])
        if not all(read):
            raise deployment.CannotRun(f"{read.count(False)} jobs were never done: {reader.count}")

    def segments(self):
        of_jobs = {job.id for job in self.jobs}
        names = [name for kind, name in self.store.objects if kind == "jobresults"]
        return sum(name.split(".")[0] in of_jobs for name in names) / max(1, len(self.jobs))

    def owners(self):
        """Hosts by the number of jobs that they own, most first."""
        owned = dict.fromkeys(self.readable, 0)
        for job in self.jobs:
            owner = (self.store.objects[("joblist", job.id)]["spec"].get("owner") or {}).get("host")
            for host in self.readable:
                owned[host] += host.name == owner
        return sorted(self.readable, key=lambda host: -owned[host])

    def disturb(self, hosts, part, number):
        chosen = hosts[:max(1, round(part * len(hosts)))]
        for host in chosen:
            host.send(number)
        self.disturbed.update(chosen)
        self.readable = [host for host in self.readable if host not in self.disturbed]

    async def restart(self, wait=True):
        machines = [m for m in self.system.keepers + self.system.fronts if m not in self.disturbed]
        for machine in machines:
            machine.send(signal.SIGKILL)
        await asyncio.gather(*[machine.process.wait() for machine in machines])
        began = self.clock()
        for machine in machines:
            await machine.start()
        fronts = self.readable
        while wait and not all(await asyncio.gather(*[front.ready() for front in fronts])):
            if self.clock() - began > READY_S:
                print("  not all hosts are ready again", flush=True)
                break
            await asyncio.sleep(0.2)
        print(f"  restarted; waited {self.clock() - began:.1f} s until ready", flush=True)

    def cut(self, mode, number):
        self.readable = self.readable[:int(number)]
        self.store.paths = {host.name: mode for host in self.readable}

    async def probe(self, host):
        """Status of a read of a job that doesn't exist, which no memory answers: 404 if known."""
        path = f"/api/lots/{self.rng.getrandbits(64):016x}?after=0"
        return (await call(host, "GET", path, [("Wait-Ms", "0")]))[0]

    async def until_known(self, host):
        """How long until a host knows again that a job doesn't exist."""
        began = self.clock()
        while self.clock() - began < RECOVERY_S:
            if await self.probe(host) == 404:
                return f"{self.clock() - began:.2f} s"
            await asyncio.sleep(0.1)
        return "never"

    async def back(self):
        """Reads while the path is cut, then mends it; and the same without reads."""
        await self.check()
        probes = [await asyncio.gather(*map(self.probe, self.readable)) for _ in range(10)]
        paths, self.store.paths = self.store.paths, {}
        times = await asyncio.gather(*map(self.until_known, self.readable))
        print(f"  path cut, reads of no job: {dict(Counter(sum(probes, [])))}; path back, under "
              f"reads: known after {', '.join(times)}", flush=True)
        self.store.paths = paths
        await asyncio.sleep(IDLE_S)
        self.store.paths = {}
        await asyncio.sleep(IDLE_S)
        once = await asyncio.gather(*map(self.probe, self.readable))
        print(f"  path back for {IDLE_S} s without reads: {once}", flush=True)

    async def former(self, frozen_s):
        """Owners of half-done jobs are frozen, others finish the jobs, and the owners go on."""
        await self.submit([Job(self.rng, self.options.items) for _ in range(self.options.jobs)])
        await self.read_first(lambda job: job.due // 2)
        everyone = self.readable
        owners = self.owners()[:max(1, round(FORMER_PART * len(everyone)))]
        records = [self.store.objects[("joblist", job.id)]["spec"]["owner"]["host"]
                   for job in self.jobs]
        owned = [(job, host) for job, name in zip(self.jobs, records)
                 for host in owners if host.name == name]
        self.disturb(owners, 1, signal.SIGSTOP)
        at_freeze = {job.id: len(job.known) for job in self.jobs}
        others = asyncio.create_task(self.read_first())
        await asyncio.sleep(frozen_s)
        for host in owners:
            host.send(signal.SIGCONT)
        longer = sum(len(job.known) > at_freeze[job.id] for job, _ in owned)
        done = sum(job.is_read() for job, _ in owned)
        print(f"  {len(owned)} jobs of {len(owners)} frozen owners: {longer} went on elsewhere, "
              f"{done} were read to their end before the owners went on", flush=True)
        count = await self.watch_former(owned)
        print(f"  at the former owners for {FORMER_S} s: {count}", flush=True)
        await others
        self.disturbed.difference_update(owners)
        self.readable = owners

    async def watch_former(self, owned):
        """Asks each former owner for the last result that was read elsewhere."""
        reader = Reader(self.rng, [], self.clock)

        async def one(job, host):
            while self.clock() - reader.count.began < FORMER_S:
                await reader.read_page(job, len(job.known) - 1, host, 0)
                await asyncio.sleep(0.1)

        await asyncio.gather(*[one(job, host) for job, host in owned])
        return reader.count

    async def step(self, name, *values):
        store, spread = self.store, self.rng.sample(self.readable, len(self.readable))
        if name in ("slow", "rate", "lost", "mute"):
            field = {"slow": "delay_s"}.get(name, name)
            setattr(store, field, float(values[0]))
        elif name in ("hang", "gone"):
            self.disturb(spread, float(values[0]), SIGNALS[name])
        elif name in ("owners-hang", "owners-gone"):
            self.disturb(self.owners(), float(values[0]), SIGNALS[name.removeprefix("owners-")])
        elif name in ("restart", "restart-now"):
            await self.restart(name == "restart")
        elif name == "former":
            await self.former(float(values[0]))
        elif name == "pause":
            await asyncio.sleep(float(values[0]))
        elif name == "path":
            self.cut(*values)
        elif name == "back":
            await self.back()
        elif name == "heal":
            store.heal()
        elif name != "none":
            raise deployment.CannotRun(f"unknown fault: {name}")

    async def check(self):
        """Rounds of reads of all jobs from their start."""
        for number in range(self.options.rounds):
            reader = Reader(self.rng, self.readable, self.clock)
            lost, bodies = await reader.read_all(self.jobs)
            print(f"  round {number + 1}, {self.clock() - reader.count.began:.1f} s: {reader.count}; "
                  f"{len(lost)} of {len(self.jobs)} jobs not whole, {bodies} bodies not had",
                  flush=True)
            if lost or bodies:
                self.failures.append(f"round {number + 1}: {bodies} bodies, and jobs "
                                     + " ".join(job.id for job in lost))
        print(f"  calls at the store: {self.store.take_counts()}", flush=True)

    async def play(self, commands):
        options = self.options
        print(f"{self.fault}: seed {options.seed}, {options.hosts} hosts, {options.keepers} keepers, "
              f"{options.jobs} jobs of {options.items}, {options.events} events, load "
              f"{os.getloadavg()[0]:.1f}", flush=True)
        await self.start(commands)
        jobs = [Job(self.rng, options.items, int(number == 0)) for number in range(options.jobs)]
        await self.submit(jobs)
        await self.read_first()
        print(f"  all read, {self.segments():.1f} segments a job", flush=True)
        self.store.take_counts()
        for step in self.fault.split("+"):
            await self.step(*step.split(":"))
        print(f"  calls at the store until the check: {self.store.take_counts()}", flush=True)
        await self.check()
        self.failures += [text for job in self.jobs for text in job.complaints]
        for text in self.failures:
            print(f"  FAILED {text}", flush=True)

    async def stop(self):
        if self.failures and self.options.logs:
            folder = os.path.join(self.options.logs, f"{self.fault}-{self.options.seed}-{os.getpid()}")
            shutil.copytree(self.system.folder, folder)
        await self.system.stop()


def parse_options():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("folder")
    parser.add_argument("faults", nargs="*")
    parser.add_argument("--logs")
    defaults = dict(hosts=12, keepers=3, jobs=40, items=10, events=60, seed=1, rounds=3)
    for name, value in defaults.items():
        parser.add_argument(f"--{name}", type=int, default=value)
    return parser.parse_args()


async def main(options):
    folder = os.path.abspath(options.folder)
    commands = {"entry": f"{folder}/oleander-front", "keeper": f"{folder}/oleander-keeper"}
    # Jobs are kept for longer than any play.
    deployment.BOUNDS["status_s"] = 900
    failed = 0
    for fault in options.faults or FAULTS:
        play = Play(fault, options)
        try:
            await play.play(commands)
        finally:
            await play.stop()
        failed += len(play.failures)
    return 1 if failed else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main(parse_options())))
    except deployment.CannotRun as error:
        print(f"can't run: {error}", file=sys.stderr)
        sys.exit(2)
