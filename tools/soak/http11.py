"""Minimal HTTP/1.1 reader and writer for the doubles of the soak."""
import dataclasses


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes


@dataclasses.dataclass
class Response:
    status: int
    headers: dict
    body: bytes


async def _read_head(reader):
    """Returns the start line and the header fields; the line is None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None, {}
    headers = {}
    while True:
        text = await reader.readline()
        if text in (b"\r\n", b""):
            return line.decode("latin-1").split(None, 2), headers
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_request(reader):
    start_line, headers = await _read_head(reader)
    if start_line is None:
        return None
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(start_line[0], start_line[1], headers, body)


async def read_response(reader):
    """Returns None if the stream ended or the response has no content length."""
    start_line, headers = await _read_head(reader)
    if start_line is None or "content-length" not in headers:
        return None
    body = await reader.readexactly(int(headers["content-length"]))
    return Response(int(start_line[1]), headers, body)


def response(status, body, **headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
