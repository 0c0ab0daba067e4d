// This file holds a single call for the list: its time limits, and how its answer is read.

package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crossdeal/internal/neterror"
)

// call is a call for the list. If its answer does not begin, or goes on, in time, the call is overdue. It is not over
// then: a late answer is still read, until lateAnswerTimeout.
type call struct {
	base      string        // URL of discovery
	url       string        // of the call
	limit     time.Duration // until the answer begins
	holdTime  time.Duration // how long discovery may hold the answer back; 0 if it need not wait for a change
	startedAt time.Time
	cancel    context.CancelFunc

	begun     chan struct{} // closed at the first byte of the body
	overdue   chan struct{} // closed when the call is overdue
	ended     chan struct{} // closed once list and err are set
	setLate   sync.Once
	bytesRead atomic.Int64 // of the body
	late      bool         // the running Watch has reported the call as one without an answer in time

	// The result, to be read once ended is closed.
	list        *answer
	firstByteAt time.Time // when the body began to arrive
	revision    int       // the revision of the directory that list was compared with
	body        []byte    // of the answer, up to maxKeptBodyBytes; nil if it is longer
	err         error
}

// isWatch reports whether the answer may wait for a change.
func (l *call) isWatch() bool { return l.holdTime > 0 }

func (l *call) markOverdue() { l.setLate.Do(func() { close(l.overdue) }) }

func (l *call) isOverdue() bool { return isClosed(l.overdue) }

func (l *call) hasEnded() bool { return isClosed(l.ended) }

// isClosed reports whether a channel that nothing is sent on is closed.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// overdueError returns the error of a call that is overdue: there is no answer, or only a part of it.
func (l *call) overdueError() error {
	if n := l.bytesRead.Load(); n > 0 {
		return timedOutAfter(n, errUnresponsive)
	}
	return errUnresponsive
}

func timedOutAfter(bytes int64, cause error) error {
	return fmt.Errorf("%w: timed out after %d bytes: %w", errUnreadable, bytes, cause)
}

// isUnresponsive reports whether a call failed because there was no answer: the connection was not established, or no
// data came over it.
func isUnresponsive(err error) bool {
	return errors.Is(err, errUnresponsive) && !errors.Is(err, errUnreadable) || neterror.IsDial(err) && !isNotSent(err)
}

// isNotSent reports whether this host could not open a connection for a call. Errors of the network count too: a call
// that gets no answer is given up long before the system's own time for a connection is over, and an agent is on this
// host.
func isNotSent(err error) bool {
	return neterror.IsDial(err) &&
		(neterror.IsLocal(err) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH))
}

// isAnswer reports whether an error shows that discovery answered.
func isAnswer(err error) bool {
	return isRejection(err) || errors.Is(err, errUnreadable) || errors.Is(err, errOlderGeneration) ||
		errors.Is(err, errListTooLarge)
}

// isRejection reports whether discovery answered that it cannot serve a call.
func isRejection(err error) bool {
	var status statusError
	return errors.As(err, &status)
}

// statusError is an answer with another status than 200.
type statusError struct {
	code   int
	status string // with its reason phrase
}

func (e statusError) Error() string { return "discovery answered " + e.status }

// isOverload reports whether discovery was too busy for a call.
func isOverload(err error) bool {
	var status statusError
	return errors.As(err, &status) && status.code == http.StatusServiceUnavailable
}

// run makes a call and announces its end.
func (c *Client) run(ctx context.Context, l *call) {
	l.list, l.err = c.fetchList(ctx, l)
	l.cancel()
	close(l.ended)
	select {
	case c.callEnded <- struct{}{}:
	default: // a signal that is still pending covers this call too
	}
}

