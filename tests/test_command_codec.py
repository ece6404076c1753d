"""Tests of the encoding of commands for the replicated log."""

import unittest
from unittest import mock

import msgspec

from gypsumwalk import command_codec
from gypsumwalk.command_codec import encode_command, expand_command, is_encoded_as
from gypsumwalk.declaration_records import Declaration, DeclaredQueue, PutDeclaration
from gypsumwalk.errors import UnknownMessage
from gypsumwalk.replication import ChangeVoters


def make_declaration(queues):
    declared = [
        DeclaredQueue(
            f"queue-{number}", f"host-{number % 9}", f"/{number}/", "service", 3.0
        )
        for number in range(queues)
    ]
    source = msgspec.json.encode(declared).decode()
    return PutDeclaration(Declaration(7, declared, source=source))


class TestCommandCodec(unittest.TestCase):
    def test_small_commands_are_not_compressed(self):
        command = ChangeVoters({"v0": "disk"})
        content = encode_command(command)
        assert content == msgspec.msgpack.encode(command)
        assert expand_command(content) == content

    # A declaration of 1,400 queues with its source took 0.6 MB for each peer.
    def test_a_large_declaration_takes_a_fraction_of_its_size(self):
        command = make_declaration(1400)
        content = encode_command(command)
        plain = msgspec.msgpack.encode(command)
        assert len(content) < len(plain) / 5
        assert expand_command(content) == plain

    def test_damaged_commands_are_refused(self):
        content = encode_command(make_declaration(200))
        damaged = bytes([content[0], content[1], 255]) + content[3:]
        for broken in (content[:-20], damaged):
            with self.subTest(size=len(broken)), self.assertRaises(UnknownMessage):
                expand_command(broken)

    def test_commands_that_expand_beyond_the_limit_are_refused(self):
        content = encode_command(make_declaration(200))
        with (
            mock.patch.object(command_codec, "MAX_COMMAND_BYTES", 1000),
            self.assertRaises(UnknownMessage),
        ):
            expand_command(content)

    def test_a_change_of_voters_is_recognised_by_its_tag(self):
        change = encode_command(ChangeVoters({"v0": "disk"}))
        assert is_encoded_as(ChangeVoters, change)
        for number in (1, 200):
            other = encode_command(make_declaration(number))
            assert not is_encoded_as(ChangeVoters, other)
        assert not is_encoded_as(ChangeVoters, b"")


if __name__ == "__main__":
    unittest.main()
