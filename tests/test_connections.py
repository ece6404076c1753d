"""Tests of the reader of the servers' connections."""

import io
import socket
import sys
import unittest
from collections import Counter
from unittest import mock

from cheroot.makefile import StreamReader as ServersReader

from gypsumwalk.drivers.connections import (
    ReceiveWatchdog,
    StreamReader,
    make_watched_connection_class,
)

BUFFER_BYTES = 8192
HEAD = b"POST / HTTP/1.1\r\n" + b"Name: value\r\n" * 10 + b"\r\n"


def count_calls(action):
    """Return the number of calls of Python functions that an action makes."""
    counts = Counter()

    def count(frame, event, argument):
        if event == "call":
            counts[frame.f_code.co_name] += 1

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return counts.total()


class TestReader(unittest.TestCase):
    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.near.settimeout(5.0)
        self.reader = StreamReader(self.near, BUFFER_BYTES)
        self.addCleanup(self.reader.close)

    def test_it_has_data_if_more_was_received_than_read(self):
        assert not self.reader.has_data()
        self.far.sendall(b"first\r\nsecond\r\n")
        assert not self.reader.has_data()
        assert self.reader.readline() == b"first\r\n"
        assert self.reader.has_data()
        assert self.reader.readline() == b"second\r\n"
        assert not self.reader.has_data()
        assert self.reader.bytes_read == len(b"first\r\nsecond\r\n")

    def test_it_reads_on_after_it_had_no_data(self):
        for text in (b"first\n", b"second\n"):
            assert not self.reader.has_data()
            self.far.sendall(text)
            assert self.reader.readline() == text

    def test_the_end_and_a_timeout_are_those_of_the_servers_reader(self):
        self.near.settimeout(0.05)
        for make in (StreamReader, lambda near, size: ServersReader(near, "rb", size)):
            with self.assertRaises(TimeoutError):
                make(self.near, BUFFER_BYTES).readline()
        self.far.shutdown(socket.SHUT_WR)
        assert self.reader.readline() == b""
        assert not self.reader.has_data()

    # Each line of a head took dozens of calls.
    def test_a_head_takes_a_constant_number_of_calls(self):
        connection = make_watched_connection_class(ReceiveWatchdog())(
            mock.Mock(), self.near, None
        )
        assert isinstance(connection.rfile, io.BufferedReader)
        self.far.sendall(HEAD)
        connection.rfile.readline()

        def read():
            while connection.rfile.readline() != b"\r\n":
                pass

        assert count_calls(read) <= 1


if __name__ == "__main__":
    unittest.main()
