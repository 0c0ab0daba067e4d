package node

// Responses of endpoints: waiting for one, reading it, and the result that it gives a call.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

const (
	maxResponseBytes = 64 << 10              // head and body of a response together
	headerTimeout    = time.Second           // for the rest of a response's head, once its first byte is there
	bodyTimeout      = 20 * time.Millisecond // for reading its body; a connection that is slower is not kept
)

// unansweredCountNames maps the outcomes of a call without a response to the names of their counters.
var unansweredCountNames = map[logic.Outcome]string{logic.ConnBroken: "broken", logic.TimedOut: "timed_out", logic.Cancelled: "called_off"}

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
