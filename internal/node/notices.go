package node

// Notices of how messages ended: the queue that sends them to the platform until it confirms them.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxNoticesPerRequest = 256                    // upper bound per request
	noticeMinTimeout     = 150 * time.Millisecond // at first: normal responses are immediate, so dead connections show early
	noticeMaxTimeout     = time.Second            // at most, after doubling with each failure: for a slow platform
	noticeMinRetryDelay  = 50 * time.Millisecond  // delay after the first failed request
	noticeMaxRetryDelay  = 400 * time.Millisecond // longest delay: a notice is due soon after the message's deadline
)

// noticesConfirmedEvent says that the platform has confirmed the ends of these messages.
type noticesConfirmedEvent struct{ ids []string }

// noticeQueue reports to the platform how messages ended. The journal keeps each notice until it is confirmed, so the
// queue holds no more than the journal has room for, and what is still in it when the process ends is sent after the
// next start. Sending a notice twice is harmless.
type noticeQueue struct {
	client *http.Client
	log    *slog.Logger
	events chan<- any
	wake   chan struct{} // holds a token when something was added
	mu     sync.Mutex
	url    string
	queue  []Notice
}

func newNoticeQueue(addr string, log *slog.Logger, events chan<- any) *noticeQueue {
	return &noticeQueue{url: outcomesURL(addr), log: log, events: events, wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: noticeMaxTimeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: noticeMaxTimeout}).DialContext, MaxConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}}
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
	n.queue = append(n.queue, notice)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default: // a token is there already
	}
}

// run sends the queued notices, oldest first, until ctx is done. Only run removes notices from the queue.
func (n *noticeQueue) run(ctx context.Context) {
	delay, timeout := noticeMinRetryDelay, noticeMinTimeout
	for {
		url, batch := n.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		if err := n.post(ctx, url, batch, timeout); err != nil {
			if ctx.Err() != nil {
				return
			}
			n.log.Warn("notices", "err", err, "owed", n.pending())
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
			delay, timeout = min(2*delay, noticeMaxRetryDelay), min(2*timeout, noticeMaxTimeout)
			continue
		}
		delay, timeout = noticeMinRetryDelay, noticeMinTimeout
		ids := make([]string, len(batch))
		for i, notice := range batch {
			ids[i] = notice.ID
		}
		n.removeFirst(len(batch))
		select {
		case n.events <- noticesConfirmedEvent{ids}:
		case <-ctx.Done():
			return
		}
	}
}

// nextBatch returns a copy of the oldest notices, which stay queued until they are confirmed.
func (n *noticeQueue) nextBatch() (string, []Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.url, append([]Notice(nil), n.queue[:min(len(n.queue), maxNoticesPerRequest)]...)
}

func (n *noticeQueue) pending() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue)
}

func (n *noticeQueue) removeFirst(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queue = n.queue[count:]; len(n.queue) == 0 {
		n.queue = nil // releases the array
	}
}

func (n *noticeQueue) post(ctx context.Context, url string, batch []Notice, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object per line
	for _, notice := range batch {
		if err := enc.Encode(notice); err != nil {
			return fmt.Errorf("notice for %s: %w", notice.ID, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &body)
	if err != nil {
		return fmt.Errorf("request to %s: %w", url, err)
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// The body is read so that the connection can be reused; its content does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answered %s", resp.Status)
	}
	return nil
}
