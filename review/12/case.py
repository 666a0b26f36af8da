"""A late second copy of a worker's 500 counts as another failed attempt of a batch item."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from fleet import *  # noqa: E402,F403

# Answers of 500 that the workers give to the item; the route's `max_attempts` is 3.
FAILURES = 2
EVENTS = 10


async def case(fleet):
    fleet.configure()
    odd, failures, answers, copies = set(), [], {}, {}

    async def behave(worker, request, _, writer):
        item = request.get("attempt-id")
        answers[worker.name] = answers.get(worker.name, 0) + 1
        copy = copies.pop(writer, None)
        if copy:
            fleet.note(f"worker {worker.name}: second copy of its last answer on this connection, "
                       f"where the answer to {item} is expected")
            writer.write(copy)
        if item not in odd or len(failures) >= FAILURES:
            return False
        answer = encode_answer(500, b"engine error", worker.heads(request))
        writer.write(answer)
        failures.append(worker.name)
        fleet.note(f"worker {worker.name}: ran {item}, answers 500 (number {len(failures)})")
        if TROUBLE and len(failures) == 1:
            copies[writer] = answer
        return True

    for number in (1, 2):
        worker = await Worker(fleet, f"i-w{number}").start()
        worker.behave = behave
    await fleet.machine(220, "storage-zone-a-1", "keeper").start()
    hosts = [await fleet.machine(10 + n, f"frontend-zone-a-{n}").start() for n in (1, 2)]
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(3)

    # The usual work, of which one answer in some forty is spoilt.
    usual = Job(fleet, 90, EVENTS)
    await usual.accept(hosts)
    end = fleet.now() + 30
    while not usual.is_done() and fleet.now() < end:
        await usual.read(hosts[1])
    await asyncio.sleep(1)

    job = Job(fleet, 1, EVENTS)
    odd.update(job.items)
    await job.accept(hosts)
    end = fleet.now() + 30
    while not job.is_done() and fleet.now() < end:
        await job.read(hosts[0])
    fleet.note(f"answers: {answers}; answers of 500 to the item: {len(failures)}; copies: {int(TROUBLE)}")
    if not usual.is_done() or not job.is_done():
        raise CannotRun("a job has no results")
    result = job.results[0]
    if result["state"] == "completed":
        return result["output"] == whole_output(result["id"], EVENTS)
    fleet.note(f"{result['state']} after {len(failures)} answers of 500, though max_attempts is 3")
    return len(failures) >= 3


play(case, HERE)
