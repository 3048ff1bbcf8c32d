"""The network between two machines, as a proxy on loopback that can be cut."""
import asyncio
import socket


class Path:
    """Passes connections to `address` on to `target`.

    While it is cut, bytes stand still and new connections hang, as PROTOCOL.md and DEPLOY.md say of a partition:
    the listening socket's queue is kept full, so that the kernel drops what opens a connection.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.is_whole = asyncio.Event()
        self.is_whole.set()
        self.listener = None
        self.fillers = []
        self.tasks = set()

    async def start(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.address)
        self.listener.listen(64)
        self.listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self):
        try:
            fd, _ = self.listener.accept()
        except BlockingIOError:
            return
        fd.setblocking(False)
        task = asyncio.create_task(self._serve(fd))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def cut(self):
        self.is_whole.clear()
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        # Fills the queue until the kernel no longer completes a connection.
        for _ in range(8):
            filler = socket.socket()
            filler.settimeout(0.03)
            self.fillers.append(filler)
            try:
                filler.connect(self.address)
            except OSError:
                return

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(64)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)
        self.is_whole.set()

    async def _serve(self, fd):
        reader, writer = await asyncio.open_connection(sock=fd)
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.is_whole.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()
