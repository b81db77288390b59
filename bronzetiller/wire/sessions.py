"""Implement the websocket protocol between peers without I/O: bytes in, bytes and packets out."""

from collections.abc import Callable

from attrs import define, frozen
from result import Err, Ok
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from bronzetiller.logs import log_event
from bronzetiller.wire.codec import PACKET_BYTES_MAX, decode_packet, encode_packet
from bronzetiller.wire.credentials import check_credentials, make_credentials
from bronzetiller.wire.messages import PROTOCOL_VERSION, Packet

VERSION_HEADER = "Bronzetiller-Protocol"


@frozen
class SessionHandlers:
    """Hold the callbacks for the output of a session."""

    write: Callable[[bytes], None]
    on_open: Callable[[], None]
    on_packet: Callable[[Packet], None]
    close: Callable[[], None]


@define(eq=False)
class Session:
    """Hold the websocket state of one connection."""

    _protocol: ClientProtocol | ServerProtocol
    _handlers: SessionHandlers
    _secret: bytes
    open: bool = False
    peer_id: str = ""

    def send(self, packet: Packet) -> int:
        """Send a packet if the session is open; return the number of bytes sent."""
        if not self.open:
            return 0
        data = encode_packet(packet)
        self._protocol.send_binary(data)
        self._flush()
        return len(data)

    def feed(self, data: bytes) -> None:
        """Process data that the connection received."""
        self._protocol.receive_data(data)
        for event in self._protocol.events_received():
            self._handle_event(event)
        self._flush()
        if self._protocol.state is State.CLOSED or self._protocol.parser_exc is not None:
            self._handlers.close()

    def _handle_event(self, event: Request | Response | Frame) -> None:
        if isinstance(event, Request):
            self._accept_handshake(event)
        elif isinstance(event, Response):
            self._complete_handshake()
        elif event.opcode is Opcode.BINARY:
            match decode_packet(bytes(event.data)):
                case Ok(packet):
                    self._handlers.on_packet(packet)
                case Err(reason):
                    log_event("packet_malformed", level=30, reason=reason)

    def _accept_handshake(self, request: Request) -> None:
        protocol = self._protocol
        assert isinstance(protocol, ServerProtocol)
        if request.headers.get(VERSION_HEADER) != str(PROTOCOL_VERSION):
            protocol.send_response(protocol.reject(426, "protocol version not spoken here\n"))
            return
        peer_id = check_credentials(self._secret, request.headers.get("Authorization", ""))
        if peer_id is None:
            log_event("peer_refused", level=30)
            protocol.send_response(protocol.reject(401, "wrong credentials\n"))
            return
        self.peer_id = peer_id
        protocol.send_response(protocol.accept(request))
        if protocol.state is State.OPEN:
            self._complete_handshake()

    def _complete_handshake(self) -> None:
        if self._protocol.state is State.OPEN:
            self.open = True
            self._flush()
            self._handlers.on_open()

    def _flush(self) -> None:
        for data in self._protocol.data_to_send():
            if data:
                self._handlers.write(data)


def open_client_session(
    secret: bytes, node_id: str, address: str, handlers: SessionHandlers
) -> Session:
    """Start the handshake on an outgoing connection."""
    protocol = ClientProtocol(parse_uri(f"ws://{address}/"), max_size=PACKET_BYTES_MAX)
    request = protocol.connect()
    request.headers["Authorization"] = make_credentials(secret, node_id)
    request.headers[VERSION_HEADER] = str(PROTOCOL_VERSION)
    session = Session(protocol, handlers, secret)
    protocol.send_request(request)
    session._flush()
    return session


def open_server_session(secret: bytes, handlers: SessionHandlers) -> Session:
    """Create the session of an accepted connection, which awaits the handshake."""
    return Session(ServerProtocol(max_size=PACKET_BYTES_MAX), handlers, secret)
