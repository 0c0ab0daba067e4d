// Package discovery keeps a replica of the list of endpoints that discovery publishes, and watches it for changes.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	watchHoldTime     = 4 * time.Second // how long a watch may wait for news; one that is lost shows soon after
	watchAnswerMargin = time.Second     // and how much later its answer may come; changes count as told 2 s later
	listTimeout       = 2 * time.Second // for the whole list, which comes at once where it comes at all
	// Calls of a fleet add up: where discovery takes one after the other, it rejects what waits for 2 s, and what it
	// rejected costs it time too. Many senders go on watching while it answers soon, and pause once it is overbooked.
	SpreadMinSenders    = 8                       // senders from which on that is so
	spreadWatchHoldTime = 13 * time.Second        // how long a watch may wait for news then: with the slack and a pause it is in force within 17 s
	busyAnswerTime      = 1300 * time.Millisecond // an answer with news that took longer is followed by a pause
	pausePerSender      = 145 * time.Millisecond  // the mean of that, for each sender ...
	maxBusyPause        = 4400 * time.Millisecond // ... and the longest mean: with 2 s for the next answer it stays under ListAge
	maxFirstPause       = 5250 * time.Millisecond // before the first call: a fleet that starts meets discovery all at once ...
	serviceTimePerCall  = 50 * time.Millisecond   // ... where that can help: discovery needs so long for a call without news
	promptAnswerTime    = 25 * time.Millisecond   // an answer that need not wait for news comes sooner, unless discovery is busy
	promptHoldTime      = time.Millisecond        // hold of the call that asks for such an answer
	acceptanceDelay     = 2200 * time.Millisecond // a call that is out for longer was not rejected: it waits for news
	MaxListAge          = 5800 * time.Millisecond // of an answer, when what changed since counts as told; a bit less than 6 s
	minEmptyAnswerTime  = 100 * time.Millisecond  // an answer with nothing new that comes sooner than this did not wait: a backoff follows
	maxBadAnswers       = 5                       // answers that can't be taken, one after the other, until the call counts as failed
	initialBackoff      = 100 * time.Millisecond  // mean backoff after an answer that can't be taken, doubled with each ...
	maxBackoff          = 2800 * time.Millisecond // ... up to this: with a quarter more and the next call it stays under 6 s
	MinAnswerLimitBytes = 4 << 20                 // bytes of an answer that are always taken
	minRowBytes         = 96                      // of an answer: it has no more rows than bytes / rowBytes
	readBufferBytes     = 64 << 10                // bytes of an answer that are read at once
	stallTimeout        = 2 * time.Second         // between bytes of an answer that has begun; that long it may take in any case ...
	minBytesPerSecond   = 128 << 10               // ... and a second for so many bytes beyond that
	warningInterval     = time.Second             // between two warnings of failed calls
	typicalRowBytes     = 200                     // bytes of a row, to guess an answer's size
	minTimedBytes       = 64 << 10                // bytes of an answer that buy it time, however short the known list is
	maxTrailingBytes    = 4 << 10                 // bytes behind a list that are read, to keep the connection ...
	trailingTimeout     = 100 * time.Millisecond  // ... and for how long
)

var (
	errUnavailable     = errors.New("discovery answered 503") // it has no time for a call
	errUnresponsive    = errors.New("discovery does not answer")
	errListTooLarge    = errors.New("the list is too large")
	errUnreadable      = errors.New("the answer is no list")                        // cut short, say
	errOlderGeneration = errors.New("the list is older than the one that is known") // a late answer, say
)

// Event is news of the list, or of a call for it that failed.
type Event struct {
	Update         Update
	HasUpdate      bool   // Update is an answer
	WatchAccepted  bool   // no news yet: it is told from now on as soon as there is any
	AnswerBegun    bool   // pushed lists: an answer has begun to come and takes its time, so what is known may be old
	UnusableAnswer bool   // an answer came that can't be used: it may have held news, which is asked for again
	Err            error  // of a call that failed; the watch has ended
	Unresponsive   bool   // Err: nobody answered
	Done           func() // the loop calls it once the update is applied; nil if there is none
}

