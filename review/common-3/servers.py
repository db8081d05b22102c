"""Sound backend servers for the cases."""

import asyncio

from http_parts import encode_head, read_body, read_head

TOKENS_PER_EVENT = 35


async def refuse_other(server, head, writer):
    """Answers 421 if another server is expected. Returns whether it did."""
    if head[1].get("expect-instance", server.id) == server.id:
        return False
    writer.write(encode_head("HTTP/1.1 421 Misdirected Request", {
        "Instance-Id": server.id, "Content-Length": 0}))
    return True


def event_data(request_id, number):
    return "%s-%d" % (request_id, number)


async def serve_streams(server, reader, writer):
    """Runs each request as a stream of server.events events. server.ran is
    called with the id, the fields and the body of what runs."""
    while True:
        head = await read_head(reader)
        if head is None:
            return
        body = await read_body(reader, head[1])
        if await refuse_other(server, head, writer):
            continue
        request_id = head[1]["request-id"]
        server.ran(request_id, head[1], body)
        fields = server.proof(request_id)
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        writer.write(encode_head("HTTP/1.1 200 OK", fields))
        for number in range(1, server.events + 1):
            event = ("id: %d\ndata: %s\n\n" % (
                number, event_data(request_id, number))).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
