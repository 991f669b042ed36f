"""The controller: one scheduler process, assembled from the other packages."""

from roadbend.controller.controller import Controller

__all__ = ["Controller"]
