"""Tests that a stalled reader of the log stream does not block its writers."""

import os
import time
import unittest

from gypsumwalk.drivers.logstream import LogStream

READ_SECONDS = 2.0


class TestLogStream(unittest.TestCase):
    def test_lines_arrive_in_order(self):
        reader, writer = os.pipe()
        stream = LogStream(writer)
        for number in range(100):
            stream.write(f"line {number}\n")
        stream.close()
        os.close(writer)
        with os.fdopen(reader) as lines:
            assert lines.read().splitlines() == [f"line {n}" for n in range(100)]

    def test_a_stalled_reader_does_not_block(self):
        reader, writer = os.pipe()
        stream = LogStream(writer, max_lines=50)
        started = time.monotonic()
        for _ in range(5000):
            stream.write("x" * 200 + "\n")
        assert time.monotonic() - started < 2.0
        assert stream.dropped_lines > 0
        os.close(reader)
        stream.close()
        os.close(writer)

    def test_dropped_lines_are_counted_in_a_line(self):
        reader, writer = os.pipe()
        stream = LogStream(writer, max_lines=2)
        for _ in range(3000):
            stream.write("x" * 200 + "\n")
        dropped_lines = stream.dropped_lines
        read = b""
        while b"lines left out" not in read:
            read += os.read(reader, 65536)
        assert dropped_lines > 0
        stream.close()
        os.close(writer)
        os.close(reader)

    def test_a_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        stream = LogStream(writer)
        stream.write("line\n")
        stream.close()
        assert stream.dropped_lines == 1
        os.close(writer)

    def test_lines_are_written_after_a_text_that_has_no_encoding(self):
        # Guards against a thread that ends, and a log that ends with it (issue 43).
        reader, writer = os.pipe()
        stream = LogStream(writer)
        stream.write("lone surrogate \udc80\n")
        stream._idle.wait(READ_SECONDS)
        stream.write("next line\n")
        stream.close()
        os.close(writer)
        with os.fdopen(reader) as lines:
            assert lines.read().splitlines() == ["lone surrogate \\udc80", "next line"]


if __name__ == "__main__":
    unittest.main()
