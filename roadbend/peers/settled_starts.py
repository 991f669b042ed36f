"""Frames in which controllers report to each other which starts are settled."""

from typing import NamedTuple

from roadbend.peers.frames import PayloadReader, PayloadWriter


class SettledStartsRequest(NamedTuple):
    """Requests a controller's next report, and acknowledges the last one received."""

    # The incarnation and the number of the last report received; empty and 0: none.
    incarnation: str
    number: int
    # Cancellations that the sender recently recorded, whichever report it confirmed them by.
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
    """A leader's report of the starts in its partition.

    Every attempt that was recorded at `revision` or before is terminated or held by its machine,
    unless it belongs to one of `unsettled_jobs`.
    """

    partition: str
    # The term of the reporting leader.
    term: int
    revision: int
    unsettled_jobs: tuple[str, ...]


class SettledStartsReport(NamedTuple):
    """A controller's report for the partitions that it leads, as far as it can make one."""

    # The sender's incarnation, and the report's number within that incarnation.
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
