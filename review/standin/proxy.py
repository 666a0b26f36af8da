"""A TCP proxy that can fall silent: it then keeps its connections and passes nothing on."""
import asyncio


class Proxy:
    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            await self.open.wait()
            peer_reader, peer_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self.forward(reader, peer_writer), self.forward(peer_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