// Config is what a client needs to know.
type Config struct {
	Addr           string        // of discovery, host:port
	Senders        int           // that share discovery
	Pushed         bool          // an agent on this machine has the list; else it comes only to who asks
	DrainGrace     time.Duration // for which what begins to drain may still be called
	Seed           uint64
	MaxAnswerBytes int64 // of an answer; LeastBytes at least
	Directory      *Directory
	Store          *Store // keeps the list for the next start; nil for none
	Log            *slog.Logger
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // nil for TCP
}

// Client asks for the list. Only one Watch runs at a time.
type Client struct {
	httpClient     *http.Client
	directory      *Directory
	store          *Store
	log            *slog.Logger
	events         chan<- any
	timing         timing
	pushed         bool
	maxAnswerBytes int64         // bytes of an answer
	rng            *rand.Rand    // sets our calls apart from those of other senders; used by one watch at a time, as are ...
	generation     int64         // ... the version of the list that the loop has ...
	restarted      bool          // ... whether this is a restart ...
	firstCallMade  bool          // ... whether the first call has been made ...
	meanBackoff    time.Duration // ... the mean pause after an answer that can't be taken, 0 after a good one ...
	// ... since when all answers are older than what is known; zero if the last one was not ...
	olderSince     time.Time
	lastWarningAt  time.Time     // when a failed call was last logged as a warning
	unsavedUpdate  *Update       // ... the update that is yet to be saved ...
	unsavedOrigin  string        // ... the address that it came from ...
	noRoomRows     int           // ... how long a list had no room on disk, 0 if none did ...
	saveFailed     bool          // ... whether the last update could not be saved ...
	discoveryBusy  bool          // ... whether discovery is too busy for many senders that ask at once ...
	hasList        bool          // ... and whether there is such a list
	applied        chan struct{} // closed once the loop has applied the last update; nil before the first
	wake           chan struct{} // ends a pause: discovery has moved
	mu             sync.Mutex
	baseURL        string
	addressChanged bool               // since the last call began
	cancelCall     context.CancelFunc // ends the call under way
}

