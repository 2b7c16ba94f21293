"""Starts the daemon of an entry VM."""

import importlib
import signal

__all__ = ["main"]


def main() -> None:
    """Ignores SIGHUP until the daemon handles it, then runs the daemon.

    The daemon reads its settings later than this, so nothing is missed. The
    import takes seconds on a slow VM, so it comes after.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("foxtaillock.platform.daemon").main()


if __name__ == "__main__":
    main()
