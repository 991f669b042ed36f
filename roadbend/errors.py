"""The base of all errors that roadbend raises itself."""


class RoadbendError(Exception):
    """Something that a caller is expected to handle, or to report by its message."""
