"""Tests of this subsystem."""
