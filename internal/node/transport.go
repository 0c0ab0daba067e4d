package node

// The HTTP transport to endpoints: calls, probes, and the pool of idle connections.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/internal/neterror"
	"crossdeal/logic"
)

const (
	cancelLingerTime = 50 * time.Millisecond // for the endpoint to notice that a call is abandoned
	probeTimeout     = 1500 * time.Millisecond
)

// call is one attempt to deliver a message, or a health probe if it has no message.
type call struct {
	id            string
	attempt       int
	endpoint      logic.EndpointID
	addr          string
	destination   int64
	timeout       time.Duration
	startedAt     time.Time
	writeDeadline time.Time // the request is not written after this; zero for no limit
	request       *http.Request
	state         *atomic.Int32
	reusedConn    *httpconn.Conn                 // the connection to use; nil to open one
	mayWrite      func(ctx context.Context) bool // asked once a new connection is up; nil: no permission needed
}

// The states of a call. A call begins as callConnecting and then becomes callWritten or callWithheld, once; callSent
// and callParked follow callWritten.
const (
	callConnecting int32 = iota
	callWritten          // writing has begun: from here on the endpoint may have processed it
	callWithheld         // it must not be written
	callSent             // after callWritten: the whole request is written
	callParked           // after callSent: it is being parked for another process
)

// errParked is the cancellation cause that parks a call in flight for another process and leaves its connection open.
var errParked = errors.New("parked for another process")

// errLocalFailure ends a call for which no file descriptor became free, or for which this host could not open a
// connection. It says nothing about the endpoint.
var errLocalFailure = errors.New("this host cannot open a connection")

// errNotPermitted means that a call must not be written, although its connection is up.
var errNotPermitted = errors.New("the call must not be written any more")

// name identifies the call in the log.
func (c *call) name() string {
	if c.id == "" {
		return "a probe"
	}
	return c.id
}

// callResult is how a call ended.
type callResult struct {
	outcome      logic.Outcome
	retryAfter   time.Duration  // requested by the endpoint with a rejection
	messageEnded bool           // the endpoint reports that the message has ended
	loadReport   string         // the endpoint's load report as the response has it, unparsed
	parkedConn   *httpconn.Conn // parked, with no outcome yet: whoever resumes the call gets it
}

// transport makes calls over pooled connections. It never sends a request twice, and it knows whether the last byte of
// a request was written: this separates calls that the endpoint cannot have processed from those that it may have
// processed. net/http's transport does neither.
type transport struct {
	dialer  net.Dialer
	linger  time.Duration
	idle    *httpconn.Pool[logic.EndpointID]
	clients *clients // counts the descriptors shared with client connections; nil: no bound
	mu      sync.Mutex
	counts  map[string]int // events of calls since the last report; a few fixed names
}

// newTransport returns a transport. onExtraBytes is called for each connection that is closed for what came behind an
// answer; nil for none.
func newTransport(connectTimeout, idleTimeout time.Duration, maxIdlePerEndpoint, maxIdle int, onExtraBytes func(*httpconn.ExtraBytesError)) *transport {
	return &transport{dialer: net.Dialer{Timeout: connectTimeout}, linger: cancelLingerTime, counts: map[string]int{},
		idle: httpconn.NewPool[logic.EndpointID](httpconn.PoolConfig{IdleTimeout: idleTimeout, MaxPerKey: maxIdlePerEndpoint, Max: maxIdle,
			OnExtraBytes: onExtraBytes})}
}

// countEvent counts an event of a call for the "calls" log line.
func (t *transport) countEvent(event string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[event]++
}

// takeCounts returns the counts since the last report as log attributes in order of name, and resets them.
func (t *transport) takeCounts() []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	attrs := make([]any, 0, 2*len(t.counts))
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		attrs = append(attrs, name, t.counts[name])
	}
	clear(t.counts)
	return attrs
}

