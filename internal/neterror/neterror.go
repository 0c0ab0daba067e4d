// Package neterror tells errors of this host from those of its peers.
package neterror

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// localErrors are errors of opening a connection or a listener that come from this host. They are transient.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN}

// IsLocal reports whether an error comes from this host: nothing was sent, and it says nothing about the peer.
func IsLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// IsDial reports whether an error means that no connection was established.
func IsDial(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
