package node

// Notices of how messages ended: the queue that posts them to the platform until it confirms them.
//
// A notice is due 0.3 s after its message's deadline. The decision logic ends a message two ticks before the deadline, and
// from there on the time of an end is, at worst, a hold-up of the process (0.15 s), a post that gets no answer
// (noticeFirstRepeat) and the post that arrives: 0.19 s after the deadline with ticks of 5 ms. For that, no notice waits
// for the post of another one, and a notice is posted again on a new connection before the time for an answer is over: the
// kept one may have fallen silent. A notice that arrives twice does no harm.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/internal/neterror"
)

const (
	maxNoticesPerPost  = 256
	maxNewPosts        = 4                      // at the same time, each for less than noticeFirstRepeat
	maxPosts           = 12                     // at the same time, with those that got no answer so far
	noticePostTimeout  = time.Second            // for the answer to a post, which normally comes at once
	noticeFirstRepeat  = 50 * time.Millisecond  // from a post without an answer to the next post of its notices
	noticeFirstRetry   = 10 * time.Millisecond  // from a post that failed to the next
	noticeEqualRepeats = 3                      // posts of a notice after which the delay begins to double if there is no answer ...
	noticeEqualRetries = 20                     // ... and if posts fail, as they do at once while this host has no socket
	noticeMaxRepeat    = 400 * time.Millisecond // longest delay of both kinds
	noticeIdleTimeout  = 30 * time.Second       // of kept connections
	maxKeptNoticeConns = 2                      // a post soon after another one cannot use its connection
	noticeNoDue        = time.Hour              // how long the queue sleeps if no notice is due
)

// noticesConfirmedEvent says that the platform has confirmed the ends of these messages.
type noticesConfirmedEvent struct{ ids []string }

// queuedNotice is a notice that the platform has not confirmed.
type queuedNotice struct {
	Notice
	queuedAt   time.Time
	unanswered int       // posts that have not failed
	failed     int       // posts that have
	postAt     time.Time // when the next one is due
	notSent    bool      // no connection came up for the last post
	avoidKept  bool      // a post got no answer, perhaps since the kept connection has fallen silent
}

// growingDelay returns how long to wait after a number of posts: first, doubled with each post after equalDelays.
func growingDelay(posts int, first time.Duration, equalDelays int) time.Duration {
	delay := first
	for range posts - equalDelays {
		if delay *= 2; delay >= noticeMaxRepeat {
			return noticeMaxRepeat
		}
	}
	return delay
}

// noticeQueue reports to the platform how messages ended. The journal keeps each notice until it is confirmed, so the
// queue holds no more than the journal has room for, and what is still in it when the process ends is sent after the
// next start.
type noticeQueue struct {
	client *http.Client
	log    *slog.Logger
	events chan<- any
	wake   chan struct{} // holds a token when something was added or a post has ended

	mu       sync.Mutex
	url      string
	queue    []*queuedNotice // in the order in which they were added
	inFlight []*noticePost   // in the order in which they were begun
	counts   noticeCounts
}

// noticeCounts counts posts since the last report.
type noticeCounts struct {
	posts    int
	failed   int // posts without a confirmation
	repeated int // notices posted again
}

// newNoticeQueue returns an empty queue. onExtraBytes is called for each connection that is closed for what came behind
// an answer.
func newNoticeQueue(addr string, log *slog.Logger, events chan<- any, onExtraBytes func(*httpconn.ExtraBytesError)) *noticeQueue {
	dialer := &net.Dialer{Timeout: noticePostTimeout}
	transport := httpconn.NewTransport(httpconn.TransportConfig{Dial: dialer.DialContext, MaxIdle: maxKeptNoticeConns,
		IdleTimeout: noticeIdleTimeout, OnExtraBytes: onExtraBytes})
	return &noticeQueue{url: outcomesURL(addr), log: log, events: events, wake: make(chan struct{}, 1),
		client: &http.Client{Transport: transport}}
}

func outcomesURL(addr string) string { return "http://" + addr + "/v1/outcomes" }

// setAddr sets the address for the requests that follow. A request in flight to the old address is not interrupted.
func (n *noticeQueue) setAddr(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.url = outcomesURL(addr)
}

// add queues a notice. It never blocks.
func (n *noticeQueue) add(notice Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, &queuedNotice{Notice: notice, queuedAt: time.Now()})
	n.mu.Unlock()
	n.wakeUp()
}

func (n *noticeQueue) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default: // a token is there already
	}
}

// run posts the notices that are due until ctx is done.
func (n *noticeQueue) run(ctx context.Context) {
	timer := time.NewTimer(noticeNoDue)
	defer timer.Stop()
	for {
		post, wait := n.nextPost(ctx, time.Now())
		if post != nil {
			go n.send(ctx, post)
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-timer.C:
		}
	}
}

// noticePost is a request to the platform.
type noticePost struct {
	client  *http.Client
	url     string
	notices []Notice
	begunAt time.Time
	ctx     context.Context
	cancel  context.CancelFunc
}

