"""One of two workers is taken away by plan, and batch jobs come while it drains."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import checks
import deployment
import http1

# `burst` of `assay-draft`: x 6.0 of 0.686 jobs a second, for 3.0 s, as in the site file.
JOBS, BURST_S = 12, 3.0
ITEMS, EVENTS = 10, 40
# The online traffic of the sheet, 55.8 streams a second at 12 workers, for 2 workers, in the steps of
# the site file; it goes on after the burst.
ONLINE_RATE = 55.8 * 2 / 12
LOW, LOW_S, HIGH, HIGH_S = 0.378, 3.0, 1.85, 2.2
ONLINE_AFTER_S = 5.2
# The worker reports that it drains this long before the jobs come (`drain_ms` is 2,000).
DRAIN_S = 2.2
# `finish_s`, from the end of the traffic on.
FINISH_S = 18.0
# The rule's spans: no worker had an unlisted item, and no item was finished.
IDLE_S, UNFINISHED_S = 5.0, 3.0
# Time for the items after the worker has gone, for the record only.
AFTERWARDS_S = 10.0


async def online(system, record):
    """Streams until the task is cancelled."""
    streams, number, due = [], 0, time.monotonic()
    started = due
    try:
        while True:
            front = system.addresses[system.fronts[number % len(system.fronts)]]
            number += 1
            fields = deployment.stream_headers(deployment.attempt_id())
            path = deployment.STREAM_PATH + "2f"
            streams.append(asyncio.create_task(http1.call(front, "POST", path, fields, b"q", 5.0)))
            step = HIGH if (due - started) % (LOW_S + HIGH_S) >= LOW_S else LOW
            due += 1 / (ONLINE_RATE * step)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    except asyncio.CancelledError:
        answers = await asyncio.gather(*streams)
        served = sum(answer.status == 200 and answer.complete for answer in answers)
        record.say(f"{number} streams, {served} served")


async def case(system, record, trouble):
    fronts = [system.addresses[name] for name in system.fronts]
    leaving = system.workers[1]
    if trouble:
        open(system.drain_file, "w").close()
        record.say(f"worker {leaving} drains")
    traffic = asyncio.create_task(online(system, record))
    await asyncio.sleep(DRAIN_S)
    jobs = [checks.job(ITEMS, EVENTS) for _ in range(JOBS)]
    results = {id: [] for id, _ in jobs}
    readers = []
    for n, (id, items) in enumerate(jobs):
        answer = await checks.submit(record, fronts[n % len(fronts)], id, items)
        assert answer.status == 202, answer.status
        readers.append(asyncio.create_task(
            checks.follow(record, fronts, id, ITEMS, FINISH_S + 40, results[id])))
        await asyncio.sleep(BURST_S / JOBS)
    await asyncio.sleep(ONLINE_AFTER_S)
    traffic.cancel()
    await asyncio.sleep(FINISH_S)
    now = time.time()
    listed = sum(len(one) for one in results.values())
    notes = system.worker_notes()
    runs = [note["t"] for note in notes if note["what"] in ("run", "end")]
    idle = now - max(runs)
    ran_at = {note["worker"] for note in notes if note["what"] == "run"}
    record.say(f"finish_s is over: {listed} of {JOBS * ITEMS} items listed; no worker has had an item "
               f"for {idle:.1f} s; items have run at {len(ran_at)} of 2 workers")
    broken = listed < JOBS * ITEMS and idle > max(IDLE_S, UNFINISHED_S)
    if trouble:
        system.kill(leaving, signal.SIGTERM)
        record.say(f"worker {leaving} has left")
        await asyncio.sleep(AFTERWARDS_S)
        listed = sum(len(one) for one in results.values())
        record.say(f"{AFTERWARDS_S:.0f} s later: {listed} of {JOBS * ITEMS} items listed")
    for reader in readers:
        reader.cancel()
    return broken


class Leaving(deployment.Deployment):
    """The second worker drains on demand."""

    def start_worker(self, n, extra=()):
        return super().start_worker(n, ["--drain-file", self.drain_file] if n == 1 else [])


deployment.Deployment = Leaving
checks.run_case(FOLDER, case, workers=2, worker_args=["--step-ms", "15", "--queue", "4", "--first-ms", "45"])
