"""A front is killed while the others have been restarted in turn a few seconds before."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import checks
import deployment
import http1

EVENTS = 36
# The traffic of `mark-check`: 51.5 streams a second on the sheet, in the steps of the site file.
RATE = 51.5
LOW, LOW_S, HIGH, HIGH_S = 0.378, 3.0, 1.85, 2.2
# The third front is killed at this point of the traffic's steps: near the end of a high one.
KILL_AT_S = 4.8
# The first restart begins at this one, so that the kill is due 18 s later.
RESTART_AT_S = 2.2
# Time before the first restart: the fronts have run for longer than any stream by then.
QUIET_S = 14.0
# A process that has ended is started again after a short delay.
BACK_S = 0.5
# `roll_term` of the site: the next machine follows 1.3 s after the one before is back.
GAP_S = 1.3
# The restarted fronts are in touch again (`contact_ms` is 3,000) when the third one is killed.
TOUCH_S = 3.5


class Counts:
    new = begun = taken_up = gone_on = 0


class State:
    in_touch_since = {}
    started = 0.0
    ends = False


async def client(system, record, counts):
    """A stream, and its next tries at other fronts if it is cut."""
    names = list(system.fronts)
    random.shuffle(names)
    id = deployment.attempt_id()
    path = deployment.STREAM_PATH + "2f"
    body = f"q{id}".encode()
    fields = deployment.stream_headers(id, events=EVENTS)
    until = time.monotonic() + 5.0
    name = names.pop()
    first = await http1.call(system.addresses[name], "POST", path, fields, body, 5.0)
    ids = deployment.event_ids(first.body)
    if is_in_touch(name):
        counts.new += 1
        counts.begun += first.status == 200 and bool(ids)
    if first.complete or not ids:
        if first.status != 200:
            record.note("stream", id=id, at=name, status=first.status, error=first.error)
        return
    while names:
        name = names.pop()
        was_in_touch = is_in_touch(name)
        again = deployment.attempt_id()
        left = until - time.monotonic()
        fields["Attempt-Id"] = again
        fields.update({"Last-Event-Id": str(ids[-1]), "Resumes": id,
                       "Time-Budget-Ms": str(int(left * 1000))})
        second = await http1.call(system.addresses[name], "POST", path, fields, body, left)
        goes_on = second.status == 200 and bool(deployment.event_ids(second.body) or second.complete)
        record.note("taken up", id=id, again=again, at=name, in_touch=was_in_touch, after=ids[-1],
                    status=second.status, complete=second.complete, error=second.error,
                    retry_after=second.headers.get("retry-after"))
        if was_in_touch:
            counts.taken_up += 1
            counts.gone_on += goes_on
        if second.status is not None:
            return


def is_in_touch(name):
    since = State.in_touch_since.get(name)
    return since is not None and time.monotonic() >= since


async def traffic(system, record, counts):
    clients, due = [], time.monotonic()
    State.started = due
    while not State.ends:
        clients.append(asyncio.create_task(client(system, record, counts)))
        step = HIGH if (due - State.started) % (LOW_S + HIGH_S) >= LOW_S else LOW
        due += 1 / (RATE * step)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*clients)


async def until_step(at):
    """Waits until this point of the traffic's steps."""
    period = LOW_S + HIGH_S
    position = (time.monotonic() - State.started) % period
    await asyncio.sleep((at - position) % period)


async def restart(system, record, name):
    """SIGTERM, the end within the grace period, and a new start."""
    record.note("SIGTERM", front=name)
    State.in_touch_since[name] = None
    process = system.processes[name]
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + 8.0
    while process.poll() is None and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()
    await asyncio.sleep(BACK_S)
    await start(system, record, name)


async def start(system, record, name):
    system.start_system(name)
    State.in_touch_since[name] = time.monotonic() + 3.0
    record.note("started", front=name)
    await deployment.wait_for(10, lambda: system.is_ready(name))


async def case(system, record, trouble):
    counts = Counts()
    State.in_touch_since = {name: 0.0 for name in system.fronts}
    load = asyncio.create_task(traffic(system, record, counts))
    await asyncio.sleep(QUIET_S)
    await until_step(RESTART_AT_S)
    if trouble:
        await restart(system, record, system.fronts[0])
        await asyncio.sleep(GAP_S)
        await restart(system, record, system.fronts[1])
        await asyncio.sleep(TOUCH_S)
        await until_step(KILL_AT_S)
        record.say(f"{system.fronts[2]} is killed")
        State.in_touch_since[system.fronts[2]] = None
        system.kill(system.fronts[2])
        await asyncio.sleep(BACK_S)
        await start(system, record, system.fronts[2])
    await asyncio.sleep(4.0)
    State.ends = True
    await load
    record.say(f"at fronts in touch: {counts.new} new streams, {counts.begun} of them began; "
               f"{counts.taken_up} taken up again, {counts.gone_on} of them went on")
    if counts.taken_up < 12:
        return False
    return counts.gone_on / counts.taken_up < counts.begun / counts.new / 2


checks.run_case(FOLDER, case, workers=12, worker_args=["--step-ms", "24"])
