"""Tests of the timeline, its text and its page."""

import re
import tempfile
import unittest
from html.parser import HTMLParser
from pathlib import Path

from gypsumwalk.drivers.eventfiles import read_event_files
from gypsumwalk.eventlines import EventLine, encode_line
from gypsumwalk.timeline import Selection, Timeline, merge_lines, render_text
from gypsumwalk.timelinechart import GROUPS, find_group, render_chart
from gypsumwalk.timelinepage import render_page
from gypsumwalk.timestamps import HybridClock, Timestamp

START = 1_700_000_000_000
VOID_TAGS = {"meta", "input"}


def make_event(instance, milliseconds, *, counter=0, name="DAEMON_STARTED", **fields):
    return EventLine(
        timestamp=Timestamp(START + milliseconds, counter),
        instance=instance,
        data_centre="north",
        number=fields.pop("number", 1001),
        name=name,
        level=fields.pop("level", "info"),
        message=fields.pop("message", "a message"),
        **fields,
    )


def to_lines(*events):
    return [encode_line(event).encode() + b"\n" for event in events]


class MarkupChecker(HTMLParser):
    """Asserts that elements nest, and collects the elements left open and links."""

    def __init__(self):
        super().__init__()
        self.open_tags, self.links = [], []

    def handle_starttag(self, tag, attrs):
        if tag not in VOID_TAGS:
            self.open_tags.append(tag)
        self.links += [value for name, value in attrs if name in ("src", "href")]

    def handle_endtag(self, tag):
        assert self.open_tags.pop() == tag


class TestTimeline(unittest.TestCase):
    def test_cause_precedes_effect_when_clocks_differ(self):
        sender, receiver = HybridClock(), HybridClock()
        sent = sender.read(100.0)
        received = receiver.merge(sent, 40.0)
        cause = make_event("d2", 0)
        cause = EventLine(**{**_to_dict(cause), "timestamp": sent})
        effect = EventLine(**{**_to_dict(make_event("d1", 0)), "timestamp": received})
        merged = merge_lines([("d1", to_lines(effect)), ("d2", to_lines(cause))])
        assert merged.events == (cause, effect)

    def test_truncated_line_is_counted_and_the_others_kept(self):
        whole = make_event("d1", 0)
        merged = merge_lines([("d1", [*to_lines(whole), b'{"timestamp":[17'])])
        assert merged.events == (whole,) and merged.malformed == 1
        assert render_text(merged)[-1] == "1 lines could not be read"

    def test_rotated_files_are_read_and_other_files_are_not(self):
        first, second = make_event("d1", 0), make_event("d1", 1)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "d1.jsonl.1").write_bytes(b"".join(to_lines(first)))
            (folder / "d1.jsonl").write_bytes(b"".join(to_lines(second)))
            (folder / "d1.jsonl.backup").write_bytes(b"".join(to_lines(first)))
            merged = read_event_files(folder)
        assert merged.events == (first, second)
        assert merged.files == ("d1.jsonl", "d1.jsonl.1")

    def test_selection_matches_subjects_and_attributes_and_keeps_the_latest(self):
        events = (
            make_event("d1", 0, subject="r1"),
            make_event("d1", 1, attributes={"request": "r1"}),
            make_event("d1", 2, subject="r2"),
        )
        shown = Timeline(events).select(Selection(subject="r1"))
        assert shown.events == events[:2]
        shown = Timeline(events).select(Selection(last=1))
        assert shown.events == events[2:] and shown.left_out == 2

    def test_text_has_one_printable_line_for_each_event(self):
        event = make_event("d1", 1234, message="two\nlines\x1b[2J")
        (line,) = render_text(Timeline((event,)))
        assert line == "22:13:21.234+0   d1 info    1001 two?lines?[2J"


