"""Frames by which controllers report to each other which starts are settled."""

from typing import NamedTuple

from roadbend.peers.frames import PayloadReader, PayloadWriter


class SettledStartsRequest(NamedTuple):
    """Asks a controller for its report, and acknowledges the last one."""

    # The incarnation and the number of the last report that came; empty and 0: none.
    incarnation: str
    number: int
    # Cancellations that the sender has noted lately, by whatever report it confirmed them.
    cancellations: tuple[str, ...]

    def pack(self) -> bytes:
        """Encode the payload of a frame; raise `FrameError` if it is too long."""
        writer = PayloadWriter().text(self.incarnation).put("Q", self.number)
        return writer.texts(self.cancellations).payload()

    @staticmethod
    def unpack(payload: bytes) -> "SettledStartsRequest":
        """Decode the payload of a frame; raise `FrameError` if it is malformed."""
        reader = PayloadReader(payload)
        request = SettledStartsRequest(reader.text(), reader.read_one("Q"), reader.texts())
        reader.expect_end()
        return request


class SettledStarts(NamedTuple):
    """What the leader of a partition says about its starts.

    Every attempt that was recorded at `revision` or before is terminated, or its machine holds it,
    unless it is one of `unsettled_jobs`.
    """

    partition: str
    # Of the leadership under which it says so.
    term: int
    revision: int
    unsettled_jobs: tuple[str, ...]


class SettledStartsReport(NamedTuple):
    """What a controller says for each partition that it leads, and for which it can say it."""

    # The sender's incarnation, and the report's number in it.
    incarnation: str
    number: int
    partitions: tuple[SettledStarts, ...]

    def pack(self) -> bytes:
        """Encode the payload of a frame; raise `FrameError` if it is too long."""
        writer = PayloadWriter().text(self.incarnation).put("Q", self.number)
        writer.put("H", len(self.partitions))
        for settled in self.partitions:
            writer.text(settled.partition).put("QQ", settled.term, settled.revision)
            writer.texts(settled.unsettled_jobs)
        return writer.payload()

    @staticmethod
    def unpack(payload: bytes) -> "SettledStartsReport":
        """Decode the payload of a frame; raise `FrameError` if it is malformed."""
        reader = PayloadReader(payload)
        incarnation, number = reader.text(), reader.read_one("Q")
        partitions = tuple(
            SettledStarts(reader.text(), reader.read_one("Q"), reader.read_one("Q"), reader.texts())
            for _ in range(reader.read_one("H"))
        )
        reader.expect_end()
        return SettledStartsReport(incarnation, number, partitions)
