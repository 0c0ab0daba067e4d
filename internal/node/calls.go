package node

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
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crossdeal/logic"
)

const (
	maxAnswer  = 64 << 10               // head and body of an answer
	headTime   = time.Second            // for the rest of an answer's head, once it has begun
	bodyTime   = 20 * time.Millisecond  // for its body; a connection that is slower is not used again
	lingerTime = 50 * time.Millisecond  // for the endpoint to see that a call is given up
	idleMargin = 500 * time.Millisecond // a connection is not used this close to the end of its idle time
	probeTime  = 1500 * time.Millisecond
)

// call is one attempt, or a probe if it has no message.
type call struct {
	id      string
	attempt int
	ep      logic.EndpointID
	addr    string
	dest    int64
	giveUp  time.Duration
	at      time.Time // of its start
	writeBy time.Time // not to be written after this; zero for no such time
	request *http.Request
	state   *atomic.Int32
	kept    *idleConn                      // a connection to use; nil to make one
	allow   func(ctx context.Context) bool // asked once a new connection is up; nil if nobody wants to know
}

// The states of a call. It goes from the first to one of the others, once.
const (
	callConnecting int32 = iota
	callWritten          // from here on it may have run
	callHeld             // it is not to be written
	callSent             // after callWritten: all of it is
	callParked           // after callSent: it is being set aside
)

// errParked is the cause by which a call under way is set aside for another process, its connection as it is.
var errParked = errors.New("set aside")

// unanswered names, in the tally, the ends of a call that no answer came to.
var unanswered = map[logic.Outcome]string{logic.ConnBroken: "broken", logic.TimedOut: "timed_out", logic.Cancelled: "called_off"}

// errNoDescriptor ends a call for which no descriptor came free, or that this machine could not make: it says nothing of
// the endpoint.
var errNoDescriptor = errors.New("no connection can be made from here")

// result is how a call ended.
type result struct {
	outcome logic.Outcome
	wait    time.Duration // told by a refusal
	over    bool          // the endpoint says that the message is over
	report  string        // of its load, as it stands in the answer
	parked  *idleConn     // set aside, with no outcome yet: what becomes of it is for who goes on with it
}

// idleConn is a connection with no call on it.
type idleConn struct {
	net.Conn
	r     *bufio.Reader
	limit *io.LimitedReader
	addr  string
	since time.Time
	fds   atomic.Pointer[clients] // whose table counts it, until it is closed
}

// Close gives its descriptor back, once.
func (conn *idleConn) Close() error {
	err := conn.Conn.Close()
	if fds := conn.fds.Swap(nil); fds != nil {
		fds.endCall()
	}
	return err
}

// caller makes calls over connections that it keeps. It never sends anything
// twice, and it knows whether the last byte was written: that tells what never
// ran from what may have run. net/http's transport does neither.
type caller struct {
	dialer      net.Dialer
	linger      time.Duration
	idleTime    time.Duration
	perEndpoint int
	most        int      // idle connections in all
	fds         *clients // share the descriptors with our connections; nil if there are enough
	mu          sync.Mutex
	idle        map[logic.EndpointID][]*idleConn
	count       int
	tally       map[string]int // how calls went since the last report; a few fixed names
}

func newCaller(connectTime, idleTime time.Duration, perEndpoint, most int) *caller {
	return &caller{dialer: net.Dialer{Timeout: connectTime}, linger: lingerTime, idleTime: idleTime, perEndpoint: max(perEndpoint, 1), most: max(most, 1),
		idle: map[logic.EndpointID][]*idleConn{}, tally: map[string]int{}}
}

// note counts what became of a call, for the people on call.
func (c *caller) note(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally[what]++
}

// report returns the tally since the last report, as names and counts in order of name.
func (c *caller) report() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]any, 0, 2*len(c.tally))
	for _, name := range slices.Sorted(maps.Keys(c.tally)) {
		out = append(out, name, c.tally[name])
	}
	clear(c.tally)
	return out
}

