package node

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
	maxNoticesPerRequest = 256                    // notices in one request at most
	noticeMinTimeout     = 150 * time.Millisecond // for the platform's answer, which comes at once; a silent connection shows soon ...
	noticeMaxTimeout     = time.Second            // ... but a platform that is slow is given more, up to this
	noticeMinRetryDelay  = 50 * time.Millisecond  // first pause after a request that failed
	noticeMaxRetryDelay  = 400 * time.Millisecond // and the longest: an end is owed soon after a message's time is up
)

// noticesConfirmedEvent says that the platform has confirmed the ends of these messages.
type noticesConfirmedEvent struct{ ids []string }

// noticeQueue tells the platform how messages ended. The journal owes each notice until it is confirmed, so the queue
// holds no more than the journal has room for, and what is still in it when the process ends goes out at the next
// start. A notice that goes out twice does no harm.
type noticeQueue struct {
	client *http.Client
	log    *slog.Logger
	events chan<- any
	wake   chan struct{} // holds one token when something was added
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

// setAddr takes another address from the next request on. One under way to the old one ends as it may.
func (n *noticeQueue) setAddr(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.url = outcomesURL(addr)
}

// add queues a notice. It never waits.
func (n *noticeQueue) add(x Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, x)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default: // a token is there already
	}
}

// run sends what is queued, oldest first, until ctx is over. Only run takes notices off the queue.
func (n *noticeQueue) run(ctx context.Context) {
	pause, limit := noticeMinRetryDelay, noticeMinTimeout
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
		if err := n.post(ctx, url, batch, limit); err != nil {
			if ctx.Err() != nil {
				return
			}
			n.log.Warn("notices", "err", err, "owed", n.pending())
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause, limit = min(2*pause, noticeMaxRetryDelay), min(2*limit, noticeMaxTimeout)
			continue
		}
		pause, limit = noticeMinRetryDelay, noticeMinTimeout
		ids := make([]string, len(batch))
		for i, x := range batch {
			ids[i] = x.ID
		}
		n.removeFirst(len(batch))
		select {
		case n.events <- noticesConfirmedEvent{ids}:
		case <-ctx.Done():
			return
		}
	}
}

// nextBatch copies the oldest notices, which stay queued until they are confirmed.
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
		n.queue = nil // lets go of the array
	}
}

func (n *noticeQueue) post(ctx context.Context, url string, batch []Notice, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object a line
	for _, x := range batch {
		if err := enc.Encode(x); err != nil {
			return fmt.Errorf("notice for %s: %w", x.ID, err)
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
	// The rest of the answer is read so that the connection can serve again; what it says does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("the platform answered %s", resp.Status)
	}
	return nil
}
