// Package discovery keeps a replica of the list of endpoints that discovery publishes, and watches it for changes.
//
// Client calls discovery over HTTP: for the whole list first and then, as a long poll, for what has changed since the
// generation that it knows. Directory is the replica, and Store keeps it on disk for the next start.
//
// A change of the list counts as known from the time at which the sender has to act on it, whether or not it has
// arrived. Where the sender requests the list, that is 6 s after discovery had the change and could be reached, or
// later after a call without an answer. Where an agent on the sender's machine gets the list pushed, it is as soon as
// the agent has the change.
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
	"syscall"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/internal/neterror"
)

const (
	// How long discovery may hold a watch while nothing changes; a watch that gets no answer is noticed soon after.
	watchHoldTime = 4 * time.Second
	// How much later the answer to a watch may begin. If there is no answer, changes count as known 2 s after the end
	// of the hold time.
	watchAnswerMargin = time.Second
	listTimeout       = 2 * time.Second // until the whole list begins to arrive; discovery sends it at once if at all

	// Calls of a fleet add up. A discovery that serves one call after the other rejects calls that have waited for 2 s,
	// and rejected calls cost it time too. The senders of a large fleet keep watching without pauses while discovery
	// answers soon, and pause between watches once it is overloaded.

	// SpreadMinSenders is the number of senders from which on their calls are spread. Comments call so many senders a
	// large fleet.
	SpreadMinSenders = 8
	// Hold time of a watch in a large fleet: with the answer margin and a pause, a change is in force within 17 s.
	spreadWatchHoldTime = 13 * time.Second
	busyAnswerTime      = 1300 * time.Millisecond // an answer with changes that took longer is followed by a pause
	pausePerSender      = 145 * time.Millisecond  // mean of that pause, for each sender
	// Longest mean pause: with its random part and 2 s for the next answer it stays within MaxListAge and a drain grace
	// of 1 s.
	maxBusyPause = 4400 * time.Millisecond
	// Longest pause before the first call: the senders of a fleet that starts would otherwise all call at the same
	// time.
	maxFirstPause = 5250 * time.Millisecond
	// Time that discovery needs for a call without changes. A pause of maxFirstPause spreads the calls of a fleet
	// widely enough only if they take no longer than that in total.
	serviceTimePerCall = 50 * time.Millisecond
	// An answer that need not wait for a change arrives sooner than this, unless discovery is busy.
	promptAnswerTime = 25 * time.Millisecond
	promptHoldTime   = time.Millisecond // hold time of the call that asks for such an answer

	// A call that has had no answer for longer than this was not rejected: it waits for a change.
	acceptanceDelay = 2200 * time.Millisecond
	// MaxListAge is the age of the last answer from which on changes since then count as known: slightly less than 6 s.
	MaxListAge         = 5800 * time.Millisecond
	minEmptyAnswerTime = 100 * time.Millisecond // an empty answer that arrives sooner did not wait: a backoff follows
	maxBadAnswers      = 5                      // unusable answers in a row after which the watch counts as failed
	initialBackoff     = 100 * time.Millisecond // mean backoff after an unusable answer, doubled after each further one
	// Longest mean backoff: with a quarter more, and the next call, it stays under 6 s.
	maxBackoff = 2800 * time.Millisecond

	// MinAnswerLimitBytes is the size up to which an answer is always accepted.
	MinAnswerLimitBytes = 4 << 20
	minRowBytes         = 96       // an answer has at most one row for each so many bytes of its size limit
	readBufferBytes     = 64 << 10 // of an answer
	// Longest time between the bytes of an answer that has begun; an answer as a whole may take that long in any case.
	stallTimeout      = 2 * time.Second
	minBytesPerSecond = 128 << 10   // an answer may take a second more for each so many bytes
	warningInterval   = time.Second // between two warnings of failed calls, for pushed lists
	typicalRowBytes   = 200         // size of a row, to estimate the size of an answer
	// So many bytes of an answer extend its time, however short the known list is.
	minTimedBytes    = 64 << 10
	maxTrailingBytes = 4 << 10                // bytes after a list that are read, to reuse the connection
	trailingTimeout  = 100 * time.Millisecond // for reading them
	maxKeptConns     = 2                      // a call right after an answer cannot use the connection of that
	connIdleTimeout  = 30 * time.Second       // of kept connections
)