// NewClient returns a client that sends an Event for whatever it learns.
func NewClient(cfg Config, events chan<- any) *Client {
	times := requestedTiming(cfg.Senders, cfg.DrainGrace)
	if cfg.Pushed {
		times = pushedTiming(cfg.DrainGrace)
	}
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	return &Client{baseURL: "http://" + cfg.Addr, timing: times, pushed: cfg.Pushed, maxAnswerBytes: max(cfg.MaxAnswerBytes, MinAnswerLimitBytes),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), directory: cfg.Directory, store: cfg.Store, log: cfg.Log, events: events, wake: make(chan struct{}, 1),
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// SetInitialState says what is known at the start, before the first Watch: the generation of the list in the directory, below 0
// if there is none, and whether this is a restart.
func (d *Client) SetInitialState(generation int64, restart bool) {
	d.restarted = restart
	if d.hasList = generation >= 0; d.hasList {
		d.generation = generation
	}
}

// Watch reports changes until a call fails. Each call follows the last answer at once, so that nothing is missed in
// between, unless discovery is overbooked. Among many senders the first does not wait for news, which shows whether
// discovery has time; how long a watch takes tells of the news alone. A restarted sender makes it at once: what it
// would be told counts as told. At a first start the list is new, and a fleet's calls spread. Where lists are pushed,
// the first call of each watch does not wait: it shows at once what the agent has, or that it is silent.
func (d *Client) Watch(ctx context.Context) {
	if d.timing.firstPause > 0 && !d.firstCallMade && !d.restarted {
		d.wait(ctx, time.Duration(d.rng.Int64N(int64(d.timing.firstPause))))
	}
	bad, asked := 0, false // answers in a row that made no sense; whether this watch has made a call
	for ctx.Err() == nil {
		first := d.timing.busyPause > 0 && !d.firstCallMade || d.pushed && !asked
		d.firstCallMade, asked = true, true
		call, base, moved := d.beginCall(ctx)
		if moved { // its list begins anew: the versions of another address may be others
			d.hasList = false
		}
		url, limit := base+"/discovery/hosts", listTimeout
		direct := !d.hasList || first || bad > 0 // the answer need not wait for news
		switch {
		case d.hasList && direct:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, d.generation, promptHoldTime.Milliseconds())
			limit = d.timing.answerTimeout
		case d.hasList:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, d.generation, d.timing.holdTime.Milliseconds())
			limit = d.timing.holdTime + d.timing.answerMargin
		}
		at := time.Now()
		d.log.Debug("list call", "url", url, "limit", limit.String())
		list, err := d.awaitAnswer(call, url, limit, !direct)
		d.logAnswer(list, err, time.Since(at))
		if moved := d.endCall(); ctx.Err() != nil {
			return
		} else if moved {
			bad, d.meanBackoff = 0, 0
			continue // what the old address said last, the new one says too
		}
		if err == nil {
			err = d.checkAnswer(list)
		}
		if !errors.Is(err, errOlderGeneration) {
			d.olderSince = time.Time{}
		} else if d.olderSince.IsZero() {
			d.olderSince = time.Now()
		}
		unusable := errors.Is(err, errUnreadable) || errors.Is(err, errOlderGeneration) || errors.Is(err, errListTooLarge)
		if unusable {
			d.emit(ctx, Event{UnusableAnswer: true})
		}
		if bad++; bad < maxBadAnswers && unusable {
			pause := d.nextBackoff()
			d.log.Log(ctx, d.failureLogLevel(), "discovery, the list stays as it is", "err", err, "known", d.generation, "again in", pause.String())
			d.wait(ctx, pause) // not for long: what it has to tell counts as told
			continue
		}
		if errors.Is(err, errOlderGeneration) && time.Since(d.olderSince) >= d.timing.renumberingDelay {
			d.hasList = false // not a late answer: its count has begun anew
		}
		if err != nil {
			d.log.Log(ctx, d.failureLogLevel(), "discovery", "err", err)
			d.discoveryBusy = d.discoveryBusy || errors.Is(err, errUnavailable)
			d.emit(ctx, Event{Err: err, Unresponsive: isUnresponsive(err)})
			return
		}
		pause, took := time.Duration(0), time.Since(at)
		idle := len(list.Rows) == 0 && took < minEmptyAnswerTime && !direct // answered at once, with nothing new
		if bad = 0; !idle {
			d.meanBackoff = 0
		}
		if direct || list.rowCount > 0 && took < promptAnswerTime {
			d.discoveryBusy = took >= promptAnswerTime
		}
		if len(list.Rows) > 0 || list.Generation != d.generation || !d.hasList {
			d.unsavedUpdate, d.unsavedOrigin = &list.Update, strings.TrimPrefix(base, "http://")
		}
		d.generation, d.hasList = list.Generation, true
		applied := make(chan struct{})
		d.applied = applied
		d.emit(ctx, Event{Update: list.Update, HasUpdate: true, Done: sync.OnceFunc(func() { close(applied) })})
		switch {
		case idle:
			pause = d.nextBackoff()
		case d.discoveryBusy && d.timing.busyPause > 0 && (list.rowCount > 0 && took > busyAnswerTime || list.rowCount == 0 && first):
			pause = d.timing.busyPause*92/100 + time.Duration(d.rng.Int64N(int64(d.timing.busyPause)*16/100))
		}
		d.wait(ctx, pause)
	}
}

// logAnswer writes how a call for the list ended, for who follows it call by call.
func (d *Client) logAnswer(list *answer, err error, took time.Duration) {
	if err != nil {
		d.log.Debug("list call ended", "took", took.String(), "err", err)
		return
	}
	d.log.Debug("list call ended", "took", took.String(), "generation", list.Generation, "whole", list.Whole, "rows", list.rowCount)
}

// failureLogLevel is the level at which a call that failed is logged: where calls follow each other closely, not each as a
// warning.
func (d *Client) failureLogLevel() slog.Level {
	now := time.Now()
	if d.pushed && now.Sub(d.lastWarningAt) < warningInterval {
		return slog.LevelDebug
	}
	d.lastWarningAt = now
	return slog.LevelWarn
}

