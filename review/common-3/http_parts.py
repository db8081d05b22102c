"""Small HTTP/1.1 parts on asyncio: a server and a client connection."""

import asyncio
import time


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers  # lower-case name -> value
        self.body = body


async def read_head(reader):
    """Returns the first line and the fields, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(out)
            out.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_head(first, headers):
    return (first + "\r\n" + "".join(
        "%s: %s\r\n" % item for item in headers.items()) + "\r\n").encode()


class HttpServer:
    """Calls handle(request) -> (status, headers, body) for each request."""

    def __init__(self, handle):
        self.handle = handle
        self.tasks = set()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target = head[0].split(" ")[:2]
                body = await read_body(reader, head[1])
                status, headers, data = await self.handle(
                    Request(method, target, head[1], body))
                headers = dict(headers, **{"Content-Length": len(data)})
                writer.write(encode_head("HTTP/1.1 %d X" % status, headers))
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def start(self, host, port):
        self.server = await asyncio.start_server(
            self.serve, host, port, backlog=512, limit=1 << 20)


class Answer:
    """An answer as a client sees it. complete: it has its marked end."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""


class Client:
    """A client's connection, kept for several requests."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.writer = None

    async def connect(self, sock=None):
        if sock is not None:
            self.reader, self.writer = await asyncio.open_connection(
                sock=sock, limit=1 << 12)
        else:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port, limit=1 << 16),
                1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def read(self, size, rate):
        """Reads `size` bytes, on average at most `rate` a second (0: as they
        come)."""
        out = []
        while size > 0:
            if rate:
                due = self.read_since + self.read_bytes / rate
                await asyncio.sleep(max(0, due - time.monotonic()))
            data = await self.reader.read(min(size, 4096 if rate else 65536))
            if not data:
                raise ConnectionError("closed")
            out.append(data)
            size -= len(data)
            self.read_bytes += len(data)
        return b"".join(out)

    async def request(self, method, target, headers, body=b"", timeout=5.0,
                      rate=0, on_data=None):
        answer = Answer()
        try:
            await asyncio.wait_for(
                self.exchange(answer, method, target, headers, body, rate,
                              on_data), timeout)
        except asyncio.TimeoutError:
            answer.error = "time limit"
        except (ConnectionError, OSError, asyncio.IncompleteReadError) as err:
            answer.error = "%s: %s" % (type(err).__name__, err)
        if (not answer.complete or
                answer.headers.get("connection", "").lower() == "close"):
            self.close()
        return answer

    async def exchange(self, answer, method, target, headers, body, rate,
                       on_data):
        if self.writer is None:
            await self.connect()
        fields = dict(headers)
        if body or method != "GET":
            fields["Content-Length"] = len(body)
        self.writer.write(encode_head(
            "%s %s HTTP/1.1" % (method, target), fields) + body)
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed before an answer")
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        self.read_since, self.read_bytes = time.monotonic(), 0
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = await self.read(size, rate) if size else b""
                answer.body += data
                if on_data is not None and data:
                    on_data(data)
                await self.reader.readexactly(2)
                if size == 0:
                    break
        else:
            left = int(head[1].get("content-length", 0))
            while left > 0:
                data = await self.read(min(left, 8192), rate)
                answer.body += data
                left -= len(data)
        answer.complete = True
