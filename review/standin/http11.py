"""A small HTTP/1.1 server and client for the stand-ins."""
import asyncio


class Closed(Exception):
    """The peer has closed the connection before a complete message."""


class Message:
    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed(str(error)) from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers.append((key.strip(), value.strip()))
    return Message(lines[0].split(" ", 2), headers)


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises Closed unless it is complete."""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ValueError, OSError) as error:
            raise Closed(str(error)) from error
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, message):
    if "chunked" in (message.get("Transfer-Encoding") or ""):
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        length = int(message.get("Content-Length") or 0)
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise Closed(str(error)) from error
    return message


def encode(start, headers, body=b"", length=True):
    lines = [start] + [f"{key}: {value}" for key, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


async def request(address, method, path, headers, body=b"", timeout=3.0):
    """Sends one request on a new connection; returns status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            response = await read_body(reader, await read_head(reader))
            return int(response.start[1]), response
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
