"""Frames that query leaders for starts of cancelled jobs that may still be carried out."""

from collections.abc import Mapping
from typing import NamedTuple

from roadbend.peers.frames import PayloadReader, PayloadWriter


class StartsInDoubtRequest(NamedTuple):
    """Queries a controller about cancelled jobs; it also notifies it of their cancellation."""

    jobs: tuple[str, ...]

    def pack(self) -> bytes:
        """Encode the payload of a frame; raise `FrameError` if it is too long."""
        return PayloadWriter().texts(self.jobs).payload()

    @staticmethod
    def unpack(payload: bytes) -> "StartsInDoubtRequest":
        """Decode the payload of a frame; raise `FrameError` if it is malformed."""
        reader = PayloadReader(payload)
        jobs = reader.texts()
        reader.expect_end()
        return StartsInDoubtRequest(jobs)


class PartitionStartsInDoubt(NamedTuple):
    """A leader's answer for its partition about the queried jobs."""

    partition: str
    # The term of the answering leader.
    term: int
    # The queried jobs of which a start may still be carried out on a machine of the partition.
    jobs: tuple[str, ...]


class StartsInDoubtReply(NamedTuple):
    """A controller's answer for each partition that it leads."""

    partitions: tuple[PartitionStartsInDoubt, ...]
    # The latest terms of all partitions in the sender's records; empty until it has read them.
    terms: Mapping[str, int]

    def pack(self) -> bytes:
        """Encode the payload of a frame; raise `FrameError` if it is too long."""
        writer = PayloadWriter().put("H", len(self.partitions))
        for partition in self.partitions:
            writer.text(partition.partition).put("Q", partition.term).texts(partition.jobs)
        writer.put("H", len(self.terms))
        for name, term in self.terms.items():
            writer.text(name).put("Q", term)
        return writer.payload()

    @staticmethod
    def unpack(payload: bytes) -> "StartsInDoubtReply":
        """Decode the payload of a frame; raise `FrameError` if it is malformed."""
        reader = PayloadReader(payload)
        partitions = tuple(
            PartitionStartsInDoubt(reader.text(), reader.read_one("Q"), reader.texts())
            for _ in range(reader.read_one("H"))
        )
        terms = {reader.text(): reader.read_one("Q") for _ in range(reader.read_one("H"))}
        reader.expect_end()
        return StartsInDoubtReply(partitions, terms)