var (
	errUnavailable     = errors.New("discovery answered 503") // it is too busy for a call
	errUnresponsive    = errors.New("discovery does not answer")
	errListTooLarge    = errors.New("the list is too large")
	errUnreadable      = errors.New("the answer is not a list")             // for example, truncated
	errOlderGeneration = errors.New("the list is older than the known one") // for example, a late answer
)

// Event is a change of the list, the state of a call for it, or a call that failed.
type Event struct {
	Update         Update
	HasUpdate      bool   // Update is an answer
	WatchAccepted  bool   // discovery has accepted the watch and nothing has changed so far
	AnswerBegun    bool   // pushed lists: an answer has begun and is slow to arrive, so the known list may be out of date
	UnusableAnswer bool   // an unusable answer arrived: it may have held changes, which are requested again
	Err            error  // of a call that failed; the watch has ended
	Unresponsive   bool   // with Err: discovery did not answer at all
	NotSent        bool   // with Err: this host could not send the call, which says nothing about discovery
	Done           func() // called by the receiver once the update is applied; nil if there is none
}

// Config configures a Client.
type Config struct {
	Addr           string        // of discovery, host:port
	Senders        int           // number of senders that share discovery
	Pushed         bool          // an agent on this machine gets the list pushed; otherwise it is sent only on request
	DrainGrace     time.Duration // how long a draining endpoint may still be called
	Seed           uint64
	MaxAnswerBytes int64 // size limit of an answer; at least MinAnswerLimitBytes applies
	Directory      *Directory
	Store          *Store // keeps the list for the next start; nil for none
	Log            *slog.Logger
	Dial           httpconn.DialFunc                   // nil for TCP
	OnExtraBytes   func(err *httpconn.ExtraBytesError) // called when a connection is closed for what came behind an answer; may be nil
}

// Client requests the list and watches it. Only one Watch may run at a time.
type Client struct {
	httpClient     *http.Client
	directory      *Directory
	store          *Store
	log            *slog.Logger
	events         chan<- any
	timing         timing
	pushed         bool
	maxAnswerBytes int64 // size limit of an answer

	// The fields up to applied belong to the running Watch.

	rng           *rand.Rand    // spreads the calls of this sender apart from those of other senders
	generation    int64         // generation of the list that the receiver of the events has
	restarted     bool          // this is a restart, not a first start
	firstCallMade bool          // the first call has been made
	meanBackoff   time.Duration // mean of the last backoff; 0 after an answer that needed none
	olderSince    time.Time     // since when all answers are older than the known list; zero if the last one was not
	lastWarningAt time.Time     // when a failed call was last logged as a warning
	unsavedUpdate *Update       // the update that is yet to be saved
	unsavedOrigin string        // the address that it came from
	noRoomRows    int           // number of rows of a list that did not fit on disk; 0 if there was none
	saveFailed    bool          // the last update could not be saved
	discoveryBusy bool          // discovery is too busy for a large fleet that calls without pauses
	hasList       bool          // there is a list at generation
	applied       chan struct{} // closed once the receiver has applied the last update; nil before the first

	wake           chan struct{} // ends a pause: the address of discovery has changed
	mu             sync.Mutex    // guards the fields below
	baseURL        string
	addressChanged bool               // since the last call began
	cancelCall     context.CancelFunc // ends the call in progress
}

