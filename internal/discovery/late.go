// This file holds the calls that are overdue. Their answers are late, and they are heard all the same: discovery that
// answers late is not silent. Meanwhile calls go on, since an answer to an earlier one may never come.

package discovery

import (
	"context"
	"slices"
	"time"
)

const (
	// lateAnswerTimeout is how long a call is waited for, in addition to its hold time. What a later answer holds has
	// counted as known before.
	lateAnswerTimeout = knownDelay
	// maxLateCalls is the number of calls that may be overdue at the same time, each with a connection of its own.
	maxLateCalls = 4
	// Of a silent discovery, calls are kept at this interval: whenever it is back and answers late, a call that is kept
	// then begins soon.
	lateCallInterval = lateAnswerTimeout / maxLateCalls
)

// keepOverdue keeps a call that is overdue until its late answer comes, or gives it up if enough calls are kept.
func (c *Client) keepOverdue(l *call) {
	c.httpClient.CloseIdleConnections() // what silenced one connection may have silenced the others
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.lateCalls)
	tooSoon := n > 0 && l.startedAt.Sub(c.lateCalls[n-1].startedAt) < lateCallInterval
	if c.addressChanged || tooSoon || n >= maxLateCalls {
		l.cancel()
		return
	}
	c.lateCalls = append(c.lateCalls, l)
}

// dropLateCalls gives up the calls that are overdue and began before a time: what they may bring is known.
func (c *Client) dropLateCalls(startedBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateCalls = slices.DeleteFunc(c.lateCalls, func(l *call) bool {
		if !l.startedAt.Before(startedBefore) {
			return false
		}
		l.cancel()
		return true
	})
}

// takeLateAnswers returns the overdue calls that have ended, in the order in which they began.
func (c *Client) takeLateAnswers() (ended []*call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateCalls = slices.DeleteFunc(c.lateCalls, func(l *call) bool {
		if l.hasEnded() {
			ended = append(ended, l)
			return true
		}
		return false
	})
	return ended
}

// hasLateCalls reports whether overdue calls may still be answered.
func (c *Client) hasLateCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lateCalls) > 0
}

// handleLateAnswers reports the late answers that have come.
func (c *Client) handleLateAnswers(ctx context.Context) {
	for _, l := range c.takeLateAnswers() {
		if c.AddressChanged() { // the new address has the same changes
			return
		}
		err := c.checkAnswer(ctx, l)
		c.noteEnd(l, err)
		if err == nil || isAnswer(err) {
			c.log.Log(ctx, c.failureLogLevel(), "discovery answers late", "took", time.Since(l.startedAt).String(), "err", err)
		}
		switch {
		case err == nil:
			c.meanBackoff = 0
			c.accept(ctx, l)
		case isAnswer(err):
			c.emit(ctx, Event{UnusableAnswer: true, Late: true, CurrentAsOf: l.startedAt})
		}
	}
}

// awaitLateAnswers reports the late answers that come until the next Watch begins.
func (c *Client) awaitLateAnswers(ctx context.Context) {
	for c.hasLateCalls() {
		select {
		case <-ctx.Done():
			return
		case <-c.successorWaits:
			return
		case <-c.callEnded:
			c.handleLateAnswers(ctx)
		}
	}
}

// becomeWatcher waits until an earlier Watch has ended, which may still be waiting for late answers. release ends the
// caller's own turn. ok is false if ctx ended first.
func (c *Client) becomeWatcher(ctx context.Context) (release func(), ok bool) {
	select {
	case c.successorWaits <- struct{}{}:
	default:
	}
	select {
	case c.watcherTurn <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case <-c.successorWaits:
	default:
	}
	return func() { <-c.watcherTurn }, true
}
