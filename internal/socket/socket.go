// Package socket asks the system about sockets, without reading from them or waiting.
package socket

import (
	"cmp"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek checks a connection: alive says whether the peer has not closed it, data whether bytes have arrived. A connection
// without a descriptor counts as closed.
func Peek(conn net.Conn) (alive, data bool) {
	err := control(conn, func(descriptor int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(descriptor, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = n > 0
		alive = data || errors.Is(err, syscall.EAGAIN)
	})
	return alive && err == nil, data
}

// HasData reports whether bytes can be read without waiting.
func HasData(conn net.Conn) bool {
	_, data := Peek(conn)
	return data
}

// UnreadBytes returns the number of bytes that can be read without waiting.
func UnreadBytes(conn net.Conn) (int, error) { return byteCount(conn, unix.SIOCINQ) }

// UnacknowledgedBytes returns the number of written bytes that the peer has not acknowledged.
func UnacknowledgedBytes(conn net.Conn) (int, error) { return byteCount(conn, unix.SIOCOUTQ) }

func byteCount(conn net.Conn, request uint) (count int, err error) {
	controlErr := control(conn, func(descriptor int) { count, err = unix.IoctlGetInt(descriptor, request) })
	return count, cmp.Or(controlErr, err)
}

// control calls f with the descriptor of a connection.
func control(conn net.Conn, f func(descriptor int)) error {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(descriptor uintptr) { f(int(descriptor)) })
}
