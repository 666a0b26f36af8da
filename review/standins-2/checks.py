"""What the clients of a case do, and its record."""

import asyncio
import base64
import json
import os
import sys
import time
import traceback

import deployment
import http1


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.started = time.time()

    def note(self, what, **more):
        at = more.pop("t", time.time()) - self.started
        fields = " ".join(f"{name}={value}" for name, value in more.items())
        self.file.write(f"{at:8.3f} {what} {fields}\n")

    def say(self, text):
        self.file.write(f"{text}\n")
        print(text)

    def add_workers(self, notes):
        for note in sorted(notes, key=lambda note: note["t"]):
            note = dict(note)
            self.note(f"worker {note.pop('what')}", **note)


def job(items, events, tag="x"):
    """A batch job of `items` items with `events` events each: its id, and the items."""
    made = []
    for n in range(items):
        made.append({
            "id": deployment.attempt_id(), "path": f"{deployment.BATCH_PATH}3/{n}",
            "headers": {"Model": "m", "Token-Usage": f"350,{events}"},
            "body": base64.b64encode(f"{tag}{n}".encode()).decode(), "token_count": 350 + events,
        })
    return deployment.attempt_id(), made


async def submit(record, address, id, items):
    fields = {"Host": deployment.HOST, "Attempt-Id": id, "Content-Type": "application/json"}
    body = json.dumps({"items": items}).encode()
    answer = await http1.call(address, "POST", f"{deployment.BATCH_PATH}{id[:6]}", fields, body, 4.0)
    record.note("submit", job=id, at=address, status=answer.status, error=answer.error)
    return answer


async def read_results(address, id, after=0, wait_ms=None, timeout=3.0):
    fields = {"Host": deployment.HOST}
    if wait_ms:
        fields["Wait-Ms"] = str(wait_ms)
    return await http1.call(address, "GET", f"/api/lots/{id}?after={after}", fields, b"", timeout)


async def follow(record, addresses, id, total, seconds, results):
    """Reads a job twice a second until all its results are listed, or the time is over."""
    end = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < end and len(results) < total:
        address = addresses[turn % len(addresses)]
        turn += 1
        answer = await read_results(address, id, len(results))
        if answer.status == 200:
            for result in json.loads(answer.body)["results"]:
                record.note("listed", job=id, position=len(results), item=result["id"],
                            state=result["state"], lines=len(result["output"].split("\n")))
                results.append(result)
        else:
            record.note("read", job=id, at=address, status=answer.status, error=answer.error)
        await asyncio.sleep(0.5)


def expected_output(item):
    events = int(item["headers"]["Token-Usage"].split(",")[1])
    return "\n".join(f"{item['id']}:{n}" for n in range(1, events + 1))


def run_case(folder, case, **sizes):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    system = deployment.Deployment(**sizes)

    async def play():
        await system.start()
        record.say(f"started: {len(system.fronts)} fronts, {len(system.workers)} workers, "
                   f"trouble {trouble}")
        return await asyncio.wait_for(case(system, record, trouble), 100)

    code = 2
    try:
        broken = asyncio.run(play())
        record.add_workers(system.worker_notes())
        record.say("the rule was BROKEN" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception:
        record.say("the case couldn't run\n" + traceback.format_exc())
    finally:
        system.stop()
    sys.exit(code)
