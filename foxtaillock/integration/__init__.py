"""Proofs with real processes, stand-ins and the fault-injecting proxy."""