// nextPost returns the post of the oldest notices that are due, or how long to wait for one. The notices stay queued
// until they are confirmed. Notices whose post may have reached a connection without an answer go over a new one.
func (n *noticeQueue) nextPost(ctx context.Context, now time.Time) (*noticePost, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := len(n.inFlight) - maxNewPosts; i >= 0 {
		if wait := n.inFlight[i].begunAt.Add(noticeFirstRepeat).Sub(now); wait > 0 {
			return nil, wait
		}
	}
	post := &noticePost{client: n.client, url: n.url, begunAt: now}
	avoidKept := false
	wait := noticeNoDue
	for _, q := range n.queue {
		if left := q.postAt.Sub(now); left > 0 {
			wait = min(wait, left)
			continue
		}
		if q.unanswered+q.failed > 0 {
			n.counts.repeated++
			q.avoidKept = q.avoidKept || !q.notSent
		}
		avoidKept = avoidKept || q.avoidKept
		q.unanswered++ // unless it fails
		q.notSent = false
		q.postAt = now.Add(growingDelay(q.unanswered, noticeFirstRepeat, noticeEqualRepeats))
		if post.notices = append(post.notices, q.Notice); len(post.notices) == maxNoticesPerPost {
			break
		}
	}
	if len(post.notices) == 0 {
		return nil, wait
	}
	if len(n.inFlight) >= maxPosts {
		n.inFlight[0].cancel() // without an answer for longest; its notices have been posted again since
	}
	if avoidKept {
		ctx = httpconn.WithFreshConn(ctx)
	}
	post.ctx, post.cancel = context.WithTimeout(ctx, noticePostTimeout)
	n.inFlight = append(n.inFlight, post)
	n.counts.posts++
	return post, 0
}

// send makes a post and reports the notices that it confirms.
func (n *noticeQueue) send(ctx context.Context, post *noticePost) {
	defer post.cancel()
	err := post.do()
	if err == nil {
		if ids := n.remove(post.notices); len(ids) > 0 {
			select {
			case n.events <- noticesConfirmedEvent{ids}:
			case <-ctx.Done():
			}
		}
	} else if ctx.Err() == nil {
		n.log.Warn("notices", "err", err, "owed", n.pending())
		n.retrySoon(post.notices, err, time.Now())
	}
	n.mu.Lock()
	n.inFlight = slices.DeleteFunc(n.inFlight, func(other *noticePost) bool { return other == post })
	n.mu.Unlock()
	n.wakeUp()
}

// remove removes notices that the platform has confirmed and returns the ids of those that were still queued.
func (n *noticeQueue) remove(confirmed []Notice) (ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	confirmedIDs := noticeIDs(confirmed)
	n.queue = slices.DeleteFunc(n.queue, func(q *queuedNotice) bool {
		if !confirmedIDs[q.ID] {
			return false
		}
		n.log.Debug("notice confirmed", "id", q.ID, "state", q.State, "took", time.Since(q.queuedAt).String(), "posts_failed", q.failed,
			"posts_unanswered", q.unanswered-1)
		ids = append(ids, q.ID)
		return true
	})
	if len(n.queue) == 0 {
		n.queue = nil // releases the array
	}
	return ids
}

// retrySoon makes notices whose post has failed due soon.
func (n *noticeQueue) retrySoon(failed []Notice, err error, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts.failed++
	failedIDs := noticeIDs(failed)
	for _, q := range n.queue {
		if !failedIDs[q.ID] {
			continue
		}
		if !errors.Is(err, context.DeadlineExceeded) { // otherwise it got no answer for all of its time
			q.unanswered--
			q.failed++
		}
		if retryAt := now.Add(growingDelay(q.failed, noticeFirstRetry, noticeEqualRetries)); retryAt.Before(q.postAt) {
			q.postAt, q.notSent = retryAt, neterror.IsDial(err)
		}
	}
}

func noticeIDs(notices []Notice) map[string]bool {
	ids := make(map[string]bool, len(notices))
	for _, notice := range notices {
		ids[notice.ID] = true
	}
	return ids
}

func (n *noticeQueue) pending() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue)
}

// takeCounts returns the counts as log attributes and resets them.
func (n *noticeQueue) takeCounts() []any {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.counts
	n.counts = noticeCounts{}
	if counts.posts == 0 {
		return nil
	}
	return []any{"notice_posts", counts.posts, "notice_posts_failed", counts.failed, "notices_repeated", counts.repeated}
}

// do makes the post and returns nil if the platform has confirmed it.
func (p *noticePost) do() error {
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object per line
	for _, notice := range p.notices {
		if err := enc.Encode(notice); err != nil {
			return fmt.Errorf("notice for %s: %w", notice.ID, err)
		}
	}
	req, err := http.NewRequestWithContext(p.ctx, http.MethodPost, p.url, &body)
	if err != nil {
		return fmt.Errorf("request to %s: %w", p.url, err)
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// The body is read so that the connection can be kept; its content does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBodyBytes))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answered %s", resp.Status)
	}
	return nil
}