// fetchList makes a call and reads its answer. The answer has to begin within the call's limit; from then on data has to
// keep coming. Otherwise the call is overdue, and ends lateAnswerTimeout after it began or data last came in time.
func (c *Client) fetchList(ctx context.Context, l *call) (*answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	overdueTimer := time.AfterFunc(l.limit, l.markOverdue)
	defer overdueTimer.Stop()
	expiryTimer := time.AfterFunc(l.holdTime+lateAnswerTimeout, func() { cancel(errUnresponsive) })
	defer expiryTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		overdueTimer.Stop()
		discardTrailing(resp.Body, expiryTimer)
		return nil, statusError{resp.StatusCode, resp.Status}
	}
	if resp.ContentLength > c.maxAnswerBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errListTooLarge, resp.ContentLength, c.maxAnswerBytes)
	}
	if l.revision, err = c.awaitRevision(ctx, l, overdueTimer); err != nil {
		return nil, err
	}
	body := &progressReader{input: resp.Body, call: l, overdueTimer: overdueTimer, expiryTimer: expiryTimer,
		maxBytes: c.maxAnswerBytes, stallTimeout: c.timing.stallTimeout, maxTimedBytes: c.maxAnswerBytes}
	if known := c.directory.Len(); c.timing.limitTransferTime && known > 0 {
		body.maxTimedBytes = max(minTimedBytes, 2*int64(known)*typicalRowBytes)
	}
	list, err := c.directory.readAnswer(bufio.NewReaderSize(body, readBufferBytes), int(c.maxAnswerBytes/minRowBytes))
	switch cause := context.Cause(ctx); {
	case errors.Is(err, errListTooLarge):
		return nil, err
	case err != nil && cause != nil:
		return nil, timedOutAfter(l.bytesRead.Load(), cause)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	overdueTimer.Stop()
	discardTrailing(resp.Body, expiryTimer)
	return list, nil
}

// awaitRevision waits until the last update has been applied, and returns the revision of the directory. The time that
// this takes is not caused by discovery and does not count against the call's limit.
func (c *Client) awaitRevision(ctx context.Context, l *call, overdueTimer *time.Timer) (revision int, err error) {
	timeLeft := time.Until(l.startedAt.Add(l.limit))
	overdueTimer.Stop()
	if revision, err = c.awaitApplied(ctx); err != nil {
		return 0, err
	}
	overdueTimer.Reset(timeLeft)
	return revision, nil
}

// discardTrailing reads the few bytes that may follow an answer, so that its connection can be reused.
func discardTrailing(body io.Reader, expiryTimer *time.Timer) {
	expiryTimer.Reset(trailingTimeout)
	io.Copy(io.Discard, io.LimitReader(body, maxTrailingBytes))
}

// progressReader reads the body of an answer, up to a number of bytes. It moves the time limits of the call on as data
// arrives: the call is overdue after stallTimeout without data or, as a whole, after stallTimeout and the time that the
// bytes so far take at minBytesPerSecond. Once it is overdue, its end stays as it is.
type progressReader struct {
	input         io.Reader
	call          *call
	overdueTimer  *time.Timer
	expiryTimer   *time.Timer // ends the call
	maxBytes      int64
	stallTimeout  time.Duration // between bytes
	maxTimedBytes int64         // bytes that extend the time limit
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.input.Read(b)
	bytesRead := p.call.bytesRead.Add(int64(n))
	if n > 0 && bytesRead == int64(n) {
		p.call.firstByteAt = time.Now()
		close(p.call.begun)
	}
	if bytesRead > p.maxBytes {
		return 0, fmt.Errorf("%w: over %d bytes, the limit is %d", errListTooLarge, bytesRead, p.maxBytes)
	}
	p.keepBody(b[:n], bytesRead)
	if n > 0 && !p.call.isOverdue() {
		timeLimit := p.stallTimeout + time.Duration(min(bytesRead, p.maxTimedBytes))*time.Second/minBytesPerSecond
		p.overdueTimer.Reset(min(p.stallTimeout, timeLimit-time.Since(p.call.firstByteAt)))
		p.expiryTimer.Reset(lateAnswerTimeout)
	}
	return n, err
}

// keepBody keeps the next part of the body if it is short, see Client.compareAgain.
func (p *progressReader) keepBody(part []byte, bytesRead int64) {
	if bytesRead > maxKeptBodyBytes {
		p.call.body = nil
		return
	}
	p.call.body = append(p.call.body, part...)
}

// compareAgain compares the answer of a call with the directory as it is now, if that has changed since the answer was
// read, as a late answer to another call may have changed it. That needs the body of the answer: a long one is lost.
func (c *Client) compareAgain(ctx context.Context, l *call) error {
	revision, err := c.awaitApplied(ctx)
	switch {
	case err != nil || revision == l.revision:
		return err
	case l.body == nil:
		return errDirectoryChanged
	}
	l.list, err = c.directory.readAnswer(bytes.NewReader(l.body), 0)
	l.revision = revision
	return err
}
