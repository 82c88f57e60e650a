"""Tests of the HTML forms of `console.build_operator_application`."""

import html
import re
import unittest
import urllib.parse

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import trio

from geraniumstair import console
from geraniumstair.cli import _client
from tests import builders_configuration
from tests import builders_console

_SMALL = builders_configuration.SMALL_TEXT


class FormsTestCase(unittest.TestCase):
    """Base of tests that use the console as a browser does."""

    def setUp(self) -> None:
        self.backend = builders_console.FakeBackend()
        self.client = builders_console.Client(self.backend)
        self.client.headers = {}

    def post(self, path: str, **fields: str) -> builders_console.Response:
        body = urllib.parse.urlencode(fields).encode()
        return self.client.call("POST", path, body)

    def log_in(self) -> None:
        answer = self.post("/login", token=builders_console.TOKEN)
        cookie = answer.headers["set-cookie"]
        self.client.headers = {"cookie": cookie.partition(";")[0]}
        page = self.client.call("GET", "/status").body.decode()
        found = re.search('name="form_token" value="(.*?)"', page)
        self.token = found.group(1) if found else ""

    def submit(self, path: str, **fields: str) -> tuple[int, str]:
        answer = self.post(path, form_token=self.token, **fields)
        return answer.status, html.unescape(answer.body.decode())

    def submit_document(
        self, action: str, text: str, base: int
    ) -> tuple[int, str]:
        text = text.replace("\n", "\r\n")
        return self.submit(
            "/document", action=action, text=text, base=str(base)
        )


class StatusPageTest(FormsTestCase):
    """Guards against pages that show field names or Python literals."""

    def test_status_reads_as_text(self) -> None:
        self.log_in()
        page = self.client.call("GET", "/status").body.decode()
        self.assertIn('aria-current="page"', page)
        self.assertNotIn("True", page)
        self.assertIsNone(re.search(r"<th[^>]*>[^<]*_", page))

    def test_empty_list_of_rollouts(self) -> None:
        self.log_in()
        page = self.client.call("GET", "/rollouts").body.decode()
        self.assertIn("There are no rollouts.", page)


class RolloutsPageTest(FormsTestCase):
    """Guards against a take-back button in the clipped part of the table."""

    def test_button_follows_the_name(self) -> None:
        self.log_in()
        self.submit_document("accept", _SMALL, 0)
        rule = {
            key: str(value)
            for key, value in builders_configuration.ROLLOUT.items()
        }
        _, page = self.submit(
            "/rollouts", base="1", **(rule | {"steps_pct": "5, 100"})
        )
        row = re.search(r'<th scope="row">.*?</tr>', page, re.DOTALL)
        self.assertIsNotNone(row, page)
        cells = row.group(0).split("<td>")
        self.assertIn("<button", cells[1])
        self.assertIn("GOING_ON", cells[2])


class LoginTest(FormsTestCase):
    """Pages need a login, and forms posted by other sites are refused."""

    def test_pages_redirect_to_login(self) -> None:
        for path in ["/", "/status", "/document", "/rollouts", "/none"]:
            answer = self.client.call("GET", path)
            self.assertEqual(answer.status, 303)
            self.assertEqual(answer.headers["location"], "/login")
        self.assertEqual(self.client.call("GET", "/login").status, 200)
        self.assertEqual(self.client.call("GET", "/console.css").status, 200)

    def test_cookie_is_protected(self) -> None:
        self.assertEqual(self.post("/login", token="x").status, 401)
        cookie = self.post("/login", token=builders_console.TOKEN).headers[
            "set-cookie"
        ]
        self.assertIn("HttpOnly; SameSite=Strict", cookie)
        self.assertNotIn(builders_console.TOKEN, cookie)

    def test_forged_cookies_are_refused(self) -> None:
        self.log_in()
        good = self.client.headers["cookie"]
        name, _, value = good.partition("=")
        expiry, _, mac = value.partition(".")
        for forged in ["", "x", f"{int(expiry) + 1}.{mac}", f"{expiry}.", "."]:
            answer = self.client.call(
                "GET", "/status", cookie=f"{name}={forged}"
            )
            self.assertEqual(answer.status, 303)

    def test_form_token_is_required(self) -> None:
        self.log_in()
        for token in ["", "x", "\u00fc"]:
            answer = self.post(
                "/document",
                form_token=token,
                action="accept",
                base="0",
                text=_SMALL,
            )
            self.assertEqual(answer.status, 403)
        self.assertEqual(self.backend.store.pairs, {})

    def test_json_calls_refuse_the_cookie(self) -> None:
        self.log_in()
        self.assertEqual(self.client.call("GET", "/v1/status").status, 401)