// do makes a call. When ctx is cancelled the call is called off.
func (c *caller) do(ctx context.Context, in *call) result {
	deadline := in.at.Add(in.giveUp)
	conn, err := c.connect(ctx, in, deadline)
	if errors.Is(err, errNoDescriptor) { // which speaks against no endpoint
		in.state.CompareAndSwap(callConnecting, callHeld)
	}
	if err == nil && conn != in.kept && in.allow != nil && !in.allow(ctx) {
		in.state.CompareAndSwap(callConnecting, callHeld)
	}
	late := !in.writeBy.IsZero() && time.Now().After(in.writeBy)
	if late || err == nil && ctx.Err() != nil {
		in.state.CompareAndSwap(callConnecting, callHeld)
	}
	if !in.state.CompareAndSwap(callConnecting, callWritten) {
		if err == nil && !c.put(in.ep, conn) {
			conn.Close()
		}
		return result{outcome: logic.NotSent}
	}
	if err != nil {
		c.note("not_connected")
		return result{outcome: logic.ConnRefused}
	}
	conn.SetDeadline(deadline)
	quiet := wakeOn(ctx, conn)
	var b bytes.Buffer
	if err := in.request.Write(&b); err != nil {
		quiet()
		conn.Close()
		return result{outcome: logic.ConnRefused}
	}
	_, err = conn.Write(b.Bytes())
	quiet()
	if err != nil {
		conn.Close()
		c.note("not_written")
		return result{outcome: logic.ConnRefused} // its last byte was not written
	}
	in.state.Store(callSent)
	return c.await(ctx, in, conn, deadline)
}

// wakeOn ends what is read or written on conn once ctx is cancelled, until the returned function has been called.
func wakeOn(ctx context.Context, conn net.Conn) (quiet func()) {
	woken := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		close(woken)
	})
	return func() {
		if !stop() {
			<-woken
		}
	}
}

// await waits for the answer to a call that has been written.
func (c *caller) await(ctx context.Context, in *call, conn *idleConn, deadline time.Time) (r result) {
	c.own(conn)
	keep := false
	defer func() {
		if r.parked == nil && (!keep || !c.put(in.ep, conn)) {
			conn.Close()
		}
	}()
	conn.SetDeadline(deadline)
	quiet := wakeOn(ctx, conn)
	conn.limit.N = maxAnswer
	_, err := conn.r.Peek(1)
	quiet()
	if isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline) {
		return result{parked: conn}
	}
	given := logic.ConnBroken
	if isTimeout(err) {
		// Given up. The endpoint is told by the end of our sending, and given a moment to see it: a next call
		// must not meet this one. An answer that is on its way counts.
		given = logic.TimedOut
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errParked) {
			given = logic.Cancelled
		}
		if t, ok := conn.Conn.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		conn.SetDeadline(time.Now().Add(c.linger))
		_, err = conn.r.Peek(1)
	}
	if err != nil {
		c.note(unanswered[given])
		return result{outcome: given}
	}
	conn.SetDeadline(time.Now().Add(headTime))
	if given == logic.ConnBroken {
		if c.headParked(ctx, conn) {
			return result{parked: conn}
		}
		if ctx.Err() != nil { // called off with half a head: the rest has a moment, as any answer on its way
			given = logic.Cancelled
			conn.SetDeadline(time.Now().Add(c.linger))
		}
	}
	delivered := saysDelivered(conn.r)
	resp, err := http.ReadResponse(conn.r, in.request)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		delivered = saysDelivered(conn.r)
		resp, err = http.ReadResponse(conn.r, in.request) // an interim answer; the outcome is yet to come
	}
	if err != nil && delivered {
		c.note("unreadable_200")
		return result{outcome: logic.Completed} // the first line is true, whatever broke off after it
	}
	if err != nil {
		c.note("unreadable")
		return result{outcome: given}
	}
	c.note(statusName(resp.StatusCode))
	if given == logic.ConnBroken {
		keep = c.finish(conn, resp)
	}
	r = outcomeOf(resp)
	r.report = resp.Header.Get("Endpoint-Load-Metrics")
	return r
}

