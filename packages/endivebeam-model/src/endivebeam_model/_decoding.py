"""Errors of decoders for input from other processes."""

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
"""What ``msgspec`` raises for input that it cannot decode.

Input that is nested too deeply raises ``RecursionError``, also in a field that the
decoder skips.
"""
