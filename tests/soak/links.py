"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

import asyncio
import socket
import struct
import threading

CHUNK = 65536
STEP_S = 0.02  # How often a held connection looks whether it may go on.


class Link:
    """One listening port in front of one target; its faults are set while it runs."""

    def __init__(self, links, target_port, most=None):
        self.links = links
        self.most = most  # Connections that the target accepts; more are reset.
        self.open = 0
        self.target_port = target_port
        self.port = 0
        self.delay_s = 0.0
        self.held = set()  # Directions that pass nothing: "to", "from".
        self.refusing = False
        self.writers = set()
        self.was_reset = False  # Since the last look at what disturbs it.

    def is_disturbed(self):
        was_reset, self.was_reset = self.was_reset, False
        return was_reset or self.refusing or bool(self.held) or self.delay_s > 0

    def clear(self):
        self.delay_s, self.held, self.refusing = 0.0, set(), False

    def reset(self):
        """Ends every open connection with a reset."""
        self.was_reset = True
        self.links.loop.call_soon_threadsafe(self._reset)

    def _reset(self):
        for writer in list(self.writers):
            self._abort(writer)

    @staticmethod
    def _abort(writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            # Lingering for 0 s makes the close a reset.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def silence(self):
        """Open connections pass nothing any more, for good; new ones work."""
        self.was_reset = True
        self.links.loop.call_soon_threadsafe(self._silence)

    def _silence(self):
        for writer in self.writers:
            writer.transport.pause_reading()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.open += 1
        other = None
        try:
            if self.refusing:
                self._reset()
                return
            if self.most and self.open > self.most:
                self._abort(writer)
                return
            far_reader, other = await asyncio.open_connection("127.0.0.1", self.target_port)
            self.writers.add(other)
            done, pending = await asyncio.wait(
                [
                    asyncio.ensure_future(self._pump(reader, other, "to")),
                    asyncio.ensure_future(self._pump(far_reader, writer, "from")),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in pending:
                task.cancel()
            for task in done:
                task.exception()
        except OSError:
            pass  # The target is gone: the caller sees its connection end.
        finally:
            self.open -= 1
            for each in (writer, other):
                if each is not None:
                    self.writers.discard(each)
                    each.close()

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(CHUNK):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                while direction in self.held:
                    await asyncio.sleep(STEP_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # Reset by a fault or by its process.


class Links:
    """All links, served by one thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def add(self, target_port, most=None):
        link = Link(self, target_port, most)

        async def listen():
            server = await asyncio.start_server(link._serve, "127.0.0.1", 0)
            return server.sockets[0].getsockname()[1]

        link.port = asyncio.run_coroutine_threadsafe(listen(), self.loop).result(5)
        return link

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