// NewClient returns a client that reports on events what it learns, each as an Event.
func NewClient(cfg Config, events chan<- any) *Client {
	times := requestedTiming(cfg.Senders, cfg.DrainGrace)
	if cfg.Pushed {
		times = pushedTiming(cfg.DrainGrace)
	}
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	return &Client{baseURL: "http://" + cfg.Addr, timing: times, pushed: cfg.Pushed,
		maxAnswerBytes: max(cfg.MaxAnswerBytes, MinAnswerLimitBytes),
		rng:            rand.New(rand.NewPCG(cfg.Seed, 1)), directory: cfg.Directory, store: cfg.Store, log: cfg.Log,
		events: events, wake: make(chan struct{}, 1),
		httpClient: &http.Client{Transport: httpconn.NewTransport(httpconn.TransportConfig{Dial: dial, MaxIdle: maxKeptConns,
			IdleTimeout: connIdleTimeout, OnExtraBytes: cfg.OnExtraBytes})}}
}

// SetInitialState sets what is known at the start, before the first Watch: the generation of the list in the directory,
// below 0 if there is none, and whether this is a restart.
func (c *Client) SetInitialState(generation int64, restart bool) {
	c.restarted = restart
	if c.hasList = generation >= 0; c.hasList {
		c.generation = generation
	}
}

// Watch reports changes of the list until a call fails. A call names the generation that is known (from) and how long
// discovery may hold the answer back while there is no newer one (hold_ms): a long poll. Without a known list it asks
// for the whole list.
//
// Each call follows the last answer at once, so that no change is missed in between, unless discovery is overloaded:
// then the senders of a large fleet pause first. Whether it is overloaded shows in the first call, which they make with
// a minimal hold time; the duration of a watch shows only when something changed. A restarted sender makes the first
// call at once, as changes that the answer would contain count as known. At a first start the list is new, and the
// calls of a fleet are spread by a random pause.
//
// Where lists are pushed, the first call of each watch has a minimal hold time too: it shows at once which list the
// agent has, or that it does not answer.
//
// An answer with a lower generation than the known one is rejected: it may be a late answer. If such answers continue
// for maxBadAnswers in a row and for renumberingDelay, discovery has restarted its generations, and the next call asks
// for the whole list. So does the first call to another address, whose generations need not be the same.
func (c *Client) Watch(ctx context.Context) {
	if c.timing.firstPause > 0 && !c.firstCallMade && !c.restarted {
		c.wait(ctx, time.Duration(c.rng.Int64N(int64(c.timing.firstPause))))
	}
	badAnswers, hasCalled := 0, false // unusable answers in a row; whether this watch has made a call
	for ctx.Err() == nil {
		first := c.timing.busyPause > 0 && !c.firstCallMade || c.pushed && !hasCalled
		c.firstCallMade, hasCalled = true, true
		call, base, moved := c.beginCall(ctx)
		if moved { // the generations of another address may count another list
			c.hasList = false
		}
		url, limit := base+"/discovery/hosts", listTimeout
		direct := !c.hasList || first || badAnswers > 0 // the answer need not wait for a change
		switch {
		case c.hasList && direct:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, c.generation, promptHoldTime.Milliseconds())
			limit = c.timing.answerTimeout
		case c.hasList:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, c.generation, c.timing.holdTime.Milliseconds())
			limit = c.timing.holdTime + c.timing.answerMargin
		}
		calledAt := time.Now()
		c.log.Debug("list call", "url", url, "limit", limit.String())
		list, err := c.awaitAnswer(call, url, limit, !direct)
		c.logAnswer(list, err, time.Since(calledAt))
		if moved := c.endCall(); ctx.Err() != nil {
			return
		} else if moved {
			badAnswers, c.meanBackoff = 0, 0
			continue // the answer of the old address is dropped: the new address has the same changes
		}
		if err == nil {
			err = c.checkAnswer(list)
		}
		if !errors.Is(err, errOlderGeneration) {
			c.olderSince = time.Time{}
		} else if c.olderSince.IsZero() {
			c.olderSince = time.Now()
		}
		unusable := errors.Is(err, errUnreadable) || errors.Is(err, errOlderGeneration) || errors.Is(err, errListTooLarge)
		if unusable {
			c.emit(ctx, Event{UnusableAnswer: true})
		}
		if badAnswers++; badAnswers < maxBadAnswers && unusable {
			pause := c.nextBackoff()
			c.log.Log(ctx, c.failureLogLevel(), "discovery, the list stays as it is",
				"err", err, "known", c.generation, "again in", pause.String())
			c.wait(ctx, pause) // not for long: changes in the unusable answer count as known
			continue
		}
		if errors.Is(err, errOlderGeneration) && time.Since(c.olderSince) >= c.timing.renumberingDelay {
			c.hasList = false // not late answers: discovery has restarted its generations
		}
		if err != nil {
			c.log.Log(ctx, c.failureLogLevel(), "discovery", "err", err)
			c.discoveryBusy = c.discoveryBusy || errors.Is(err, errUnavailable)
			c.emit(ctx, Event{Err: err, Unresponsive: isUnresponsive(err), NotSent: isNotSent(err)})
			return
		}
		pause, took := time.Duration(0), time.Since(calledAt)
		emptyAtOnce := len(list.Rows) == 0 && took < minEmptyAnswerTime && !direct // answered at once, without changes
		if badAnswers = 0; !emptyAtOnce {
			c.meanBackoff = 0
		}
		if direct || list.rowCount > 0 && took < promptAnswerTime {
			c.discoveryBusy = took >= promptAnswerTime
		}
		if len(list.Rows) > 0 || list.Generation != c.generation || !c.hasList {
			c.unsavedUpdate, c.unsavedOrigin = &list.Update, strings.TrimPrefix(base, "http://")
		}
		c.generation, c.hasList = list.Generation, true
		applied := make(chan struct{})
		c.applied = applied
		c.emit(ctx, Event{Update: list.Update, HasUpdate: true, Done: sync.OnceFunc(func() { close(applied) })})
		switch {
		case emptyAtOnce:
			pause = c.nextBackoff()
		case c.discoveryBusy && c.timing.busyPause > 0 &&
			(list.rowCount > 0 && took > busyAnswerTime || list.rowCount == 0 && first):
			pause = c.timing.busyPause*92/100 + time.Duration(c.rng.Int64N(int64(c.timing.busyPause)*16/100))
		}
		c.wait(ctx, pause)
	}
}

