"""The platform's metadata store, for tests: objects by kind and name, one revision counter."""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

import http1

PAGE = 500
HEARTBEATS = 3


class Store:
    """Objects, their history, and those who wait for changes."""

    def __init__(self, heartbeat_s):
        self.objects = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.heartbeat_s = heartbeat_s
        self.beats = {}

    def commit(self, kind, name, spec, status, old):
        self.revision += 1
        created = old["metadata"]["create_revision"] if old else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        object = {"metadata": metadata, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = object
        self.record(kind, object, False)
        return object

    def record(self, kind, object, deleted):
        self.history.append((self.revision, kind, {"object": object, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, kind, name):
        object = self.objects.get(kind, {}).pop(name, None)
        if object:
            self.revision += 1
            gone = dict(object, metadata=dict(object["metadata"], revision=self.revision))
            self.record(kind, gone, True)
        return object

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [e for rev, k, e in self.history if k == kind and rev > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        kept = self.objects.get(kind, {})
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(
                    kind, int(query["watch"]), float(query.get("wait_ms", 0)) / 1e3
                )
            names = sorted(n for n in kept if n > query.get("after", ""))
            page = [kept[n] for n in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {"items": page, "has_more": more, "store_revision": self.revision}
        if method == "GET":
            return (200, kept[name]) if name in kept else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in kept:
                return 409, kept[name]
            return 200, self.commit(kind, name, sent.get("spec"), None, None)
        old = kept.get(name)
        expected = sent.get("metadata", {}).get("revision", query.get("revision"))
        if old is None:
            if method == "PUT" and kind == "servers":
                self.beats[name] = time.monotonic()
                return 200, self.commit(kind, name, sent.get("spec"), None, None)
            return 404, {}
        if expected is not None and int(expected) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            return 200, self.remove(kind, name)
        if kind == "servers":
            self.beats[name] = time.monotonic()
        spec, status = old["spec"], old["status"]
        if len(parts) > 2:
            status = sent.get("status")
        else:
            spec = sent.get("spec")
        if (spec, status) == (old["spec"], old["status"]):
            return 200, old
        return 200, self.commit(kind, name, spec, status, old)

    async def expire(self):
        """Removes the entries of servers that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - HEARTBEATS * self.heartbeat_s
            for name in [n for n, at in self.beats.items() if at < limit]:
                del self.beats[name]
                self.remove("servers", name)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await http1.read_head(reader)
                body = await http1.read_request_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self.handle(method, target, body)
                data = json.dumps(answer).encode()
                head = {"Content-Type": "application/json", "Content-Length": str(len(data))}
                writer.write(http1.encode_head(f"HTTP/1.1 {status} X", head) + data)
                await writer.drain()
        except (http1.Closed, ConnectionError):
            pass
        finally:
            writer.close()


async def main():
    address, heartbeat_ms = sys.argv[1], float(sys.argv[2])
    host, port = address.rsplit(":", 1)
    store = Store(heartbeat_ms / 1e3)
    await asyncio.start_server(store.serve, host, int(port), limit=http1.LIMIT)
    await store.expire()


asyncio.run(main())
