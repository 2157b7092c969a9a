"""tealshift: admission and scheduling for a server that sits behind other people's balancers."""

from tealshift.control import Controller

__all__ = ["Controller"]