// logAnswer logs how a call for the list ended, at debug level.
func (c *Client) logAnswer(list *answer, err error, took time.Duration) {
	if err != nil {
		c.log.Debug("list call ended", "took", took.String(), "err", err)
		return
	}
	c.log.Debug("list call ended", "took", took.String(), "generation", list.Generation, "whole", list.Whole,
		"rows", list.rowCount)
}

// failureLogLevel returns the level at which a call that failed is logged. Where lists are pushed, calls follow each
// other closely, and only one failure per warningInterval is a warning.
func (c *Client) failureLogLevel() slog.Level {
	now := time.Now()
	if c.pushed && now.Sub(c.lastWarningAt) < warningInterval {
		return slog.LevelDebug
	}
	c.lastWarningAt = now
	return slog.LevelWarn
}

// checkAnswer returns an error if a list cannot be used: changes where there is no list yet, a whole list without
// instances, or a list that is older than the known one.
func (c *Client) checkAnswer(list *answer) error {
	switch {
	case !c.hasList && !list.Whole, list.Whole && !list.hasInstances:
		return errUnreadable
	case c.hasList && list.Generation < c.generation:
		return fmt.Errorf("%w: generation %d", errOlderGeneration, list.Generation)
	}
	return nil
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

// awaitAnswer makes a call and returns its answer. If the call is a watch, it reports when discovery has accepted it;
// where lists are pushed, it also reports when an answer has begun and is slow to arrive.
func (c *Client) awaitAnswer(ctx context.Context, url string, limit time.Duration, watch bool) (*answer, error) {
	type result struct {
		list *answer
		err  error
	}
	answers, begun := make(chan result, 1), make(chan struct{})
	go func() {
		list, err := c.fetchList(ctx, url, limit, begun)
		answers <- result{list, err}
	}()
	if c.awaitApplied(ctx) == nil {
		c.saveUpdate() // nothing changes the directory meanwhile: the next update is only reported after this
	}
	acceptanceTimer := time.NewTimer(c.timing.acceptanceDelay)
	defer acceptanceTimer.Stop()
	select {
	case a := <-answers:
		return a.list, a.err
	case <-begun: // a long answer is not a watch that waits for a change
	case <-acceptanceTimer.C:
		if watch {
			c.emit(ctx, Event{WatchAccepted: true})
		}
		select {
		case a := <-answers:
			return a.list, a.err
		case <-begun:
		}
	}
	if c.pushed { // changes are being transferred, and the transfer may fail
		acceptanceTimer.Reset(c.timing.acceptanceDelay)
		select {
		case a := <-answers:
			return a.list, a.err
		case <-acceptanceTimer.C:
			c.emit(ctx, Event{AnswerBegun: true})
		}
	}
	a := <-answers
	return a.list, a.err
}

// saveUpdate saves the last update on disk once it is applied: the update alone, or the whole list. If a list did not
// fit on disk, it saves nothing until the list is a tenth shorter.
func (c *Client) saveUpdate() {
	u := c.unsavedUpdate
	if c.unsavedUpdate = nil; u == nil || c.store == nil || !c.directory.AllStatesKnown() ||
		c.noRoomRows > 0 && c.directory.Len()*10 > c.noRoomRows*9 {
		return
	}
	saved, err := c.store.Peek()
	whole := err != nil || saved.Origin != c.unsavedOrigin || c.store.NeedsReplace()
	if !whole {
		err = c.store.Append(u.Generation, u.Rows)
		whole = err != nil && c.store.NeedsReplace()
	}
	if whole {
		c.noRoomRows = 0
		if err = c.store.Replace(c.unsavedOrigin, u.Generation, c.directory.Listed()); errors.Is(err, errNoRoom) {
			c.noRoomRows = c.directory.Len()
		}
	}
	if err != nil && !c.saveFailed {
		c.log.Warn("the list is not kept for the next start", "entries", c.directory.Len(), "err", err)
	}
	c.saveFailed = err != nil
}

// emit sends an event to the receiver, unless ctx ends first.
func (c *Client) emit(ctx context.Context, ev Event) {
	select {
	case c.events <- ev:
	case <-ctx.Done():
	}
}

// awaitApplied waits until the receiver has applied the last update. An answer that is compared with the directory
// before that would be compared with an old list.
func (c *Client) awaitApplied(ctx context.Context) error {
	if c.applied == nil {
		return nil
	}
	select {
	case <-c.applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextBackoff returns the pause after an unusable answer, or after an empty one that did not wait. It grows until
// another answer arrives, also across watches.
func (c *Client) nextBackoff() time.Duration {
	c.meanBackoff = min(max(2*c.meanBackoff, c.timing.initialBackoff), c.timing.maxBackoff)
	return c.meanBackoff*3/4 + time.Duration(c.rng.Int64N(int64(c.meanBackoff)/2))
}

// wait pauses. The end of ctx or a change of discovery's address ends the pause.
func (c *Client) wait(ctx context.Context, pause time.Duration) {
	if pause > 0 {
		c.log.Debug("pause before the next list call", "for", pause.String())
	}
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-time.After(pause):
	}
}

// beginCall returns the context and the base URL of the next call, and whether the address has changed since the last
// one.
func (c *Client) beginCall(ctx context.Context) (call context.Context, base string, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved, c.addressChanged = c.addressChanged, false
	select {
	case <-c.wake: // this call goes to the new address
	default:
	}
	call, c.cancelCall = context.WithCancel(ctx)
	return call, c.baseURL, moved
}

// endCall releases the context of a call and reports whether discovery's address has changed since it began.
func (c *Client) endCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelCall()
	c.cancelCall = nil
	return c.addressChanged
}

// AddressChanged reports whether discovery's address has changed since the last call began.
func (c *Client) AddressChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addressChanged
}

