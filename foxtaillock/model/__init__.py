"""Data types shared by all subsystems."""
