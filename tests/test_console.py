"""Tests of the JSON calls of `console.build_operator_application`."""

import unittest

import trio
import trio.testing

from geraniumstair import console
from tests import builders_configuration
from tests import builders_console

_SMALL = builders_configuration.SMALL_TEXT


class ConsoleTestCase(unittest.TestCase):
    """Base of tests that call the application without a network."""

    def setUp(self) -> None:
        self.backend = builders_console.FakeBackend()
        self.client = builders_console.Client(self.backend)

    def apply(self, text: str = _SMALL, base: int = 0) -> int:
        body = {"base": base, "text": text}
        answer = self.client.call("POST", "/v1/configuration", body)
        return int(answer.json().get("revision", 0))


class AuthenticationTest(ConsoleTestCase):
    """Requests without the operator token are refused."""

    def test_missing_and_wrong_tokens_are_refused(self) -> None:
        for header in ["", "Bearer", "Bearer x", "Basic x", "Bearer \u00fc"]:
            for path in ["/v1/status", "/metrics", "/v1/none"]:
                answer = self.client.call("GET", path, authorization=header)
                self.assertEqual(answer.status, 401, header)
                self.assertEqual(answer.headers["www-authenticate"], "Bearer")
        self.assertEqual(self.client.call("GET", "/v1/status").status, 200)


class ConfigurationCallsTest(ConsoleTestCase):
    """A whole document is accepted on its base revision, or refused."""

    def test_apply_show_and_conflict(self) -> None:
        self.assertEqual(self.apply(), 1)
        shown = self.client.call("GET", "/v1/configuration")
        self.assertEqual(shown.json()["text"], _SMALL)
        self.assertEqual(shown.headers["etag"], '"1"')
        text = _SMALL.replace("state: in", "state: out")
        put = self.client.call(
            "PUT", "/v1/configuration", text.encode(), if_match='"1"'
        )
        self.assertEqual(put.json()["revision"], 2)
        self.assertEqual(self.backend.holder.revision, 2)
        late = self.client.call(
            "PUT", "/v1/configuration?base=1", _SMALL.encode()
        )
        self.assertEqual(late.status, 409)
        self.assertEqual(late.json()["current_revision"], 2)
        self.assertIn('"out" -> "in"', late.json()["difference"][0])

    def test_faults_have_lines(self) -> None:
        body = {"base": 0, "text": _SMALL.replace("port: 9002", "port: 9001")}
        answer = self.client.call("POST", "/v1/configuration", body)
        self.assertEqual(answer.status, 422)
        self.assertEqual(answer.json()["faults"][0]["line"], 22)

    def test_malformed_requests_are_refused(self) -> None:
        bodies = [
            b"",
            b"[1]",
            b"[" * 100_000,
            {"base": True, "text": ""},
            {"base": -1, "text": ""},
            {"base": 0, "text": 1},
        ]
        for body in bodies:
            answer = self.client.call("POST", "/v1/configuration", body)
            self.assertEqual(answer.status, 400)
        for header in ["", "x", "-1", "9" * 40, "\u0663"]:
            answer = self.client.call(
                "PUT", "/v1/configuration", b"", if_match=header
            )
            self.assertEqual(answer.json()["name"], "INVALID_HEADER")
        large = self.client.call(
            "PUT", "/v1/configuration?base=0", b"x" * (8 * 1024 * 1024 + 1)
        )
        self.assertEqual(large.status, 413)

    def test_unknown_paths_and_methods_are_refused(self) -> None:
        self.assertEqual(self.client.call("GET", "/v1/none").status, 404)
        answer = self.client.call("DELETE", "/v1/configuration")
        self.assertEqual(answer.status, 405)
        self.assertEqual(answer.headers["allow"], "GET, POST, PUT")

    def test_internal_error_hides_its_detail(self) -> None:
        with self.assertLogs("geraniumstair.console", "ERROR"):
            answer = self.client.call("GET", "/v1/dump")
        self.assertEqual(answer.status, 500)
        self.assertNotIn(b"secret", answer.body)

    def test_store_down_shows_the_configuration_in_force(self) -> None:
        self.apply()
        self.backend.store.down = True
        shown = self.client.call("GET", "/v1/configuration").json()
        self.assertEqual((shown["revision"], shown["from_store"]), (1, False))
        answer = self.client.call(
            "POST", "/v1/availability-zones/az-a", {"state": "out"}
        )
        self.assertEqual(answer.json()["name"], "STORE_UNAVAILABLE")


