"""Frames by which a controller asks leaders whether starts of cancelled jobs may be carried out."""

from collections.abc import Mapping
from typing import NamedTuple

from roadbend.peers.frames import PayloadReader, PayloadWriter


class StartsInDoubtRequest(NamedTuple):
    """Asks a controller about cancelled jobs; with that it knows that they are cancelled."""

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
    """What the leader of a partition says about the jobs that it was asked about."""

    partition: str
    # Of the leadership under which it says so.
    term: int
    # Those of which a start may still be carried out on a machine of the partition.
    jobs: tuple[str, ...]


class StartsInDoubtReply(NamedTuple):
    """The answer of a controller, for each partition that it leads."""

    partitions: tuple[PartitionStartsInDoubt, ...]
    # The latest terms of all partitions by the sender's records; empty until it has read them.
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
