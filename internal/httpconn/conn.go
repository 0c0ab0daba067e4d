// Package httpconn keeps connections to HTTP/1.1 servers and decides when one may carry another request.
//
// HTTP/1.1 matches an answer with its request by their order on the connection alone. If a server sends more than the
// answer to a request (a second copy, or bytes that are no answer), a client that has written the next request reads
// that as the answer to it. Such bytes come right behind the answer that they follow, before the server has received
// anything else on the connection. Therefore
//
//   - a connection is kept only if the answer is complete and nothing behind it has been read with it;
//   - it is not used again for ReuseDelay, so that what comes behind the answer arrives while no request is waiting;
//   - it is checked when it is taken from the pool, and by Conn.Check right before the first byte of a request. One that
//     has unread bytes, or that the server has closed, is closed and another one takes its place.
//
// Pool holds idle connections, and Transport makes the requests of an http.Client with them.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"crossdeal/internal/socket"
)

// ReuseDelay is the time from the end of an answer to the next request on its connection. The protocol makes each of its
// time limits 50 ms longer on sockets: what comes right behind an answer has arrived by then.
const ReuseDelay = 50 * time.Millisecond

// errPeerClosed means that the server has closed an idle connection, or that the system cannot tell.
var errPeerClosed = errors.New("the server has closed the connection")

// ExtraBytesError says that a server has sent more than the answer to the last request on a connection.
type ExtraBytesError struct {
	Addr        string // of the server
	LastRequest string // name of the request whose answer they follow
	Bytes       int    // those that have arrived so far
}

func (e *ExtraBytesError) Error() string {
	return fmt.Sprintf("%d bytes behind the answer of %s to %s", e.Bytes, e.Addr, e.LastRequest)
}

// Conn is a client's connection to a server.
type Conn struct {
	net.Conn
	Reader      *bufio.Reader // of answers
	readLimit   *io.LimitedReader
	addr        string
	lastRequest string
	idleSince   time.Time
	onClose     atomic.Pointer[func()]
}

// NewConn returns a connection to the server at addr.
func NewConn(conn net.Conn, addr string) *Conn { return NewConnWithData(conn, addr, nil) }

// NewConnWithData returns a connection on which a part of an answer has been received already.
func NewConnWithData(conn net.Conn, addr string, received []byte) *Conn {
	limit := &io.LimitedReader{R: io.MultiReader(bytes.NewReader(received), conn), N: math.MaxInt64}
	return &Conn{Conn: conn, Reader: bufio.NewReader(limit), readLimit: limit, addr: addr}
}

// LimitBytes limits the bytes that are read from the connection from now on; reading ends behind them.
func (c *Conn) LimitBytes(limit int64) { c.readLimit.N = limit }

// IdleSince returns when the connection last became idle.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// SetIdleSince sets since when the connection is idle, for one that another process has kept.
func (c *Conn) SetIdleSince(since time.Time) { c.idleSince = since }

// SetOnClose sets a function that the first Close calls. It returns false if there is one already.
func (c *Conn) SetOnClose(f func()) bool { return c.onClose.CompareAndSwap(nil, &f) }

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if f := c.onClose.Swap(nil); f != nil {
		(*f)()
	}
	return err
}

// Check returns nil if the connection may carry a request: the server has not closed it, and nothing has arrived behind
// the last answer. Otherwise the error is an *ExtraBytesError if bytes have arrived.
func (c *Conn) Check() error {
	alive, unread := socket.Peek(c.Conn)
	if extra := c.Reader.Buffered(); extra > 0 || unread {
		count, err := socket.UnreadBytes(c.Conn)
		if err != nil && unread {
			count = 1 // the system gives no count
		}
		return &ExtraBytesError{Addr: c.addr, LastRequest: c.lastRequest, Bytes: extra + count}
	}
	if !alive {
		return errPeerClosed
	}
	return nil
}

// Send writes an encoded request in one write. The name identifies the request in an ExtraBytesError.
func (c *Conn) Send(encoded []byte, name string) error {
	c.lastRequest = name
	_, err := c.Write(encoded)
	return err
}

// InterruptOnCancel makes reads and writes fail with os.ErrDeadlineExceeded once ctx is done, until the returned
// function has been called.
func (c *Conn) InterruptOnCancel(ctx context.Context) (stopInterrupt func()) {
	return afterCancel(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
}

// EndSoonOnCancel moves the deadline of the connection forward to the given grace time after ctx is done, until the
// returned function has been called.
func (c *Conn) EndSoonOnCancel(ctx context.Context, deadline time.Time, grace time.Duration) (stop func()) {
	return afterCancel(ctx, func() {
		if sooner := time.Now().Add(grace); sooner.Before(deadline) {
			c.SetDeadline(sooner)
		}
	})
}

// afterCancel runs f once ctx is done. The returned function prevents that, or waits for the end of f.
func afterCancel(ctx context.Context, f func()) (stop func()) {
	ended := make(chan struct{})
	stopAfter := context.AfterFunc(ctx, func() {
		f()
		close(ended)
	})
	return func() {
		if !stopAfter() {
			<-ended
		}
	}
}

// Encode returns a request as it is written.
func Encode(request *http.Request) ([]byte, error) {
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, fmt.Errorf("encoding a request: %w", err)
	}
	return encoded.Bytes(), nil
}
