"""Tests of routes and weighted splits."""

import collections
import unittest

from geraniumstair import routing
from tests import builders_gateway as builders


class RouteTableTest(unittest.TestCase):
    """Guards against requests that get the wrong route."""

    def test_the_longest_prefix_of_the_host_matches(self) -> None:
        short = builders.route(name="short", prefix="/p/")
        long = builders.route(name="long", prefix="/p/q/")
        other = builders.route(name="other", host="i.example", prefix="/")
        table = builders.table([short, long, other])
        self.assertIs(table.match("h.example", "/p/q/x"), long)
        self.assertIs(table.match("h.example", "/p/qx"), short)
        self.assertIs(table.match("I.example:8080", "/p/q/x"), other)
        self.assertIsNone(table.match("h.example", "/x"))
        self.assertIsNone(table.match("", "/p/"))

    def test_services_of_unknown_names_have_default_limits(self) -> None:
        table = builders.table([builders.route()], max_connections=7)
        self.assertEqual(table.service_limits("s1").max_connections, 7)
        self.assertEqual(table.service_limits("x"), routing.ServiceLimits())


class ServiceSplitTest(unittest.TestCase):
    """Guards against shares that drift from their weights."""

    def test_each_service_stays_within_one_request_of_its_share(self) -> None:
        parts = [
            routing.SplitPart("x", 7),
            routing.SplitPart("y", 2),
            routing.SplitPart("z", 1),
        ]
        split = routing.ServiceSplit(parts)
        counts: collections.Counter[str] = collections.Counter()
        for number in range(1, 201):
            counts[split.next_service()] += 1
            for part in parts:
                share = number * part.weight / 10
                self.assertLess(abs(counts[part.service] - share), 1.0)

    def test_a_service_with_weight_zero_gets_no_requests(self) -> None:
        parts = [routing.SplitPart("x", 0), routing.SplitPart("y", 1)]
        split = routing.ServiceSplit(parts)
        self.assertEqual({split.next_service() for _ in range(9)}, {"y"})
