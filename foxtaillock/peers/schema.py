"""Loads the committed schema of the messages between entry VMs."""

import pathlib
import typing

import capnp

__all__ = ["PEER"]

_PATH = pathlib.Path(__file__).with_name("peer.capnp")

PEER: typing.Any = capnp.load(str(_PATH))
