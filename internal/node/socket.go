package node

// Socket operations besides reading and writing.

import (
	"net"
	"time"

	"crossdeal/internal/socket"
)

const (
	closeAckTimeout      = 50 * time.Millisecond // for a peer to acknowledge what was written, before a close
	closeAckPollInterval = time.Millisecond
)

// awaitAck closes the sending direction and waits up to closeAckTimeout until the peer has acknowledged all
// that was written. A close with unread bytes sends a reset, which would overtake written bytes that have not
// arrived yet. It reads nothing. The FIN counts as one byte and is acknowledged without delay. The wait ends early when
// stop is closed; nil for never.
func awaitAck(conn net.Conn, stop <-chan struct{}) {
	writeCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil {
		return
	}
	for deadline := time.Now().Add(closeAckTimeout); time.Now().Before(deadline); {
		unacknowledged, err := socket.UnacknowledgedBytes(conn)
		if err == nil && unacknowledged == 0 {
			return
		}
		if err != nil && !socket.HasData(conn) {
			return // the system gives no count; without unread bytes the close sends no reset
		}
		select {
		case <-stop:
			return
		case <-time.After(closeAckPollInterval):
		}
	}
}

// availableBytes returns the number of bytes that can be read without waiting.
func availableBytes(conn net.Conn) int {
	if !socket.HasData(conn) {
		return 0
	}
	count, err := socket.UnreadBytes(conn)
	if err != nil {
		return maxBulkBytes + maxOverheadBytes // the system gives no count: assume the largest request
	}
	return count
}
