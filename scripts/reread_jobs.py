"""Jobs and their readers for `reread.py`."""
import asyncio
import base64
import collections
import json
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "standin"))
import http11  # noqa: E402

HOST = ("Host", "nony24.example")
WAIT_MS = 1000
PATIENCE_S = 2.5
GIVE_UP_S = 20
RETRY_S = 0.5


class Job:
    """A job, and what has been read of it."""

    def __init__(self, rng, items, open_items=0):
        self.id = f"{rng.getrandbits(64):016x}"
        self.items = {f"{rng.getrandbits(64):016x}": number for number in range(items)}
        # The last items never end.
        self.due = items - open_items
        self.known = []
        self.complaints = []

    def body(self, item):
        return f"body of {item}".encode()

    def submission(self):
        items = [{"id": item, "path": f"/pule252/3/{self.path(number)}", "token_count": 597,
                  "headers": {"Model": "m", "Token-Usage": "350,247"},
                  "body": base64.b64encode(self.body(item)).decode()}
                 for item, number in self.items.items()]
        return json.dumps({"items": items}).encode()

    def path(self, number):
        return number if number < self.due else "open"

    def is_read(self):
        return len(self.known) >= self.due

    def compare(self, after, results):
        """Takes new results for known, and notes any that differ from what had been read."""
        for position, result in enumerate(results, after):
            if position == len(self.known):
                self.known.append(result)
            elif self.known[position] != result:
                self.complaints.append(f"result {position} of {self.id} has changed")

    def unlisted(self):
        listed = {result["id"] for result in self.known}
        return [item for item in self.items if item not in listed]


class Count:
    """What became of the reads of a check."""

    def __init__(self, clock):
        self.clock, self.began = clock, clock()
        self.ends = collections.Counter()
        self.slowest = 0.0
        self.last_failure = None
        self.failed_at = collections.Counter()

    def note(self, end, took, host):
        self.ends[end] += 1
        if end in ("answered", "absent"):
            self.slowest = max(self.slowest, took)
        else:
            self.last_failure = self.clock() - self.began
            self.failed_at[host.name] += 1

    def __str__(self):
        ends = self.ends
        last = "never" if self.last_failure is None else f"after {self.last_failure:.1f} s"
        return (f"{sum(ends.values())} reads, {ends['none']} without an answer, {ends['503']} of 503, "
                f"{ends['refused']} not connected, {ends['short']} short, {ends['other']} others; "
                f"slowest {self.slowest:.2f} s, last failure {last}, at {len(self.failed_at)} hosts")


async def call(host, method, path, head=(), body=b"", patience=PATIENCE_S):
    """Status and body of a call; "refused" without a connection, "none" without an answer."""
    try:
        status, answer = await http11.request(
            host.address("front"), method, path, [HOST, *head], body, patience)
        return status, answer.body
    except ConnectionRefusedError:
        return "refused", b""
    except (OSError, http11.Closed, asyncio.TimeoutError):
        return "none", b""


class Reader:
    """Reads jobs and bodies at hosts drawn anew after each failure."""

    def __init__(self, rng, hosts, clock):
        self.rng, self.hosts, self.clock = rng, hosts, clock
        self.count = Count(clock)

    async def read_page(self, job, after, host, wait_ms=WAIT_MS, patience=PATIENCE_S):
        """Results of one read; None if it failed or lacks what had been read."""
        began = self.clock()
        path = f"/api/lots/{job.id}?after={after}"
        status, body = await call(host, "GET", path, [("Wait-Ms", str(wait_ms))], b"", patience)
        took = self.clock() - began
        if status != 200:
            end = str(status) if status in ("none", "refused", 503) else "other"
            self.count.note(end, took, host)
            return None
        results = json.loads(body)["results"]
        if not results and after < len(job.known):
            self.count.note("short", took, host)
            return None
        self.count.note("answered", took, host)
        job.compare(after, results)
        return results

    async def read_job(self, job, until, give_up_s):
        """Reads a job from its start; whether `until` results came."""
        began, after, host = self.clock(), 0, self.rng.choice(self.hosts)
        while after < until:
            if self.clock() - began > give_up_s:
                return False
            results = await self.read_page(job, after, host)
            if results:
                after += len(results)
            elif results is None:
                host = self.rng.choice(self.hosts)
                await asyncio.sleep(RETRY_S)
        return True

    async def read_body(self, job, item):
        """Whether an unlisted item's body comes, or a listed one's does not."""
        began, host = self.clock(), self.rng.choice(self.hosts)
        while self.clock() - began <= GIVE_UP_S:
            expected = (200, job.body(item)) if item in job.unlisted() else (404, b"")
            at = self.clock()
            status, body = await call(host, "GET", f"/api/items/{job.id}?id={item}")
            if status == expected[0] and (status == 404 or body == expected[1]):
                self.count.note("answered" if status == 200 else "absent", self.clock() - at, host)
                return True
            end = str(status) if status in ("none", "refused", 503) else "other"
            self.count.note(end, self.clock() - at, host)
            host = self.rng.choice(self.hosts)
            await asyncio.sleep(RETRY_S)
        return False

    async def read_all(self, jobs):
        """Reads all jobs and a body of each; jobs and bodies that did not come."""
        items = [self.rng.choice(job.unlisted() or list(job.items)) for job in jobs]
        whole = await asyncio.gather(
            *[self.read_job(job, len(job.known), GIVE_UP_S) for job in jobs],
            *[self.read_body(job, item) for job, item in zip(jobs, items)])
        lost = [job for job, came in zip(jobs, whole) if not came]
        return lost, len(jobs) - sum(whole[len(jobs):])