// do makes a call and returns its result. Cancelling ctx cancels the call.
func (t *transport) do(ctx context.Context, c *call) callResult {
	deadline := c.startedAt.Add(c.timeout)
	encoded, err := httpconn.Encode(c.request)
	if err != nil {
		if c.reusedConn != nil {
			t.returnUnused(c.endpoint, c.reusedConn)
		}
		return callResult{outcome: logic.ConnRefused}
	}
	conn, err := t.connect(ctx, c, deadline)
	if errors.Is(err, errLocalFailure) || errors.Is(err, errNotPermitted) { // which is no failure of the endpoint
		c.state.CompareAndSwap(callConnecting, callWithheld)
	}
	tooLate := !c.writeDeadline.IsZero() && time.Now().After(c.writeDeadline)
	if tooLate || err == nil && ctx.Err() != nil {
		c.state.CompareAndSwap(callConnecting, callWithheld)
	}
	if !c.state.CompareAndSwap(callConnecting, callWritten) {
		if conn != nil {
			t.returnUnused(c.endpoint, conn)
		}
		return callResult{outcome: logic.NotSent}
	}
	if err != nil {
		t.countEvent("not_connected")
		return callResult{outcome: logic.ConnRefused}
	}
	conn.SetDeadline(deadline)
	stopInterrupt := conn.InterruptOnCancel(ctx)
	err = conn.Send(encoded, c.name())
	stopInterrupt()
	if err != nil {
		conn.Close()
		t.countEvent("not_written")
		return callResult{outcome: logic.ConnRefused} // its last byte was not written, so it cannot have run
	}
	c.state.Store(callSent)
	return t.awaitResponse(ctx, c, conn, deadline)
}

// returnUnused keeps a connection to which no request was written since it was opened or taken.
func (t *transport) returnUnused(endpoint logic.EndpointID, conn *httpconn.Conn) {
	if conn.IdleSince().IsZero() {
		conn.SetIdleSince(time.Now())
	}
	t.idle.Return(endpoint, conn)
}

// connect returns a connection to which the call may be written: the one that it was given if that can still be used,
// or a new one. A call without one that needs no write permission takes an idle connection if there is one.
func (t *transport) connect(ctx context.Context, c *call, deadline time.Time) (*httpconn.Conn, error) {
	if c.reusedConn != nil && t.idle.Recheck(c.reusedConn) {
		t.countEvent("reused")
		return c.reusedConn, nil
	}
	if c.reusedConn != nil {
		t.countEvent("replaced")
	}
	if c.mayWrite == nil {
		if idle := t.idle.Take(c.endpoint, c.addr); idle != nil {
			t.countEvent("reused")
			return idle, nil
		}
	}
	conn, err := t.dial(ctx, c.addr, deadline)
	if err == nil && c.mayWrite != nil && !c.mayWrite(ctx) {
		return conn, errNotPermitted
	}
	return conn, err
}

// dial opens a connection.
func (t *transport) dial(ctx context.Context, addr string, deadline time.Time) (*httpconn.Conn, error) {
	t.countEvent("dialed")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := t.acquireDescriptor(ctx); err != nil {
		return nil, err
	}
	dialed, err := t.dialer.DialContext(ctx, "tcp", addr)
	for neterror.IsLocal(err) && ctx.Err() == nil { // nothing was sent, so this is still the same attempt
		t.countEvent("local_failure")
		sleepContext(ctx, localRetryDelay)
		dialed, err = t.dialer.DialContext(ctx, "tcp", addr)
	}
	if err != nil {
		if t.clients != nil {
			t.clients.releaseCallDescriptor()
		}
		if neterror.IsLocal(err) {
			err = fmt.Errorf("%w: %w", errLocalFailure, err)
		}
		return nil, err
	}
	conn := httpconn.NewConn(dialed, addr)
	if t.clients != nil {
		conn.SetOnClose(t.clients.releaseCallDescriptor)
	}
	return conn, nil
}

// localRetryDelay is the time between two connection attempts that fail on this host.
const localRetryDelay = 100 * time.Millisecond

// sleepContext waits for d, or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// acquireDescriptor reserves a descriptor for a new connection, if need be by closing a less useful connection. A new
// client that may be about to send its first request is evicted only once the call has waited for stallTimeout.
func (t *transport) acquireDescriptor(ctx context.Context) error {
	startedAt, maxRank := time.Now(), evictionRankStalled
	for t.clients != nil && !t.clients.acquireCallDescriptor(maxRank) {
		if time.Since(startedAt) > stallTimeout {
			maxRank = evictionRankNew
		}
		if t.idle.CloseOldest() {
			continue
		}
		select {
		case <-ctx.Done():
			t.countEvent("no_descriptor")
			return errLocalFailure
		case <-time.After(shortRetryDelay):
		}
	}
	return nil
}

// countConn counts the descriptor of a connection that another process has handed over. Those of other connections are
// counted already.
func (t *transport) countConn(conn *httpconn.Conn) {
	if t.clients != nil && conn.SetOnClose(t.clients.releaseCallDescriptor) {
		t.clients.addCallDescriptor()
	}
}

// newDeliveryRequest returns the request that delivers m to an endpoint.
func newDeliveryRequest(m *Message, addr string, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(m.Body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", m.IdempotencyKey)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	return req, nil
}

// newProbeRequest returns the health probe request for an endpoint.
func newProbeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