// headParked waits until the head of an answer is there, or has broken off, without taking any of it; true if the call
// is set aside meanwhile. An answer that has begun may take its time, and a handover must not wait for that.
func (c *caller) headParked(ctx context.Context, conn *idleConn) bool {
	by := time.Now().Add(headTime)
	quiet := wakeOn(ctx, conn)
	var err error
	for err == nil {
		b, _ := conn.r.Peek(conn.r.Buffered())
		if bytes.Contains(b, []byte("\r\n\r\n")) || len(b) == conn.r.Size() {
			break
		}
		_, err = conn.r.Peek(len(b) + 1)
	}
	quiet()
	conn.SetDeadline(by)
	return isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(by)
}

// saysDelivered looks at the first line of an answer that is about to be read, and says whether its status is 200.
func saysDelivered(r *bufio.Reader) bool {
	const line = "HTTP/1.1 200"
	b, err := r.Peek(len(line) + 1)
	if len(b) < len(line) || string(b[:7]) != line[:7] || string(b[8:len(line)]) != line[8:] {
		return false
	}
	return err != nil || b[len(line)] == ' ' || b[len(line)] == '\r' || b[len(line)] == '\n'
}

// connect takes the connection that the call was given, or makes one. Where nobody has to be asked for leave it looks
// for a kept one first.
func (c *caller) connect(ctx context.Context, in *call, deadline time.Time) (*idleConn, error) {
	kept := in.kept
	if kept == nil && in.allow == nil {
		kept = c.take(in.ep, in.addr)
	}
	if kept != nil {
		c.note("reused")
		return kept, nil
	}
	c.note("dialed")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := c.waitDescriptor(ctx); err != nil {
		return nil, err
	}
	dialed, err := c.dialer.DialContext(ctx, "tcp", in.addr)
	for isLocal(err) && ctx.Err() == nil { // nothing was sent, so it is the same attempt still
		c.note("local_failure")
		pauseFor(ctx, localPause)
		dialed, err = c.dialer.DialContext(ctx, "tcp", in.addr)
	}
	if err != nil {
		if c.fds != nil {
			c.fds.endCall()
		}
		if isLocal(err) {
			err = fmt.Errorf("%w: %w", errNoDescriptor, err)
		}
		return nil, err
	}
	conn := newIdleConn(dialed, in.addr)
	conn.fds.Store(c.fds)
	return conn, nil
}

// localPause is the time between two tries to connect that fail on this machine.
const localPause = 100 * time.Millisecond

// localErrors are failures to connect that are this machine's own: they speak against no endpoint, and pass.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN}

func isLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// pauseFor waits for a while, or until ctx is over.
func pauseFor(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// waitDescriptor takes a descriptor for a new connection, if need be in place of one that is of less use. A client that
// may be about to send its first request is of less use only once the call has waited.
func (c *caller) waitDescriptor(ctx context.Context) error {
	began, dearest := time.Now(), rankStalled
	for c.fds != nil && !c.fds.beginCall(dearest) {
		if time.Since(began) > stallTime {
			dearest = rankNew
		}
		if c.dropOldest() {
			continue
		}
		select {
		case <-ctx.Done():
			c.note("no_descriptor")
			return errNoDescriptor
		case <-time.After(acceptPause):
		}
	}
	return nil
}

// dropOldest closes the connection that has stood idle longest; false if there is none.
func (c *caller) dropOldest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var of logic.EndpointID
	var oldest *idleConn
	for ep, list := range c.idle {
		if len(list) > 0 && (oldest == nil || list[0].since.Before(oldest.since)) {
			of, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.idle[of] = c.idle[of][1:]
	c.count--
	oldest.Close()
	return true
}

// own counts a connection that another process has handed over.
func (c *caller) own(conn *idleConn) {
	if c.fds != nil && conn.fds.CompareAndSwap(nil, c.fds) {
		c.fds.addCall()
	}
}

func newIdleConn(conn net.Conn, addr string) *idleConn { return begunConn(conn, addr, nil) }

// begunConn is a connection on which a part of an answer has come already.
func begunConn(conn net.Conn, addr string, got []byte) *idleConn {
	limit := &io.LimitedReader{R: io.MultiReader(bytes.NewReader(got), conn)}
	return &idleConn{Conn: conn, r: bufio.NewReader(limit), limit: limit, addr: addr}
}

// finish reads the rest of an answer and says whether the connection can be used again.
func (c *caller) finish(conn *idleConn, resp *http.Response) bool {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	conn.SetDeadline(time.Now().Add(bodyTime))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && conn.r.Buffered() == 0
}

// outcomeOf reads an answer.
func outcomeOf(resp *http.Response) result {
	switch resp.StatusCode {
	case http.StatusOK:
		return result{outcome: logic.Completed}
	case http.StatusTooManyRequests:
		ms, err := strconv.ParseInt(resp.Header.Get("X-Come-Back-Ms"), 10, 64)
		if err != nil || ms < 0 {
			ms = 0
		}
		return result{outcome: logic.Rejected, wait: time.Duration(min(ms, maxHold.Milliseconds())) * time.Millisecond}
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Line-Busy") == "1" {
			return result{outcome: logic.NotSent}
		}
		return result{outcome: logic.Rejected}
	case http.StatusGatewayTimeout:
		return result{outcome: logic.NotSent}
	case http.StatusGone:
		return result{outcome: logic.NotSent, over: true}
	}
	return result{outcome: logic.Errored}
}

// statusName names an answer in the tally; what the protocol does not know shares a name, so that the tally stays
// small.
func statusName(code int) string {
	switch code {
	case 200, 410, 429, 500, 503, 504:
		return "answer_" + strconv.Itoa(code)
	}
	return "answer_other"
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// take returns the kept connection to ep that was used last, if it is still good.
func (c *caller) take(ep logic.EndpointID, addr string) *idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[ep]; len(list) > 0; list = c.idle[ep] {
		conn := list[len(list)-1]
		c.idle[ep] = list[:len(list)-1]
		c.count--
		if conn.addr == addr && c.good(conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// good says whether a kept connection may carry a call: neither about to be closed
// for its age nor closed already, nor with an answer on it that nobody asked for.
func (c *caller) good(conn *idleConn) bool {
	if time.Since(conn.since) > c.idleTime-min(idleMargin, c.idleTime/4) {
		return false
	}
	alive, data := peek(conn.Conn)
	return alive && !data
}

// put keeps a connection for the next call; false if there is no room.
func (c *caller) put(ep logic.EndpointID, conn *idleConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[ep]) >= c.perEndpoint || c.count >= c.most {
		return false
	}
	c.own(conn)
	conn.since = time.Now()
	conn.SetDeadline(time.Time{})
	c.idle[ep] = append(c.idle[ep], conn)
	c.count++
	return true
}

// takeIdle takes all idle connections out.
func (c *caller) takeIdle() map[logic.EndpointID][]*idleConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle
	c.idle, c.count = map[logic.EndpointID][]*idleConn{}, 0
	return all
}

// kept is the number of idle connections.
func (c *caller) kept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// release closes the kept connections to ep.
func (c *caller) release(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		conn.Close()
		c.count--
	}
	delete(c.idle, ep)
}

// sweep closes kept connections that are no good any more.
func (c *caller) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if c.good(conn) {
				kept = append(kept, conn)
			} else {
				conn.Close()
				c.count--
			}
		}
		if c.idle[ep] = kept; len(kept) == 0 {
			delete(c.idle, ep)
		}
	}
}

// deliverRequest is the request that hands m to an endpoint.
func deliverRequest(m *Message, addr string, giveUp time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(m.Body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(giveUp.Milliseconds(), 1), 10))
	return req, nil
}

// probeRequest asks an endpoint whether it is well.
func probeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