class TestPage(unittest.TestCase):
    def setUp(self):
        self.events = [
            make_event(f"d{number}", number * 100 + 1000 * step, name="TARGET_TAKEN")
            for number in range(8)
            for step in range(50)
        ]
        elected = {"name": "LEADER_ELECTED", "number": 2001}
        self.events += [
            make_event("d1", 0, attributes={"term": 1}, **elected),
            make_event("d2", 9000, attributes={"term": 2}, **elected),
            make_event("d3", 500, level="error", message="<script>alert(1)</script>"),
        ]
        self.events.sort(key=lambda event: event.timestamp)

    def test_page_is_well_formed_self_contained_and_escaped(self):
        page = render_page(Timeline(tuple(self.events), ("d1.jsonl",)))
        checker = MarkupChecker()
        checker.feed(page)
        assert checker.open_tags == [] and checker.links == []
        assert "alert(1)</script>" not in page
        assert page.count("<tr class=") == len(self.events)

    def test_term_ends_where_the_next_leader_is_elected(self):
        chart = render_chart(Timeline(tuple(self.events)))
        first, second = re.findall(
            r'class="term".* x="([\d.]+)".* width="([\d.]+)"', chart
        )
        assert abs(float(first[0]) + float(first[1]) - float(second[0])) < 0.3

    def test_term_of_a_killed_leader_ends_with_its_last_event(self):
        elected = {"name": "LEADER_ELECTED", "attributes": {"term": 1}}
        events = (
            make_event("d1", 0),
            make_event("d1", 1000, **elected),
            make_event("d1", 2000, name="TARGET_TAKEN"),
            make_event("d2", 6000, **elected),
            make_event("d1", 8000),
            make_event("d1", 10_000, name="TARGET_TAKEN"),
        )
        chart = render_chart(Timeline(events))
        widths = re.findall(r'class="term".* width="([\d.]+)"', chart)
        assert [round(float(width)) for width in widths] == [114, 456]

    def test_lane_of_a_daemon_ends_with_its_last_event_before_a_restart(self):
        other = {"name": "TARGET_TAKEN"}
        events = (
            make_event("d1", 0),
            make_event("d1", 2000, **other),
            make_event("d1", 6000),
            make_event("d2", 8000),
            make_event("d2", 9000, name="DAEMON_STOPPED"),
            make_event("d1", 10_000, **other),
        )
        chart = render_chart(Timeline(events))
        found = re.findall(r'class="lane" x="([\d.]+)".* width="([\d.]+)"', chart)
        pixels = [(float(left) + 4, float(width) - 8) for left, width in found]
        spans = [((x - 120) / 114, width / 114) for x, width in pixels]
        for span, expected in zip(spans, ((0, 2), (6, 4), (8, 1)), strict=True):
            assert abs(span[0] - expected[0]) < 0.01
            assert abs(span[1] - expected[1]) < 0.01

    def test_dead_member_is_in_the_group_of_faults(self):
        fields = {"name": "MEMBER_CHANGED", "number": 2101}
        for change, group in (("dead", "faults"), ("alive", "membership")):
            event = make_event("d1", 0, attributes={"change": change}, **fields)
            assert find_group(event).name == group

    def test_adjacent_events_are_drawn_as_one_mark(self):
        events = tuple(make_event("d1", number) for number in range(1000))
        events += (make_event("d1", 10_000_000),)
        chart = render_chart(Timeline(events))
        assert chart.count("<circle") == 2
        assert "and 999 more" in chart

    def test_empty_timeline_gives_a_page(self):
        assert "0 events" in render_page(Timeline(()))

    def test_groups_by_name_take_precedence_over_groups_by_number(self):
        paused = make_event("d1", 0, name="WAVE_PAUSED", number=4200)
        assert find_group(paused).name == "waves"
        assert find_group(make_event("d1", 0, number=2250)).name == "configuration"
        numbers = [group.first for group in GROUPS]
        assert numbers == sorted(numbers)


def _to_dict(event):
    return {name: getattr(event, name) for name in event.__struct_fields__}
