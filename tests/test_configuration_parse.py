"""Tests of `configuration.parse`, `difference` and the text edits."""

import unittest

from geraniumstair import configuration
from geraniumstair._generated import codes
from tests import builders_configuration

_SMALL = builders_configuration.SMALL_TEXT


def _faults(text: str | bytes) -> list[configuration.Fault]:
    data = text.encode() if isinstance(text, str) else text
    return list(configuration.parse(data).unwrap_err())


def _with_rollouts(*changes: dict[str, object]) -> bytes:
    text = _SMALL.encode()
    for number, change in enumerate(reversed(changes)):
        values = {**builders_configuration.ROLLOUT, "name": f"r{number}"}
        values.update(change)
        text = configuration.add_rollout(text, values).unwrap()
    return text


class MaliciousTextTest(unittest.TestCase):
    """A malicious text is refused at its first violation, with the line."""

    def test_refused_with_code_and_line(self) -> None:
        deep = "a:\n" + "".join(f"{' ' * n}- \n" for n in range(1, 60))
        many_keys = "".join(f"k{n}: 1\n" for n in range(70))
        cases = [
            ("a: &x [lol]\nb: [*x, *x]", "ALIAS_FORBIDDEN", 1),
            ("a: 1\nb: *x", "ALIAS_FORBIDDEN", 2),
            ("&a [*a]", "ALIAS_FORBIDDEN", 1),
            ("a: 1\na: 2", "DUPLICATE_KEY", 2),
            ("[" * 100_000, "YAML_SYNTAX", 1),
            (deep, "DOCUMENT_TOO_LARGE", 25),
            ("a: " + "[" * 30 + "]" * 30, "DOCUMENT_TOO_LARGE", 1),
            (b" " * (4 * 1024 * 1024 + 1), "DOCUMENT_TOO_LARGE", 1),
            ("- 1\n" * 5_001, "DOCUMENT_TOO_LARGE", 5_001),
            (many_keys, "DOCUMENT_TOO_LARGE", 65),
            ("- [0, 0, 0]\n" * 4_999, "SCHEMA_VIOLATION", 1),
            (f"- [{'0, ' * 99}]\n" * 2_000, "DOCUMENT_TOO_LARGE", 1_600),
            ("a: 1" + "0" * 5000, "DOCUMENT_TOO_LARGE", 1),
            ("a: 1" + "0" * 3000, "SCHEMA_VIOLATION", 1),
            ("\na: !!python/object:os.system x", "YAML_SYNTAX", 2),
            ("? [a]\n: 1", "YAML_SYNTAX", 1),
            ("a: 1\n---\nb: 2", "YAML_SYNTAX", 2),
            ("a: .inf", "SCHEMA_VIOLATION", 1),
            (b"a: 1\nb: \xff", "YAML_SYNTAX", 2),
            ("a: [1,", "YAML_SYNTAX", 1),
            ("", "YAML_SYNTAX", 1),
        ]
        for text, code, line in cases:
            with self.subTest(text=text[:40]):
                fault = _faults(text)[0]
                self.assertEqual((fault.code.name, fault.line), (code, line))

    def test_faults_have_no_control_characters(self) -> None:
        faults = _faults('"\\e[31m": 1')
        self.assertNotIn("\x1b", str(faults[-1]) + str(faults[0]))
        self.assertTrue(any("x1b" in f.path for f in faults))

    def test_values_are_not_converted(self) -> None:
        faults = _faults(
            _SMALL.replace("port: 9001", 'port: "9001"')
            .replace("port: 9002", "port: true")
            .replace("version: v2", "version: 2.0")
        )
        self.assertEqual([f.line for f in faults], [18, 22, 24])
        self.assertEqual({f.code for f in faults}, {codes.Code(404)})