// BaseURL returns the URL that calls currently go to.
func (c *Client) BaseURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.baseURL
}

// SetAddress changes the address of discovery. A call to the old one that is in progress is cancelled.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.baseURL, c.addressChanged = "http://"+addr, true
	if c.cancelCall != nil {
		c.cancelCall()
	}
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up that is still pending covers this change too
	}
}

// fetchList makes a call and reads its answer. The answer has to begin within limit; from then on data has to keep
// coming. begun is closed when the first byte of the body arrives.
func (c *Client) fetchList(ctx context.Context, url string, limit time.Duration,
	begun chan<- struct{}) (*answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := time.Now().Add(limit)
	timeoutTimer := time.AfterFunc(limit, func() { cancel(errUnresponsive) })
	defer timeoutTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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
		c.discardTrailing(resp.Body, timeoutTimer)
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil, errUnavailable
		}
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if resp.ContentLength > c.maxAnswerBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errListTooLarge, resp.ContentLength, c.maxAnswerBytes)
	}
	timeLeft := time.Until(deadline)
	timeoutTimer.Stop() // the wait that follows is not caused by discovery
	if err := c.awaitApplied(ctx); err != nil {
		return nil, err
	}
	timeoutTimer.Reset(timeLeft)
	body := &progressReader{input: resp.Body, timeoutTimer: timeoutTimer, maxBytes: c.maxAnswerBytes, begun: begun,
		stallTimeout: c.timing.stallTimeout, maxTimedBytes: c.maxAnswerBytes}
	if known := c.directory.Len(); c.timing.limitTransferTime && known > 0 {
		body.maxTimedBytes = max(minTimedBytes, 2*int64(known)*typicalRowBytes)
	}
	list, err := c.directory.readAnswer(bufio.NewReaderSize(body, readBufferBytes), int(c.maxAnswerBytes/minRowBytes))
	switch cause := context.Cause(ctx); {
	case errors.Is(err, errListTooLarge):
		return nil, err
	case err != nil && cause != nil:
		return nil, fmt.Errorf("%w: timed out after %d bytes: %w", errUnreadable, body.bytesRead, cause)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	c.discardTrailing(resp.Body, timeoutTimer)
	return list, nil
}

// discardTrailing reads the few bytes that may follow an answer, so that its connection can be reused.
func (c *Client) discardTrailing(body io.Reader, timeoutTimer *time.Timer) {
	timeoutTimer.Reset(trailingTimeout)
	io.Copy(io.Discard, io.LimitReader(body, maxTrailingBytes))
}

// progressReader reads the body of an answer, up to a number of bytes. It restarts the time limit of the call as data
// arrives: at most stallTimeout between bytes and, as a whole, stallTimeout and the time that the bytes so far take at
// minBytesPerSecond.
type progressReader struct {
	input         io.Reader
	timeoutTimer  *time.Timer // ends the call when it expires
	maxBytes      int64
	bytesRead     int64
	begun         chan<- struct{} // closed at the first byte
	firstByteAt   time.Time
	stallTimeout  time.Duration // between bytes
	maxTimedBytes int64         // bytes that extend the time limit
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
		timeLimit := p.stallTimeout + time.Duration(min(p.bytesRead, p.maxTimedBytes))*time.Second/minBytesPerSecond
		p.timeoutTimer.Reset(min(p.stallTimeout, timeLimit-time.Since(p.firstByteAt)))
	}
	return n, err
}
