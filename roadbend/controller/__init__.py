"""A controller: one process of roadbend, put together from the other packages."""

from roadbend.controller.controller import Controller

__all__ = ["Controller"]
