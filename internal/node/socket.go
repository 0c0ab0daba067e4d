package node

// What the system knows of a connection, besides its bytes.

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	closeAckTimeout      = 50 * time.Millisecond // for a peer to acknowledge the last that was written, before the close
	closeAckPollInterval = time.Millisecond
)

// awaitAck ends the sending and waits, for a moment at most, until the peer has acknowledged all that was written: the
// reset that a close over unread bytes sends would overtake those that are still under way. It reads nothing. The end of
// the sending counts as one byte and is acknowledged without delay.
func awaitAck(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	for by := time.Now().Add(closeAckTimeout); time.Now().Before(by); time.Sleep(closeAckPollInterval) {
		left, err := socketByteCount(conn, unix.SIOCOUTQ)
		if err == nil && left == 0 {
			return
		}
		if err != nil && !hasData(conn) {
			return // the system does not tell; without unread bytes there is no reset
		}
	}
}

// peekConn looks at a connection without reading or waiting: whether the peer has it
// open still, and whether something has come.
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

// hasData says whether something can be read without waiting.
func hasData(conn net.Conn) bool {
	_, data := peekConn(conn)
	return data
}

// availableBytes is the number of bytes that can be read without waiting.
func availableBytes(conn net.Conn) int {
	if !hasData(conn) {
		return 0
	}
	count, err := socketByteCount(conn, unix.SIOCINQ)
	if err != nil {
		return maxBulkBytes + maxOverheadBytes // the system does not tell
	}
	return count
}

// socketByteCount asks the system for a count of bytes that it holds for a connection.
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