class PagesTest(FormsTestCase):
    """Forms show faults, differences and conflicts, and keep the text."""

    def setUp(self) -> None:
        super().setUp()
        self.log_in()

    def test_values_are_escaped(self) -> None:
        page = self.client.call("GET", "/status").body
        self.assertIn(b"n&lt;1&gt;", page)
        self.assertNotIn(b"n<1>", page)

    def test_check_accept_and_conflict(self) -> None:
        status, page = self.submit_document("check", _SMALL, 0)
        self.assertIn("added regions[r1]", page)
        self.assertIn("Accept the document", page)
        status, page = self.submit_document("accept", _SMALL, 0)
        self.assertIn("Accepted as revision 1", page)
        stored = self.backend.store.record().record
        self.assertIsNotNone(stored)
        changed = _SMALL.replace("state: in", "state: out")
        status, page = self.submit_document("accept", changed, 0)
        self.assertEqual(status, 409)
        self.assertIn('state: "in" -> "out"', page)
        self.assertIn("state: out", page)
        self.assertIn("set the base revision to 1", page.replace("\n", " "))

    def test_faults_beside_their_lines(self) -> None:
        text = _SMALL.replace("9002", "9001")
        status, page = self.submit_document("check", text, 0)
        self.assertEqual(status, 422)
        self.assertIn("<td>22</td><td><code>                port: 9001", page)
        self.assertNotIn("Accept the document", page)

    def test_document_text_is_escaped(self) -> None:
        text = "</textarea><script>alert(1)</script>"
        body = urllib.parse.urlencode(
            {
                "form_token": self.token,
                "action": "check",
                "base": "0",
                "text": text,
            }
        ).encode()
        page = self.client.call("POST", "/document", body).body
        self.assertNotIn(b"<script>", page)

    def test_availability_zone(self) -> None:
        self.submit_document("accept", _SMALL, 0)
        page = self.client.call("GET", "/availability-zones").body
        self.assertIn(b"Take az-b out", page)
        status, page = self.submit(
            "/availability-zones", name="az-b", state="out", base="1"
        )
        self.assertIn("Bring az-b in", page)
        status, _ = self.submit(
            "/availability-zones", name="az-a", state="out", base="1"
        )
        self.assertEqual(status, 409)

    def test_rollouts(self) -> None:
        self.submit_document("accept", _SMALL, 0)
        rule = {k: str(v) for k, v in builders_configuration.ROLLOUT.items()}
        rule["steps_pct"] = "50, 100"
        status, page = self.submit("/rollouts", **rule, base="1")
        self.assertEqual(status, 422)
        self.assertIn("first step", page)
        self.assertIn('value="50, 100"', page)
        rule["steps_pct"] = "5, 100"
        status, page = self.submit("/rollouts", **rule, base="1")
        self.assertIn("Take desk-v2", page)
        status, page = self.submit("/rollouts/take-back", name="desk-v2")
        self.assertIn("is taken back", page)
        status, _ = self.submit("/rollouts/take-back", name="desk-v2")
        self.assertEqual(status, 409)

    def test_log_out(self) -> None:
        answer = self.post("/logout", form_token=self.token)
        self.assertIn("Max-Age=0", answer.headers["set-cookie"])


class HypercornTest(unittest.TestCase):
    """The client of the command line works with the node's HTTP server."""

    def test_serves_a_call_and_shuts_down(self) -> None:
        application = console.build_operator_application(
            builders_console.FakeBackend(), builders_console.TOKEN
        )

        async def main() -> None:
            config = hypercorn_config.Config()
            config.bind = ["127.0.0.1:0"]
            config.accesslog = None
            config.errorlog = None
            stop = trio.Event()
            async with trio.open_nursery() as nursery:

                async def serve(
                    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
                ) -> None:
                    await hypercorn_trio.serve(
                        application,
                        config,
                        shutdown_trigger=stop.wait,
                        task_status=task_status,
                    )

                binds = await nursery.start(serve)
                address = binds[0] if isinstance(binds, list) else binds
                status, _ = await trio.to_thread.run_sync(
                    _client.send,
                    "GET",
                    f"{address}/v1/status",
                    {"authorization": f"Bearer {builders_console.TOKEN}"},
                    b"",
                )
                self.assertEqual(status, 200)
                stop.set()

        trio.run(main)
