"""Runs the curl examples of a page with urllib3 instead of curl."""

import json
import re
import shlex
from dataclasses import dataclass
from string import Template

import urllib3

BLOCK = re.compile(r"```(sh|json|text)\n(.*?)```", re.DOTALL)
ASSIGNMENT = re.compile(r"^(\w+)=\$\((.*) \| jq -r \.(\w+)\)$", re.DOTALL)
TIMEOUT_SECONDS = 20.0


@dataclass
class Example:
    """One curl command and the answer shown after it."""

    command: str
    kind: str
    expected: str


def read_examples(page):
    """Return the examples of a page in their order."""
    blocks = BLOCK.findall(page)
    examples = []
    for number, (kind, text) in enumerate(blocks):
        if kind != "sh":
            continue
        after = blocks[number + 1] if number + 1 < len(blocks) else ("sh", "")
        kind, expected = after if after[0] != "sh" else ("", "")
        examples.append(Example(text.strip().replace("\\\n", " "), kind, expected))
    return examples


def run_example(command, variables):
    """Run one command and return status and body; an assignment sets a variable."""
    assignment = ASSIGNMENT.match(command)
    if assignment is None:
        return run_curl(command, variables)
    name, inner, field = assignment.groups()
    status, body = run_curl(inner, variables)
    variables[name] = json.loads(body)[field]
    return status, body


def run_curl(command, variables):
    """Send the request of a curl command, and return status and body."""
    words = [Template(word).substitute(variables) for word in shlex.split(command)]
    assert words.pop(0) == "curl", command
    method, url, headers, body = None, None, {}, None
    while words:
        word = words.pop(0)
        if word == "-s":
            continue
        if word == "-X":
            method = words.pop(0)
        elif word == "-H":
            name, _, value = words.pop(0).partition(": ")
            headers[name] = value
        elif word in ("-d", "--data-binary"):
            body = words.pop(0).encode()
        else:
            assert not word.startswith("-"), f"unknown flag {word}"
            url = word
    method = method or ("POST" if body is not None else "GET")
    with urllib3.PoolManager() as pool:
        response = pool.request(
            method,
            url,
            headers=headers,
            body=body,
            timeout=TIMEOUT_SECONDS,
            retries=False,
        )
        return response.status, response.data


def find_difference(expected, found, volatile, path="answer"):
    """Return the first difference of two JSON values, empty if none.

    The values of fields named in ``volatile`` may differ, their types may not.
    """
    if type(expected) is not type(found):
        return f"{path}: found {found!r}, expected {expected!r}"
    if isinstance(expected, dict):
        if expected.keys() != found.keys():
            return f"{path}: found fields {sorted(found)}, expected {sorted(expected)}"
        for name in expected:
            if name in volatile and type(expected[name]) is type(found[name]):
                continue
            inner = f"{path}.{name}"
            difference = find_difference(expected[name], found[name], volatile, inner)
            if difference:
                return difference
        return ""
    if isinstance(expected, list):
        if len(expected) != len(found):
            return f"{path}: found {len(found)} items, expected {len(expected)}"
        for number, pair in enumerate(zip(expected, found, strict=True)):
            difference = find_difference(*pair, volatile, f"{path}[{number}]")
            if difference:
                return difference
        return ""
    return (
        "" if expected == found else f"{path}: found {found!r}, expected {expected!r}"
    )