class ParseTest(unittest.TestCase):
    """All faults of a document are reported at once, each on its line."""

    def test_valid_document(self) -> None:
        document = configuration.parse(_SMALL.encode()).unwrap()
        self.assertEqual(document.availability_zones[1].state, "in")

    def test_unknown_and_missing_fields(self) -> None:
        text = _SMALL.replace("state: in", "sate: in").replace(
            "                port: 9002\n", ""
        )
        faults = _faults(text)
        self.assertEqual(
            [(f.path, f.line) for f in faults],
            [
                ("availability_zones[1].sate", 8),
                (
                    "subsidiaries[0].services[0].shards[0].endpoints[1].port",
                    20,
                ),
            ],
        )

    def test_reference_faults(self) -> None:
        text = (
            _SMALL.replace("name: az-a, region: r1", "name: az-a, region: r9")
            .replace("name: e1", "name: e0")
            .replace("9002", "9001")
            .replace("availability_zone: az-b", "availability_zone: az-x")
        )
        text += "    service_sets: [{name: desk, services: [desk, dusk]}]\n"
        faults = _faults(text)
        self.assertEqual(
            [(f.line, f.code.name) for f in faults],
            [
                (5, "UNKNOWN_REFERENCE"),
                (20, "DUPLICATE_NAME"),
                (22, "DUPLICATE_NAME"),
                (23, "UNKNOWN_REFERENCE"),
                (25, "DUPLICATE_NAME"),
                (25, "UNKNOWN_REFERENCE"),
            ],
        )

    def test_same_address_in_another_notation_is_a_duplicate(self) -> None:
        text = _SMALL.replace("127.0.0.1", "::1", 1)
        text = text.replace("127.0.0.1", "0:0:0:0:0:0:0:1")
        text = text.replace("9002", "9001")
        self.assertEqual(_faults(text)[0].code, codes.Code.DUPLICATE_NAME)

    def test_rollout_rules(self) -> None:
        cases: list[tuple[dict[str, object], str, str]] = [
            ({"steps_pct": [6, 100]}, "INVALID_VALUE", "steps_pct[0]"),
            ({"steps_pct": [5, 5, 100]}, "INVALID_VALUE", "steps_pct[1]"),
            ({"steps_pct": [5, 50]}, "INVALID_VALUE", "steps_pct[1]"),
            (
                {"done_by_utc": "2029-01-01T00:00:00Z"},
                "INVALID_VALUE",
                "done_by_utc",
            ),
            ({"start_utc": "2030-01-01"}, "SCHEMA_VIOLATION", "start_utc"),
            ({"new_version": "v9"}, "UNKNOWN_REFERENCE", "new_version"),
            ({"new_version": "v1"}, "INVALID_VALUE", "new_version"),
            ({"service": "dusk"}, "UNKNOWN_REFERENCE", "service"),
            ({"subsidiary": "x"}, "UNKNOWN_REFERENCE", "subsidiary"),
        ]
        for change, code, field in cases:
            with self.subTest(change=change):
                faults = _faults(_with_rollouts(change))
                self.assertEqual(
                    [(f.code.name, f.path) for f in faults],
                    [(code, f"rollouts[0].{field}")],
                )

    def test_one_rollout_of_a_service_at_a_time(self) -> None:
        faults = _faults(_with_rollouts({}, {}))
        self.assertEqual([f.path for f in faults], ["rollouts[1]"])
        later = {
            "start_utc": "2030-01-01T12:00:00Z",
            "done_by_utc": "2030-01-01T13:00:00Z",
        }
        self.assertTrue(configuration.parse(_with_rollouts({}, later)).is_ok())

    def test_faults_are_limited(self) -> None:
        text = builders_configuration.build_text(service_count=300)
        text = text.replace(b"availability_zone: az-a", b"availability_zone: x")
        self.assertEqual(len(_faults(text)), 100)


class DifferenceTest(unittest.TestCase):
    """The difference lists each change once and names the changed item."""

    def _difference(self, old: str, new: str) -> list[str]:
        before = configuration.parse(old.encode()).unwrap()
        after = configuration.parse(new.encode()).unwrap()
        return list(configuration.difference(before, after))

    def test_changes_by_name(self) -> None:
        new = _SMALL.replace("state: in", "state: out").replace(
            "  - {name: az-a", "  - {name: az-0, region: r1}\n  - {name: az-a"
        )
        new = new.replace("name: e1", "name: e2")
        endpoints = "subsidiaries[acme].services[desk].shards[p0].endpoints"
        self.assertEqual(
            self._difference(_SMALL, new),
            [
                "added availability_zones[az-0]",
                'changed availability_zones[az-b].state: "in" -> "out"',
                f"removed {endpoints}[e1]",
                f"added {endpoints}[e2]",
            ],
        )

    def test_comments_are_not_compared(self) -> None:
        self.assertEqual(self._difference(_SMALL, "# x\n" + _SMALL), [])

    def test_first_document_adds_all_items(self) -> None:
        document = configuration.parse(_SMALL.encode()).unwrap()
        self.assertIn(
            "added regions[r1]", configuration.difference(None, document)
        )


class EditTest(unittest.TestCase):
    """An edit changes one value and keeps comments and layout."""

    def test_zone_state_is_replaced(self) -> None:
        for name, old, new in [
            ("az-b", "state: in", "state: out"),
            (
                "az-a",
                "{name: az-a, region: r1}",
                "{name: az-a, state: out, region: r1}",
            ),
        ]:
            edited = configuration.set_availability_zone_state(
                _SMALL.encode(), name, "out"
            )
            self.assertEqual(edited.unwrap().decode(), _SMALL.replace(old, new))

    def test_zone_state_is_added_in_block_style(self) -> None:
        text = "# ü\n" + _SMALL.replace("    state: in\n", "")
        edited = configuration.set_availability_zone_state(
            text.encode(), "az-b", "out"
        ).unwrap()
        self.assertIn("name: az-b  # spare\n    state: out\n", edited.decode())

    def test_unknown_zone_is_refused(self) -> None:
        edited = configuration.set_availability_zone_state(
            _SMALL.encode(), "az-x", "out"
        )
        self.assertIn("az-a, az-b", edited.unwrap_err()[0].detail)

    def test_rollout_is_added_in_each_layout(self) -> None:
        for ending in ["", "rollouts: []\n", "rollouts: [] # none\n# end\n"]:
            with self.subTest(ending=ending):
                text = (_SMALL + ending).encode()
                edited = configuration.add_rollout(
                    text, builders_configuration.ROLLOUT
                ).unwrap()
                document = configuration.parse(edited).unwrap()
                self.assertEqual(document.rollouts[0].name, "desk-v2")
                self.assertEqual(edited.count(b"#"), text.count(b"#"))

    def test_rollout_is_added_before_others(self) -> None:
        text = _with_rollouts({"name": "a"})
        values = {**builders_configuration.ROLLOUT, "name": "b"}
        edited = configuration.add_rollout(text, values).unwrap()
        self.assertIn(b'rollouts:\n- name: "b"\n', edited)
        again = configuration.add_rollout(edited, values)
        self.assertEqual(again.unwrap_err()[0].code, codes.Code.DUPLICATE_NAME)