// checkAnswer says what is wrong with a list, if anything is: changes where there is nothing to change yet, a whole list with
// no word of instances, or a list that is older than what is known.
func (d *Client) checkAnswer(list *answer) error {
	switch {
	case !d.hasList && !list.Whole, list.Whole && !list.hasInstances:
		return errUnreadable
	case d.hasList && list.Generation < d.generation:
		return fmt.Errorf("%w: generation %d", errOlderGeneration, list.Generation)
	}
	return nil
}

// isUnresponsive says whether a call failed because nobody answered: no connection came up, or nothing came over it.
func isUnresponsive(err error) bool {
	var op *net.OpError
	return errors.Is(err, errUnresponsive) && !errors.Is(err, errUnreadable) || errors.As(err, &op) && op.Op == "dial"
}

// awaitAnswer makes a call, and tells the loop once it waits for news, if it may.
func (d *Client) awaitAnswer(ctx context.Context, url string, limit time.Duration, watch bool) (*answer, error) {
	type result struct {
		list *answer
		err  error
	}
	answers, begun := make(chan result, 1), make(chan struct{})
	go func() {
		list, err := d.fetchList(ctx, url, limit, begun)
		answers <- result{list, err}
	}()
	if d.awaitApplied(ctx) == nil {
		d.saveUpdate() // the answer is not compared with what changes meanwhile: the next update is told after this
	}
	out := time.NewTimer(d.timing.acceptanceDelay)
	defer out.Stop()
	select {
	case a := <-answers:
		return a.list, a.err
	case <-begun: // it may be long: that is no wait for news
	case <-out.C:
		if watch {
			d.emit(ctx, Event{WatchAccepted: true})
		}
		select {
		case a := <-answers:
			return a.list, a.err
		case <-begun:
		}
	}
	if d.pushed { // news is on its way, and may not arrive
		out.Reset(d.timing.acceptanceDelay)
		select {
		case a := <-answers:
			return a.list, a.err
		case <-out.C:
			d.emit(ctx, Event{AnswerBegun: true})
		}
	}
	a := <-answers
	return a.list, a.err
}

// saveUpdate keeps the last update on disk once it is applied, as a change or with the whole list.
func (d *Client) saveUpdate() {
	u := d.unsavedUpdate
	if d.unsavedUpdate = nil; u == nil || d.store == nil || !d.directory.AllStatesKnown() || d.noRoomRows > 0 && d.directory.Len()*10 > d.noRoomRows*9 {
		return
	}
	saved, err := d.store.Peek()
	whole := err != nil || saved.Origin != d.unsavedOrigin || d.store.NeedsReplace()
	if !whole {
		err = d.store.Append(u.Generation, u.Rows)
		whole = err != nil && d.store.NeedsReplace()
	}
	if whole {
		d.noRoomRows = 0
		if err = d.store.Replace(d.unsavedOrigin, u.Generation, d.directory.Listed()); errors.Is(err, errNoRoom) {
			d.noRoomRows = d.directory.Len()
		}
	}
	if err != nil && !d.saveFailed {
		d.log.Warn("the list is not kept for the next start", "entries", d.directory.Len(), "err", err)
	}
	d.saveFailed = err != nil
}

// emit sends an event, unless ctx ends first.
func (d *Client) emit(ctx context.Context, ev Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// awaitApplied waits until the loop has applied the last update: what is compared before would be told as it was before.
func (d *Client) awaitApplied(ctx context.Context) error {
	if d.applied == nil {
		return nil
	}
	select {
	case <-d.applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextBackoff is the pause after an answer that can't be taken. It grows until a good one comes, also from one watch to the
// next.
func (d *Client) nextBackoff() time.Duration {
	d.meanBackoff = min(max(2*d.meanBackoff, d.timing.initialBackoff), d.timing.maxBackoff)
	return d.meanBackoff*3/4 + time.Duration(d.rng.Int64N(int64(d.meanBackoff)/2))
}

// wait pauses, unless ctx or a move of discovery ends it.
func (d *Client) wait(ctx context.Context, pause time.Duration) {
	if pause > 0 {
		d.log.Debug("pause before the next list call", "for", pause.String())
	}
	select {
	case <-ctx.Done():
	case <-d.wake:
	case <-time.After(pause):
	}
}

// beginCall says where the next call goes, and whether that is another address than before.
func (d *Client) beginCall(ctx context.Context) (call context.Context, base string, moved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved, d.addressChanged = d.addressChanged, false
	select {
	case <-d.wake: // this call goes to the new address
	default:
	}
	call, d.cancelCall = context.WithCancel(ctx)
	return call, d.baseURL, moved
}

// endCall lets go of a call and says whether discovery has moved since it began.
func (d *Client) endCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelCall()
	d.cancelCall = nil
	return d.addressChanged
}

// AddressChanged says whether discovery has moved since the last call began.
func (d *Client) AddressChanged() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressChanged
}

// BaseURL is where calls go now.
func (d *Client) BaseURL() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.baseURL
}