class ChangeCallsTest(ConsoleTestCase):
    """Calls that edit zones and rollouts are accepted like documents."""

    def test_availability_zone(self) -> None:
        path = "/v1/availability-zones/az-b"
        self.assertEqual(
            self.client.call("POST", path, {"state": "out"}).status, 503
        )
        self.apply()
        answer = self.client.call("POST", path, {"state": "out"})
        self.assertEqual(answer.json()["revision"], 2)
        stale = self.client.call("POST", path, {"state": "in", "base": 1})
        self.assertEqual(stale.status, 409)
        unknown = self.client.call(
            "POST", "/v1/availability-zones/az-x", {"state": "out"}
        )
        self.assertEqual(unknown.json()["name"], "UNKNOWN_REFERENCE")
        wrong = self.client.call("POST", path, {"state": "off"})
        self.assertEqual(wrong.status, 400)

    def test_rollouts(self) -> None:
        self.apply()
        rule = dict(builders_configuration.ROLLOUT)
        self.assertEqual(
            self.client.call("POST", "/v1/rollouts", rule).status, 200
        )
        listed = self.client.call("GET", "/v1/rollouts").json()["rollouts"]
        self.assertEqual(listed[0]["state"], "GOING_ON")
        bad = {**rule, "name": "x", "steps_pct": [50, 100]}
        refused = self.client.call("POST", "/v1/rollouts", bad).json()
        self.assertIn("first step", str(refused["faults"]))
        path = "/v1/rollouts/desk-v2/take-back"
        self.assertEqual(self.client.call("POST", path).status, 200)
        again = self.client.call("POST", path)
        self.assertEqual(again.json()["name"], "INVALID_ROLLOUT")


class LifespanTest(ConsoleTestCase):
    """hypercorn fails if the application leaves the lifespan scope early."""

    def test_startup_and_shutdown_are_answered(self) -> None:
        events = ["lifespan.startup", "lifespan.shutdown"]
        sent: list[str] = []

        async def receive() -> dict[str, str]:
            return {"type": events.pop(0)}

        async def send(event: dict[str, str]) -> None:
            sent.append(event["type"])

        application = self.client.application
        trio.run(application, {"type": "lifespan"}, receive, send)
        self.assertEqual(
            sent, ["lifespan.startup.complete", "lifespan.shutdown.complete"]
        )


class RequestBodyTest(unittest.TestCase):
    """A client cannot occupy the node with an endless or a large body."""

    def test_slow_body_is_refused(self) -> None:
        sent: list[dict] = []
        application = console.build_operator_application(
            builders_console.FakeBackend(), builders_console.TOKEN
        )

        async def receive() -> dict:
            await trio.sleep(1)
            return {"type": "http.request", "body": b"x", "more_body": True}

        async def send(event: dict) -> None:
            sent.append(event)

        clock = trio.testing.MockClock(autojump_threshold=0)
        token = f"Bearer {builders_console.TOKEN}".encode()
        scope = {
            "type": "http",
            "method": "PUT",
            "path": "/v1/configuration",
            "headers": [(b"authorization", token)],
        }
        trio.run(application, scope, receive, send, clock=clock)
        self.assertEqual(sent[0]["status"], 408)

    def test_body_is_not_read_without_a_credential(self) -> None:
        client = builders_console.Client(builders_console.FakeBackend())
        client.headers = {}
        large = b"x" * (8 * 1024 * 1024 + 1)
        for path in ("/v1/configuration", "/document"):
            answer = client.call("PUT", path, large)
            self.assertIn(answer.status, (401, 303))
        self.assertEqual(client.call("POST", "/login", large).status, 413)
