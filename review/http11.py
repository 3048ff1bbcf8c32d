"""Minimal HTTP/1.1 messages for the stand-ins."""


async def read_head(reader):
    """Returns the start line split at spaces and the fields; (None, {}) at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except Exception:  # end of stream, reset, or too long: the message is not complete
        return None, {}
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_message(reader):
    """Returns (start line, fields, body), or None if the message did not arrive whole."""
    start, fields = await read_head(reader)
    if start is None:
        return None
    n = int(fields.get("content-length", 0))
    try:
        body = await reader.readexactly(n) if n else b""
    except Exception:
        return None
    return start, fields, body


def response(status, body=b"", **fields):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
