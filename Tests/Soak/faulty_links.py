"""Loopback proxies that harm single connections: late, silent, half-closed and reset ones."""

import asyncio

from links import TcpLink, end_writing, reset

# Seconds that a connection, or what is sent over it, is late or silent.
DELAY = (0.01, 0.8)
SILENCE = (0.2, 3.0)
# Seconds from the delivery of the bytes until their sender is reset.
RESET_DELAY = (0.0, 0.05)
HEAD_END = b"\r\n\r\n"


class FaultyLink(TcpLink):
    """Harms a share of what it forwards. Whatever it holds back is delivered when its time is over, also after
    the sender has closed the connection.

    "late" and "silent" hold bytes back; "lost" resets both ends instead of delivering; "unanswered" delivers, and
    resets only the sender; "headless" delivers a head without what follows it, and resets both ends; "half-closed"
    delivers, and ends that direction while the other one goes on.
    """

    FAULTS = ("late", "late", "late", "silent", "lost", "unanswered", "headless", "half-closed")

    def __init__(self, *arguments, **options):
        self.share = 0.0
        super().__init__(*arguments, **options)

    def heal(self):
        super().heal()
        self.share = 0.0

    def strikes(self):
        return self.network.random.random() < self.share

    async def wait_before_connecting(self):
        if self.strikes():
            await asyncio.sleep(self.network.random.uniform(*DELAY))

    async def forward(self, direction, data):
        fault = self.network.random.choice(self.FAULTS) if self.strikes() else None
        if fault in ("late", "silent"):
            await asyncio.sleep(self.network.random.uniform(*(DELAY if fault == "late" else SILENCE)))
        if fault == "lost":
            raise ConnectionResetError
        if fault == "headless" and HEAD_END in data:
            data = data[:data.index(HEAD_END) + len(HEAD_END)]
        await super().forward(direction, data)
        if fault == "headless":
            raise ConnectionResetError
        if fault == "unanswered":
            await asyncio.sleep(self.network.random.uniform(*RESET_DELAY))
            reset(direction.source)
        if fault == "half-closed":
            end_writing(direction.writer)
            await self.discard(direction.reader)

    async def discard(self, reader):
        while await reader.read(65536):
            pass
