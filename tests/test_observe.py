"""Tests of logging setup, metrics and the state dump."""

import io
import json
import logging
import os
import unittest

from geraniumstair import observe
from geraniumstair.observe import _deferred


def _record(
    message: str, level: int = logging.WARNING, name: str = "geraniumstair.x"
) -> logging.LogRecord:
    return logging.LogRecord(name, level, "", 0, message, ("a",), None)


class RateLimitFilterTest(unittest.TestCase):
    """Guards against a fault that floods the log, or that is not logged."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.filter = observe.RateLimitFilter(
            burst=2, window_s=10.0, clock=lambda: self.now_s
        )

    def _count_passed(self, count: int, message: str = "lost %s") -> int:
        records = [_record(message) for _ in range(count)]
        return sum(self.filter.filter(record) for record in records)

    def test_repeated_records_are_dropped(self) -> None:
        self.assertEqual(self._count_passed(5), 2)

    def test_records_with_another_message_pass(self) -> None:
        self._count_passed(5)
        self.assertEqual(self._count_passed(1, "found %s"), 1)

    def test_next_window_reports_the_number_of_dropped_records(self) -> None:
        self._count_passed(5)
        self.now_s = 10.0
        record = _record("lost %s")
        self.assertTrue(self.filter.filter(record))
        self.assertEqual(record.dropped, 3)

    def test_errors_always_pass(self) -> None:
        records = [_record("broken %s", logging.ERROR) for _ in range(5)]
        self.assertTrue(all(self.filter.filter(r) for r in records))

    def test_varying_messages_use_bounded_memory(self) -> None:
        for index in range(5000):
            self._count_passed(1, f"message {index} %s")
        self.assertLessEqual(len(self.filter._windows), 1000)


class ConfigureLoggingTest(unittest.TestCase):
    """Guards against lines without a component, and secrets in the log."""

    def setUp(self) -> None:
        root = logging.getLogger()
        project = logging.getLogger("geraniumstair")
        state = (list(root.handlers), root.level, project.level)
        self.addCleanup(self._restore, *state)
        self.stream = io.StringIO()

    def _restore(
        self, handlers: list[logging.Handler], root: int, project: int
    ) -> None:
        logging.getLogger().handlers[:] = handlers
        logging.getLogger().setLevel(root)
        logging.getLogger("geraniumstair").setLevel(project)

    def test_human_line_has_the_component_as_prefix(self) -> None:
        observe.configure_logging("human", "INFO", stream=self.stream)
        observe.get_component_logger("dispatch").info(
            "Endpoint %s is cold.", "e1"
        )
        self.assertRegex(
            self.stream.getvalue(), r"INFO dispatch: Endpoint e1 is cold\.\n$"
        )

    def test_module_logger_gets_the_prefix_of_its_package_once(self) -> None:
        observe.configure_logging("human", "INFO", stream=self.stream)
        logger = logging.getLogger("geraniumstair.search._merge")
        logger.info("search: Merged.")
        self.assertRegex(self.stream.getvalue(), r"INFO search: Merged\.\n$")

    def test_line_breaks_in_messages_cannot_forge_lines(self) -> None:
        observe.configure_logging("human", "INFO", stream=self.stream)
        observe.get_component_logger("wire").info("Bad name %s.", "a\nERROR b")
        self.assertEqual(self.stream.getvalue().count("\n"), 1)

    def test_json_lines_hold_no_secret_even_in_tracebacks(self) -> None:
        observe.configure_logging(
            "json", "INFO", secrets=["s3cret-key"], stream=self.stream
        )
        try:
            raise ValueError("s3cret-key")
        except ValueError:
            observe.get_component_logger("wire").exception("Key s3cret-key.")
        line = json.loads(self.stream.getvalue())
        self.assertEqual(line["component"], "wire")
        self.assertIn("ValueError", line["traceback"])
        self.assertNotIn("s3cret", self.stream.getvalue())


class MetricsRegistryTest(unittest.TestCase):
    """Guards against metrics of one registry that appear in another."""

    def test_names_have_prefix_and_component(self) -> None:
        first, second = observe.MetricsRegistry(), observe.MetricsRegistry()
        for metrics in (first, second):
            metrics.counter("dispatch", "hedges", "Hedges.", ["shard"])
        first.gauge("peers", "streams", "Open streams.").set(3)
        first.histogram("search", "latency_seconds", "Time.").observe(0.1)
        self.assertIn(b"geraniumstair_peers_streams 3.0", first.render())
        self.assertNotIn(b"geraniumstair_peers_streams", second.render())

    def test_gauge_is_read_when_the_metrics_are_rendered(self) -> None:
        metrics = observe.MetricsRegistry()
        state = {"queued": 1}
        metrics.gauge("x", "queued", "Queued.", lambda: state["queued"])
        state["queued"] = 4
        self.assertIn(b"geraniumstair_x_queued 4.0", metrics.render())

    def test_what_is_recorded_before_the_library_is_loaded_counts(self) -> None:
        # The library is imported when the metrics are first read.
        metrics = observe.MetricsRegistry()
        calls = metrics.counter("x", "calls", "Calls.", ["kind"])
        ended = calls.labels("a")
        waits_s = metrics.histogram("x", "wait_seconds", "Wait.", ["kind"])
        depth = metrics.gauge("x", "depth", "Depth.")
        for _ in range(2):
            ended.inc()
            calls.labels("a").inc(2)
            waits_s.labels("b").observe(0.5)
            depth.inc()
            depth.dec(0.5)
            # From the second round on, the library counts.
            metrics.load()
        text = metrics.render().decode()
        for line in (
            'geraniumstair_x_calls_total{kind="a"} 6.0',
            'geraniumstair_x_wait_seconds_count{kind="b"} 2.0',
            'geraniumstair_x_wait_seconds_sum{kind="b"} 1.0',
            "geraniumstair_x_depth 1.0",
        ):
            self.assertIn(line, text)

    def test_recorded_calls_take_a_limited_amount_of_memory(self) -> None:
        metrics = observe.MetricsRegistry()
        counter = metrics.counter("x", "calls", "Calls.")
        for _ in range(_deferred.MAX_RECORDED_CALLS + 5):
            counter.inc()
        self.assertEqual(counter._recorded, [])
        count = _deferred.MAX_RECORDED_CALLS + 5
        self.assertIn(b"x_calls_total %d.0" % count, metrics.render())

    def test_creation_times_are_not_rendered(self) -> None:
        metrics = observe.MetricsRegistry()
        metrics.counter("x", "calls", "Calls.").inc()
        self.assertNotIn(b"_created", metrics.render())


class StateDumpTest(unittest.TestCase):
    """Guards against one broken component that hides the others."""

    def test_failing_component_is_reported_as_error(self) -> None:
        dump = observe.StateDump()
        dump.register("good", lambda: {"queue": 3, "members": {1: b"x"}})
        dump.register("bad", lambda: {"value": 1 // 0})
        dump.register("odd", lambda: {"value": object()})
        state = json.loads(dump.render())
        self.assertEqual(state["good"]["queue"], 3)
        self.assertIn("ZeroDivisionError", state["bad"]["error"])
        self.assertIn("error", state["odd"])

    def test_a_name_cannot_be_registered_twice(self) -> None:
        dump = observe.StateDump()
        dump.register("a", dict)
        with self.assertRaises(ValueError):
            dump.register("a", dict)


class NonBlockingHandlerTest(unittest.TestCase):
    """Guards against a process that blocks on a slow reader of its log."""

    def test_lines_for_a_full_pipe_are_dropped_and_counted(self) -> None:
        reader, writer = os.pipe()
        handler = observe.NonBlockingHandler(writer)
        handler.setFormatter(logging.Formatter("%(message)s"))
        record = logging.LogRecord("x", 20, "", 0, "y" * 2000, (), None)
        for _ in range(100):
            handler.emit(record)
        self.assertGreater(handler.dropped_lines, 0)
        os.read(reader, 65536)
        handler.emit(record)
        self.assertEqual(record.lines_dropped, handler.dropped_lines)
        os.close(reader)
        os.close(writer)


class FieldsTest(unittest.TestCase):
    """Guards against log lines without the inputs of a decision."""

    def test_json_lines_show_the_fields_without_secrets(self) -> None:
        stream = io.StringIO()
        observe.configure_logging(
            "json", "INFO", secrets=["hidden"], stream=stream
        )
        self.addCleanup(logging.getLogger().handlers.clear)
        logging.getLogger("geraniumstair.gateway").info(
            "gateway: done", extra=observe.fields(took_ms=1.5, why="a hidden b")
        )
        line = json.loads(stream.getvalue())
        self.assertEqual(line["message"], "done")
        self.assertEqual(line["took_ms"], 1.5)
        self.assertEqual(line["why"], "a [redacted] b")
