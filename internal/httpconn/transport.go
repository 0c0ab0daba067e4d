package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

const (
	maxHeaderBytes      = 1 << 20
	maxInterimResponses = 5 // 1xx before the answer
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// TransportConfig configures a Transport.
type TransportConfig struct {
	Dial         DialFunc
	MaxIdle      int           // connections that are kept
	IdleTimeout  time.Duration // after which they are no longer used
	OnExtraBytes func(err *ExtraBytesError)
}

// Transport is an http.RoundTripper for plain HTTP/1.1 to one server at a time. It keeps connections by the rules of this
// package. A request is written at most once, apart from a GET on a kept connection that ends without a byte of an
// answer.
type Transport struct {
	dial DialFunc
	pool *Pool[string] // by address
}

// NewTransport returns a transport without connections.
func NewTransport(cfg TransportConfig) *Transport {
	return &Transport{dial: cfg.Dial, pool: NewPool[string](PoolConfig{IdleTimeout: cfg.IdleTimeout, MaxPerKey: cfg.MaxIdle,
		Max: cfg.MaxIdle, OnExtraBytes: cfg.OnExtraBytes})}
}

// CloseIdleConnections closes the connections that are kept. The method of the same name of http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	t.pool.closeWhere(func(string, *Conn) bool { return true })
}

type freshConnKey struct{}

// WithFreshConn returns a context whose requests go over new connections.
func WithFreshConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnKey{}, true)
}

// RoundTrip makes a request. The connection is kept once the body of the answer has been read to its end and closed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	addr := request.URL.Host
	encoded, err := Encode(request)
	if err != nil {
		return nil, err
	}
	t.pool.CloseOtherKeys(addr)
	if request.Context().Value(freshConnKey{}) == nil {
		if conn := t.pool.Take(addr, addr); conn != nil {
			response, err := t.exchange(conn, request, encoded)
			if err == nil || request.Method != http.MethodGet || !errors.Is(err, errNoAnswer) || request.Context().Err() != nil {
				return response, err
			}
		}
	}
	dialed, err := t.dial(request.Context(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.exchange(NewConn(dialed, addr), request, encoded)
}

// errNoAnswer means that a connection ended before the first byte of an answer.
var errNoAnswer = errors.New("the connection ended without an answer")

// exchange writes a request and reads the head of its answer. On an error the connection is closed, and the kept ones
// with it: what broke or silenced one may have done the same to the others.
func (t *Transport) exchange(conn *Conn, request *http.Request, encoded []byte) (*http.Response, error) {
	ctx := request.Context()
	stopInterrupt := conn.InterruptOnCancel(ctx)
	fail := func(err error) (*http.Response, error) {
		stopInterrupt()
		conn.Close()
		t.pool.CloseKey(conn.addr)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	if err := conn.Send(encoded, request.Method+" "+request.URL.Path); err != nil {
		return fail(fmt.Errorf("%w: %w", errNoAnswer, err))
	}
	conn.LimitBytes(maxHeaderBytes)
	if _, err := conn.Reader.Peek(1); err != nil {
		return fail(fmt.Errorf("%w: %w", errNoAnswer, err))
	}
	response, err := readFinalResponse(conn.Reader, request)
	if err != nil {
		return fail(err)
	}
	conn.LimitBytes(math.MaxInt64)
	body := &responseBody{ReadCloser: response.Body, ctx: ctx}
	reusable := !response.Close && response.StatusCode != http.StatusSwitchingProtocols
	body.atEnd = response.Body == http.NoBody
	body.release = func() {
		stopInterrupt()
		if reusable && body.atEnd && ctx.Err() == nil {
			t.pool.Put(conn.addr, conn)
			return
		}
		conn.Close()
		if ctx.Err() != nil {
			t.pool.CloseKey(conn.addr)
		}
	}
	response.Body = body
	return response, nil
}

// readFinalResponse reads the head of an answer, and the interim responses before it.
func readFinalResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode/100 != 1 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
	return nil, errors.New("too many interim responses")
}

// responseBody is the body of an answer. Closing it releases the connection.
type responseBody struct {
	io.ReadCloser
	ctx     context.Context
	atEnd   bool
	release func() // nil once the body is closed
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.atEnd = true
	} else if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close releases the connection. It does not read the rest of the body.
func (b *responseBody) Close() error {
	if release := b.release; release != nil {
		b.release = nil
		release()
	}
	return nil
}
