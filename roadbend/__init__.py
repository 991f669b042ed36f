"""roadbend: a cluster scheduler whose controllers bid for jobs."""

__version__ = "0.12.5"
