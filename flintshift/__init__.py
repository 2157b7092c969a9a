"""flintshift: admission and scheduling for a server that sits behind other people's balancers."""

from flintshift.control import Controller

__all__ = ["Controller"]
