"""Golden files: timelines of events without times and generated identifiers."""

import difflib
import re

from gypsumwalk.effects import Record
from gypsumwalk.events import Level

IDENTIFIER = re.compile(r"\b[\w-]+\.\d{10,}\.[\w.]+\b|\b\d{10,}\b|\b[0-9a-f]{16,}\b")
OMITTED_LEVELS = {Level.DEBUG}


class Normaliser:
    """Replaces identifiers by numbers in the order of their first appearance."""

    def __init__(self):
        self._known = {}

    def replace(self, text):
        """Return the text with identifiers replaced by ``<1>``, ``<2>``..."""
        return IDENTIFIER.sub(self._name, text)

    def _name(self, found):
        number = self._known.setdefault(found[0], len(self._known) + 1)
        return f"<{number}>"


def render_timeline(trace, events=()):
    """Return the events of a run in order, one per line.

    ``events`` selects events by name; empty selects all. Daemons that record the same
    event share a line, at the position of the first, so that the order in which a
    change reaches them does not matter.
    """
    normaliser = Normaliser()
    lines: list[tuple[str, set[str]]] = []
    for entry in trace:
        effect = entry.effect
        if not isinstance(effect, Record) or effect.event.level in OMITTED_LEVELS:
            continue
        if events and effect.event.name not in events:
            continue
        text = normaliser.replace(_describe(entry.node, effect))
        for known, nodes in lines:
            if known == text and entry.node not in nodes:
                nodes.add(entry.node)
                break
        else:
            lines.append((text, {entry.node}))
    return "".join(f"{text} ({' '.join(sorted(nodes))})\n" for text, nodes in lines)


def _describe(node, effect):
    text = effect.event.template.format_map(_Attributes(effect.attributes))
    subject = "" if effect.subject == node else f"{effect.subject} "
    return f"{effect.event.number} {subject}{text}"


class _Attributes(dict):
    def __missing__(self, key):
        return "{" + key + "}"


def check_golden(path, text, *, update):
    """Return the difference from a golden file, empty if none; write it on update."""
    if update:
        path.parent.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
        return ""
    if not path.exists():
        return f"{path.name} is missing; run python -m tests.test_scenarios --update"
    expected = path.read_text(encoding="utf-8")
    if expected == text:
        return ""
    return "\n".join(
        difflib.unified_diff(
            expected.splitlines(), text.splitlines(), "golden", "found", lineterm=""
        )
    )
