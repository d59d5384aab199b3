"""Minimal HTTP/1.1 for the stand-ins: a keep-alive server and one-shot client calls, asyncio only."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def serve(host, port, handler):
    """handler(request) returns (status, object to be sent as JSON)."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await handler(Request(method, target, headers, body))
                text = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                              "Content-Length: %d\r\n\r\n"
                              % (status, REASONS.get(status, "-"), len(text))).encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 21, backlog=512)


async def call(address, method, path, body=None, headers=None, timeout=2.0, parse=True):
    """Returns (status, object), or the bytes of the body if it is not to be parsed; raises OSError or asyncio.TimeoutError without an answer."""

    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(text),
                     "Content-Type: application/json", "Connection: close"]
            lines += ["%s: %s" % pair for pair in (headers or {"Host": address}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            await writer.drain()
            first, answered = await read_head(reader)
            length = int(answered.get("content-length", "0"))
            answer = await reader.readexactly(length)
            status = int(first.split(" ")[1])
            if not parse:
                return status, answer
            return status, json.loads(answer) if answer else {}
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("connection closed before the answer") from error
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
