"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""
import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import http11

PAGE_ITEMS = 500
MAX_WAIT_MS = 30000
VALUE_BYTES = 1048576


class Store:
    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None
        self.connections = set()
        self.calls = 0
        self.rejected = 0
        # Called before each call with (method, kind, name, query); may return a status, or the
        # strings "lost" (executed, no answer) and "silent" (not executed, no answer), or None.
        self.fault = lambda *_: None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 23)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def change(self, kind, name, obj, deleted=False):
        self.revision += 1
        obj["metadata"]["revision"] = self.revision
        key = (kind, name)
        if deleted:
            del self.objects[key]
        else:
            self.objects[key] = obj
        self.history.append((self.revision, kind, deleted, json.loads(json.dumps(obj))))
        async with self.changed:
            self.changed.notify_all()

    async def create(self, kind, name, spec):
        if (kind, name) in self.objects:
            return 409, self.objects[(kind, name)]
        meta = {"name": name, "revision": 0, "create_revision": self.revision + 1}
        meta.update(finalizers=[], deleting=False)
        obj = {"metadata": meta, "spec": spec, "status": None}
        await self.change(kind, name, obj)
        return 201, obj

    async def replace(self, kind, name, spec, revision=None, field="spec"):
        obj = self.objects.get((kind, name))
        if obj is None:
            return 404, None
        if revision is not None and revision != obj["metadata"]["revision"]:
            return 409, obj
        if obj[field] != spec:
            obj = json.loads(json.dumps(obj))
            obj[field] = spec
            await self.change(kind, name, obj)
        return 200, obj

    async def put(self, kind, name, spec):
        """Writes as the operator or a worker does."""
        status, obj = await self.replace(kind, name, spec)
        if status == 404:
            status, obj = await self.create(kind, name, spec)
        return obj

    async def remove(self, kind, name, revision=None):
        obj = self.objects.get((kind, name))
        if obj is None:
            return 404, None
        if revision is not None and revision != obj["metadata"]["revision"]:
            return 409, obj
        await self.change(kind, name, json.loads(json.dumps(obj)), deleted=True)
        return 200, obj

    def page(self, kind, after):
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        items = [self.objects[(kind, name)] for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return 200, {"items": items, "has_more": more, "store_revision": self.revision}

    async def watch(self, kind, since, wait_ms):
        end = asyncio.get_running_loop().time() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            events = [
                {"object": obj, "deleted": deleted}
                for revision, k, deleted, obj in self.history
                if k == kind and revision > since
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, kind, name, sub, query, body):
        def one(key):
            return query[key][0] if key in query else None

        if method == "GET" and name is None:
            if one("watch") is not None:
                return await self.watch(kind, int(one("watch")), int(one("wait_ms") or 0))
            return self.page(kind, one("after") or "")
        if method == "GET":
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, None)
        if body is not None and len(json.dumps(body.get("spec"), separators=(",", ":"))) > VALUE_BYTES:
            self.rejected += 1
            return 413, None
        if method == "POST":
            return await self.create(kind, body["metadata"]["name"], body["spec"])
        if method == "PUT":
            field = "status" if sub == "status" else "spec"
            revision = body["metadata"].get("revision")
            return await self.replace(kind, name, body[field], revision, field)
        if method == "DELETE":
            revision = one("revision")
            return await self.remove(kind, name, int(revision) if revision else None)
        return 400, None

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await http11.read_body(reader, await http11.read_head(reader))
                method, target, _ = request.start
                url = urlsplit(target)
                parts = url.path.removeprefix("/api/objects/").split("/")
                kind, name, sub = (parts + [None, None])[:3]
                query = parse_qs(url.query)
                body = json.loads(request.body) if request.body else None
                self.calls += 1
                fault = self.fault(method, kind, name, query)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if isinstance(fault, int):
                    writer.write(http11.encode(f"HTTP/1.1 {fault} Fault", []))
                    await writer.drain()
                    continue
                status, answer = await self.handle(method, kind, name, sub, query, body)
                if fault == "lost":
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode() if answer is not None else b""
                head = [("Content-Type", "application/json")]
                writer.write(http11.encode(f"HTTP/1.1 {status} Status", head, data))
                await writer.drain()
        except (http11.Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()
