"""Tests the structured log under load and with slow or closed readers."""

import json
import os
import unittest

from foxtaillock.batch import decision_log
from foxtaillock.model import clock as model_clock


class DecisionLogTest(unittest.TestCase):
    """Lines written to a pipe."""

    def setUp(self) -> None:
        self._reader, writer = os.pipe()
        self.addCleanup(os.close, self._reader)
        self._writer: int | None = writer
        self.addCleanup(self._close_writer)
        self.clock = model_clock.ManualClock(1000.0)
        self.log = decision_log.create_log("vm-1", self.clock, writer)

    def _close_writer(self) -> None:
        if self._writer is not None:
            os.close(self._writer)
        self._writer = None

    def _lines(self) -> list[dict[str, object]]:
        self._close_writer()
        with open(self._reader, "rb", closefd=False) as stream:
            return [json.loads(line) for line in stream.read().splitlines()]

    def test_line_has_time_node_event_and_fields(self) -> None:
        self.log("call", request="/q/1", outcome="Accepted")
        (line,) = self._lines()
        self.assertEqual(line["node"], "vm-1")
        self.assertEqual(line["event"], "call")
        self.assertEqual(line["request"], "/q/1")
        self.assertIn("1970-01-01T00:16:40", str(line["time"]))

    def test_time_is_that_of_the_clock_in_iso_format(self) -> None:
        expected = []
        for step_s in (0.0, 0.0004, 0.0006, 0.25, 0.7489, 0.0002, 59.0, 3600.5):
            self.clock.advance(step_s)
            expected.append(self.clock.now().isoformat(timespec="milliseconds"))
            self.log("call")
        self.assertEqual([line["time"] for line in self._lines()], expected)

    def test_lines_of_one_event_are_rate_limited_and_counted(self) -> None:
        for _ in range(500):
            self.log("busy")
        self.log("rare")
        self.clock.advance(1.0)
        self.log("rare")
        lines = self._lines()
        busy = [line for line in lines if line["event"] == "busy"]
        self.assertEqual(len(busy), 200)
        suppressed = [
            line for line in lines if line["event"] == "lines-left-out"
        ]
        self.assertEqual(suppressed[0]["busy"], 300)
        self.assertEqual(lines[-1]["event"], "rare")

    def test_slow_reader_does_not_block(self) -> None:
        for second in range(60):
            for _ in range(100):
                self.log("line", text="x" * 100)
            self.clock.advance(1.0 + second * 0)
        self.assertGreater(self.log.dropped, 0)

    def test_closed_reader_does_not_block(self) -> None:
        reader, writer = os.pipe()
        log = decision_log.create_log("vm-1", self.clock, writer)
        os.close(reader)
        log("line")
        self.assertEqual(log.dropped, 1)
        os.close(writer)
