package node

// Socket operations besides reading and writing: counts of unread and unacknowledged bytes, and whether the peer has
// closed the connection.

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
		unacknowledged, err := socketByteCount(conn, unix.SIOCOUTQ)
		if err == nil && unacknowledged == 0 {
			return
		}
		if err != nil && !hasData(conn) {
			return // the system gives no count; without unread bytes the close sends no reset
		}
		select {
		case <-stop:
			return
		case <-time.After(closeAckPollInterval):
		}
	}
}

// peekConn checks a connection without reading or waiting: alive says whether the peer has not closed it, data
// whether bytes have arrived.
func peekConn(conn net.Conn) (alive, data bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = n > 0
		alive = data || errors.Is(err, syscall.EAGAIN)
	})
	return alive && err == nil, data
}

// hasData reports whether bytes can be read without waiting.
func hasData(conn net.Conn) bool {
	_, data := peekConn(conn)
	return data
}

// availableBytes returns the number of bytes that can be read without waiting.
func availableBytes(conn net.Conn) int {
	if !hasData(conn) {
		return 0
	}
	count, err := socketByteCount(conn, unix.SIOCINQ)
	if err != nil {
		return maxBulkBytes + maxOverheadBytes // the system gives no count: assume the largest request
	}
	return count
}

// socketByteCount asks the system for a byte count of a socket: request is SIOCINQ for unread bytes and SIOCOUTQ for
// unacknowledged ones.
func socketByteCount(conn net.Conn, request uint) (count int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), request) })
	return count, cmp.Or(controlErr, err)
}
