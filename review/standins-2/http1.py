"""A small HTTP/1.1 reader and writer for the stand-ins."""

import asyncio

LIMIT = 8 << 20


class Closed(Exception):
    """The other end closed the connection or broke the protocol."""


async def read_head(reader):
    """Reads a start line and the headers; names are in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Reads one chunk of a chunked body; empty at the end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from error
    return data[:-2]


async def read_request_body(reader, headers):
    """Reads the body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    size = int(headers.get("content-length", 0))
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(str(error)) from error


def encode_head(start, headers):
    """Encodes a start line and headers."""
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reset(writer):
    """Closes a connection with a reset."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Answer:
    """The answer to a request of a client."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = None


async def call(address, method, path, headers, body=b"", timeout=10.0, on_data=None):
    """Sends a request on a new connection; never raises, `Answer.error` says what failed."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=LIMIT)
        fields = dict(headers)
        fields["Content-Length"] = str(len(body))
        writer.write(encode_head(f"{method} {path} HTTP/1.1", fields) + body)
        await writer.drain()
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                data = await read_chunk(reader)
                if not data:
                    break
                answer.body += data
                if on_data:
                    on_data(data)
        else:
            answer.body = await read_request_body(reader, answer.headers)
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (Closed, OSError, asyncio.TimeoutError, ValueError, IndexError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if writer:
            writer.close()
    return answer