// SetAddress takes another address from now on. A call under way to the old one is called off.
func (d *Client) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.baseURL, d.addressChanged = "http://"+addr, true
	if d.cancelCall != nil {
		d.cancelCall()
	}
	select {
	case d.wake <- struct{}{}:
	default: // one that is not taken yet stands for this one too
	}
}

// fetchList makes a call. Its answer has to begin within limit; from then on it has to come on. begun is closed as soon as
// there is one.
func (d *Client) fetchList(ctx context.Context, url string, limit time.Duration, begun chan<- struct{}) (*answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := time.Now().Add(limit)
	over := time.AfterFunc(limit, func() { cancel(errUnresponsive) })
	defer over.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.discardTrailing(resp.Body, over)
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil, errUnavailable
		}
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if resp.ContentLength > d.maxAnswerBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errListTooLarge, resp.ContentLength, d.maxAnswerBytes)
	}
	left := time.Until(end)
	over.Stop() // what follows is no fault of discovery's
	if err := d.awaitApplied(ctx); err != nil {
		return nil, err
	}
	over.Reset(left)
	body := &progressReader{input: resp.Body, timeoutTimer: over, maxBytes: d.maxAnswerBytes, begun: begun, stallTimeout: d.timing.stallTimeout, maxTimedBytes: d.maxAnswerBytes}
	if known := d.directory.Len(); d.timing.limitTransferTime && known > 0 {
		body.maxTimedBytes = max(minTimedBytes, 2*int64(known)*typicalRowBytes)
	}
	list, err := d.directory.readAnswer(bufio.NewReaderSize(body, readBufferBytes), int(d.maxAnswerBytes/minRowBytes))
	switch cause := context.Cause(ctx); {
	case errors.Is(err, errListTooLarge):
		return nil, err
	case err != nil && cause != nil:
		return nil, fmt.Errorf("%w: %d bytes came, not in time: %w", errUnreadable, body.bytesRead, cause)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	d.discardTrailing(resp.Body, over)
	return list, nil
}

// discardTrailing reads what little there is behind an answer, so that its connection can be used again.
func (d *Client) discardTrailing(body io.Reader, over *time.Timer) {
	over.Reset(trailingTimeout)
	io.Copy(io.Discard, io.LimitReader(body, maxTrailingBytes))
}

// progressReader reads an answer that may take as long as it comes on, up to a number of bytes.
type progressReader struct {
	input         io.Reader
	timeoutTimer  *time.Timer // ends the call
	maxBytes      int64
	bytesRead     int64
	begun         chan<- struct{}
	firstByteAt   time.Time     // of the first byte
	stallTimeout  time.Duration // between bytes
	maxTimedBytes int64         // bytes that buy time
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.input.Read(b)
	if n > 0 && p.bytesRead == 0 {
		p.firstByteAt = time.Now()
		close(p.begun)
	}
	if p.bytesRead += int64(n); p.bytesRead > p.maxBytes {
		return 0, fmt.Errorf("%w: over %d bytes, the limit is %d", errListTooLarge, p.bytesRead, p.maxBytes)
	}
	if n > 0 {
		all := p.stallTimeout + time.Duration(min(p.bytesRead, p.maxTimedBytes))*time.Second/minBytesPerSecond
		p.timeoutTimer.Reset(min(p.stallTimeout, all-time.Since(p.firstByteAt)))
	}
	return n, err
}
