"""Encode packets as CBOR and decode them."""

import cbor2
from cattrs import Converter
from cattrs.strategies import configure_tagged_union
from result import Err, Ok, Result

from bronzetiller.structure import summarize_error
from bronzetiller.wire.messages import Message, Packet

PACKET_BYTES_MAX = 4 * 1024 * 1024

_CONVERTER = Converter()
configure_tagged_union(Message, _CONVERTER, tag_name="type")


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet as CBOR."""
    return cbor2.dumps(_CONVERTER.unstructure(packet))


def decode_packet(data: bytes) -> Result[Packet, str]:
    """Decode a packet; return an error if it is malformed, too large or of unknown type."""
    if len(data) > PACKET_BYTES_MAX:
        return Err("the packet is too large")
    try:
        return Ok(_CONVERTER.structure(cbor2.loads(data), Packet))
    except Exception as error:  # cbor2 and cattrs raise many types for malformed input
        return Err(summarize_error(error))
