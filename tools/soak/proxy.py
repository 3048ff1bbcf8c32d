"""Loopback proxy that delays, stalls, blocks in one direction or resets its connections."""
import asyncio


class Proxy:
    """Forwards connections from `address` to `target`. `mode` may change at any time."""

    MODES = ("pass", "delay", "silent", "no-requests", "no-answers", "refuse")

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.mode = "pass"
        self.delay = 0.05
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address)

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, to_writer}
        await asyncio.gather(
            self._pump(reader, to_writer, "no-requests"), self._pump(to_reader, writer, "no-answers"))
        self.writers -= {writer, to_writer}

    async def _pump(self, reader, writer, blocked_by):
        try:
            while True:
                data = await reader.read(65536)
                while self.mode in ("silent", blocked_by):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()
