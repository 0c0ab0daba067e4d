package node

// The HTTP transport to endpoints: calls, probes, and the pool of idle connections.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
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
	maxResponseBytes = 64 << 10              // head and body of a response together
	headerTimeout    = time.Second           // for the rest of a response's head, once its first byte is there
	bodyTimeout      = 20 * time.Millisecond // for reading its body; a connection that is slower is not reused
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

// unansweredCountNames maps the outcomes of a call without a response to the names of their counters.
var unansweredCountNames = map[logic.Outcome]string{logic.ConnBroken: "broken", logic.TimedOut: "timed_out", logic.Cancelled: "called_off"}

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

// awaitResponse waits for the response to a call that has been written.
func (t *transport) awaitResponse(ctx context.Context, c *call, conn *httpconn.Conn, deadline time.Time) (r callResult) {
	t.countConn(conn)
	reusable := false
	defer func() {
		switch {
		case r.parkedConn != nil:
		case reusable:
			t.idle.Put(c.endpoint, conn)
		default:
			conn.Close()
		}
	}()
	conn.SetDeadline(deadline)
	stopInterrupt := conn.InterruptOnCancel(ctx)
	conn.LimitBytes(maxResponseBytes)
	_, err := conn.Reader.Peek(1)
	stopInterrupt()
	if isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline) {
		return callResult{parkedConn: conn}
	}
	failure := logic.ConnBroken // the outcome if no response follows; stays ConnBroken unless the call is abandoned
	if isTimeout(err) {
		// The call is abandoned. Closing the write side tells the endpoint, and the linger time lets it notice: the
		// next attempt must not overlap with this one. A response that is already on its way still counts.
		failure = logic.TimedOut
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errParked) {
			failure = logic.Cancelled
		}
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		conn.SetDeadline(time.Now().Add(t.linger))
		_, err = conn.Reader.Peek(1)
	}
	if err != nil {
		t.countEvent(unansweredCountNames[failure])
		return callResult{outcome: failure}
	}
	conn.SetDeadline(time.Now().Add(headerTimeout))
	if failure == logic.ConnBroken {
		if t.awaitHeader(ctx, conn) {
			return callResult{parkedConn: conn}
		}
		if ctx.Err() != nil { // cancelled with a partial head: the rest has the linger time to arrive
			failure = logic.Cancelled
			conn.SetDeadline(time.Now().Add(t.linger))
		}
	}
	delivered := peekStatusOK(conn.Reader)
	resp, err := http.ReadResponse(conn.Reader, c.request)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		delivered = peekStatusOK(conn.Reader)
		resp, err = http.ReadResponse(conn.Reader, c.request) // an interim (1xx) response; the final one follows
	}
	if err != nil && delivered {
		t.countEvent("unreadable_200")
		return callResult{outcome: logic.Completed} // the status line counts, even if the rest is truncated
	}
	if err != nil {
		t.countEvent("unreadable")
		return callResult{outcome: failure}
	}
	t.countEvent(statusCountName(resp.StatusCode))
	if failure == logic.ConnBroken {
		reusable = t.drainBody(conn, resp)
	}
	r = resultOf(resp)
	r.loadReport = resp.Header.Get("Endpoint-Load-Metrics")
	return r
}

// awaitHeader waits until the head of a response is buffered, or the connection fails, without consuming any of it. It
// returns true if the call is parked meanwhile. A response that has begun may take up to headerTimeout, and a handover
// must not wait for that.
func (t *transport) awaitHeader(ctx context.Context, conn *httpconn.Conn) bool {
	deadline := time.Now().Add(headerTimeout)
	stopInterrupt := conn.InterruptOnCancel(ctx)
	var err error
	for err == nil {
		b, _ := conn.Reader.Peek(conn.Reader.Buffered())
		if bytes.Contains(b, []byte("\r\n\r\n")) || len(b) == conn.Reader.Size() {
			break
		}
		_, err = conn.Reader.Peek(len(b) + 1)
	}
	stopInterrupt()
	conn.SetDeadline(deadline)
	return isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline)
}

// peekStatusOK reports whether the status line of the response that is about to be read has status 200.
func peekStatusOK(r *bufio.Reader) bool {
	const line = "HTTP/1.1 200"
	b, err := r.Peek(len(line) + 1)
	if len(b) < len(line) || string(b[:7]) != line[:7] || string(b[8:len(line)]) != line[8:] {
		return false
	}
	return err != nil || b[len(line)] == ' ' || b[len(line)] == '\r' || b[len(line)] == '\n'
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

// drainBody reads the rest of a response and reports whether the connection can be kept.
func (t *transport) drainBody(conn *httpconn.Conn, resp *http.Response) bool {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	conn.SetDeadline(time.Now().Add(bodyTimeout))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
}

// resultOf maps a response to the result of the call.
func resultOf(resp *http.Response) callResult {
	switch resp.StatusCode {
	case http.StatusOK:
		return callResult{outcome: logic.Completed}
	case http.StatusTooManyRequests:
		ms, err := strconv.ParseInt(resp.Header.Get("X-Come-Back-Ms"), 10, 64)
		if err != nil || ms < 0 {
			ms = 0
		}
		return callResult{outcome: logic.Rejected, retryAfter: time.Duration(min(ms, maxPeerDuration.Milliseconds())) * time.Millisecond}
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Line-Busy") == "1" {
			return callResult{outcome: logic.NotSent}
		}
		return callResult{outcome: logic.Rejected}
	case http.StatusGatewayTimeout:
		return callResult{outcome: logic.NotSent}
	case http.StatusGone:
		return callResult{outcome: logic.NotSent, messageEnded: true}
	}
	return callResult{outcome: logic.Errored}
}

// statusCountName returns the name of the counter for a status. Statuses that the protocol does not define share one
// name, so that the number of counters stays small.
func statusCountName(code int) string {
	switch code {
	case 200, 410, 429, 500, 503, 504:
		return "answer_" + strconv.Itoa(code)
	}
	return "answer_other"
}

// isTimeout reports whether a connection's own deadline has passed. ETIMEDOUT is an error of the network.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

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
