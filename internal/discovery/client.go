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
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"crossdeal/internal/httpconn"
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
	acceptanceDelay      = 2200 * time.Millisecond
	knownDelay           = 6 * time.Second // a change counts as known so long after discovery had it and could be reached
	unansweredHoldMargin = 2 * time.Second // the same for a watch without an answer, after its hold time, if that is later
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
	maxKeptBodyBytes    = 64 << 10 // of an answer that is kept until the answer is reported
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
	errUnresponsive    = errors.New("discovery does not answer")
	errListTooLarge    = errors.New("the list is too large")
	errUnreadable      = errors.New("the answer is not a list")             // for example, truncated
	errOlderGeneration = errors.New("the list is older than the known one") // for example, a late answer
	// The directory has changed since the answer was compared with it.
	errDirectoryChanged = errors.New("a late answer changed the list meanwhile")
)

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

// Client requests the list and watches it. Only one Watch may run at a time, apart from one that has reported an error.
type Client struct {
	httpClient     *http.Client
	directory      *Directory
	store          *Store
	log            *slog.Logger
	events         chan<- any
	timing         timing
	pushed         bool
	maxAnswerBytes int64 // size limit of an answer

	watcherTurn    chan struct{} // held by the running Watch
	successorWaits chan struct{} // the next Watch waits for its turn
	callEnded      chan struct{} // a call has ended

	// The fields up to hasList belong to the running Watch.

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
	answerDelay   time.Duration // how long discovery last took for an answer or a rejection, apart from waiting for a change
	discoveryBusy bool          // discovery is too busy for a large fleet that calls without pauses
	hasList       bool          // there is a list at generation

	wake           chan struct{} // ends a pause: the address of discovery has changed
	mu             sync.Mutex    // guards the fields below
	baseURL        string
	addressChanged bool          // since the last call began
	currentCall    *call         // the call in progress
	lateCalls      []*call       // overdue calls that may still be answered, in the order in which they began
	applied        chan struct{} // closed once the receiver has applied the last update; nil before the first
	revision       int           // number of updates that changed the directory
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
		events: events, wake: make(chan struct{}, 1), watcherTurn: make(chan struct{}, 1),
		successorWaits: make(chan struct{}, 1), callEnded: make(chan struct{}, 1),
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
//
// After an error Watch goes on to report late answers until the next Watch begins.
func (c *Client) Watch(ctx context.Context) {
	release, ok := c.becomeWatcher(ctx)
	if !ok {
		return
	}
	defer release()
	c.watch(ctx)
	c.awaitLateAnswers(ctx)
}

// watch makes calls until one fails.
func (c *Client) watch(ctx context.Context) {
	if c.timing.firstPause > 0 && !c.firstCallMade && !c.restarted {
		c.wait(ctx, time.Duration(c.rng.Int64N(int64(c.timing.firstPause))))
	}
	badAnswers, hasCalled := 0, false // unusable answers in a row; whether this watch has made a call
	for ctx.Err() == nil {
		first := c.timing.busyPause > 0 && !c.firstCallMade || c.pushed && !hasCalled
		c.firstCallMade, hasCalled = true, true
		l := c.startCall(ctx, first || badAnswers > 0)
		err := c.awaitAnswer(ctx, l)
		if moved := c.endCall(); ctx.Err() != nil {
			return
		} else if moved {
			badAnswers, c.meanBackoff = 0, 0
			continue // the answer of the old address is dropped: the new address has the same changes
		}
		if err == nil {
			err = c.checkAnswer(ctx, l)
		}
		c.noteEnd(l, err)
		if errors.Is(err, errDirectoryChanged) {
			continue
		}
		if !errors.Is(err, errOlderGeneration) {
			c.olderSince = time.Time{}
		} else if c.olderSince.IsZero() {
			c.olderSince = time.Now()
		}
		unusable := errors.Is(err, errUnreadable) || errors.Is(err, errOlderGeneration) || errors.Is(err, errListTooLarge)
		if unusable {
			c.emit(ctx, Event{UnusableAnswer: true, CurrentAsOf: c.unansweredSince(l)})
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
			c.discoveryBusy = c.discoveryBusy || isOverload(err)
			c.emit(ctx, Event{Err: err, Unresponsive: isUnresponsive(err), Rejected: isRejection(err),
				NotSent: isNotSent(err), CurrentAsOf: c.unansweredSince(l)})
			return
		}
		badAnswers = 0
		pause := c.pauseAfter(l, first)
		c.accept(ctx, l)
		c.wait(ctx, pause)
	}
}

// startCall starts a call: for the whole list if there is none, with a minimal hold time if direct, or a watch.
func (c *Client) startCall(ctx context.Context, direct bool) *call {
	ctx, cancel := context.WithCancel(ctx)
	l := &call{limit: c.timing.answerTimeout, startedAt: time.Now(), cancel: cancel,
		begun: make(chan struct{}), overdue: make(chan struct{}), ended: make(chan struct{})}
	if moved := c.beginCall(l); moved { // the generations of another address may count another list
		c.hasList = false
	}
	l.url = l.base + "/discovery/hosts"
	switch {
	case c.hasList && direct: // the answer need not wait for a change
		l.url = fmt.Sprintf("%s?from=%d&hold_ms=%d", l.url, c.generation, promptHoldTime.Milliseconds())
	case c.hasList:
		l.holdTime = c.timing.holdTime
		l.url = fmt.Sprintf("%s?from=%d&hold_ms=%d", l.url, c.generation, l.holdTime.Milliseconds())
		l.limit = l.holdTime + c.timing.answerMargin
	}
	c.log.Debug("list call", "url", l.url, "limit", l.limit.String())
	go c.run(ctx, l)
	return l
}

// accept reports the list of an answer, which supersedes what calls that began earlier may still bring.
func (c *Client) accept(ctx context.Context, l *call) {
	list := l.list
	if _, err := c.awaitApplied(ctx); err != nil {
		return
	}
	c.saveUpdate()
	if len(list.Rows) > 0 || list.Generation != c.generation || !c.hasList {
		c.unsavedUpdate, c.unsavedOrigin = &list.Update, strings.TrimPrefix(l.base, "http://")
	}
	c.generation, c.hasList = list.Generation, true
	c.dropLateCalls(l.startedAt)
	applied := make(chan struct{})
	c.mu.Lock()
	c.applied = applied
	if len(list.Rows) > 0 {
		c.revision++
	}
	c.mu.Unlock()
	c.emit(ctx, Event{Update: list.Update, HasUpdate: true, Late: l.late, CurrentAsOf: c.listCurrentAsOf(l),
		Done: sync.OnceFunc(func() { close(applied) })})
}

// listCurrentAsOf returns the time up to which the list has all changes with the answer to a call. Discovery that is
// requested has read the list when the answer began, or earlier by its delay. An agent may have read the list when the
// call came, or, if it waited for a change that did not come, at the end of the hold time; so may discovery that is late.
func (c *Client) listCurrentAsOf(l *call) time.Time {
	switch {
	case !c.pushed && !l.late:
		return l.firstByteAt.Add(-min(c.answerDelay, l.firstByteAt.Sub(l.startedAt)))
	case l.list.rowCount == 0 && time.Since(l.startedAt) >= l.holdTime:
		return l.startedAt.Add(l.holdTime)
	}
	return l.startedAt
}

// unansweredSince returns the time up to which the list has all changes while a call has no answer that can be used;
// zero for now. Where lists are requested, the changes that a watch without an answer misses count as known
// unansweredHoldMargin after the end of its hold time, and all others knownDelay after they were made.
func (c *Client) unansweredSince(l *call) time.Time {
	switch {
	case c.pushed:
		return l.startedAt
	case l.isWatch() && l.late:
		return l.startedAt.Add(max(l.holdTime+unansweredHoldMargin-knownDelay, 0))
	}
	return time.Time{}
}

// pauseAfter returns how long to pause after an answer that can be used.
func (c *Client) pauseAfter(l *call, first bool) time.Duration {
	took, rowCount, changes := time.Since(l.startedAt), l.list.rowCount, len(l.list.Rows)
	emptyAtOnce := changes == 0 && took < minEmptyAnswerTime && l.isWatch() // answered at once, without changes
	if !l.isWatch() || rowCount > 0 && took < promptAnswerTime {
		c.discoveryBusy = took >= promptAnswerTime
	}
	if emptyAtOnce {
		return c.nextBackoff()
	}
	c.meanBackoff = 0
	if c.discoveryBusy && c.timing.busyPause > 0 && (rowCount > 0 && took > busyAnswerTime || rowCount == 0 && first) {
		return c.timing.busyPause*92/100 + time.Duration(c.rng.Int64N(int64(c.timing.busyPause)*16/100))
	}
	return 0
}

// noteEnd notes how a call for the list ended, and logs it at debug level.
func (c *Client) noteEnd(l *call, err error) {
	c.noteAnswerDelay(l, err)
	attrs := []any{"took", time.Since(l.startedAt).String(), "late", l.late}
	if err != nil {
		c.log.Debug("list call ended", append(attrs, "err", err)...)
		return
	}
	c.log.Debug("list call ended", append(attrs, "generation", l.list.Generation, "whole", l.list.Whole,
		"rows", l.list.rowCount)...)
}

// noteAnswerDelay notes how long discovery took for an answer. A watch shows it only if no change came.
func (c *Client) noteAnswerDelay(l *call, err error) {
	took := time.Since(l.startedAt)
	switch {
	case isRejection(err):
		c.answerDelay = max(c.answerDelay, took)
	case err != nil:
	case l.isWatch() && l.list.rowCount == 0:
		c.answerDelay = max(took-l.holdTime, 0)
	case l.isWatch():
		c.answerDelay = min(c.answerDelay, took)
	default:
		c.answerDelay = took
	}
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

// checkAnswer returns the error of a call that has ended, or an error if its list cannot be used: changes where there is
// no list yet, a whole list without instances, or a list that is older than the known one.
func (c *Client) checkAnswer(ctx context.Context, l *call) error {
	if l.err != nil {
		return l.err
	}
	if err := c.compareAgain(ctx, l); err != nil {
		return err
	}
	list := l.list
	switch {
	case !c.hasList && !list.Whole, list.Whole && !list.hasInstances:
		return errUnreadable
	case c.hasList && list.Generation < c.generation:
		return fmt.Errorf("%w: generation %d", errOlderGeneration, list.Generation)
	}
	return nil
}

// awaitAnswer waits until a call has ended or is overdue, and returns its error. If the call is a watch, it reports when
// discovery has accepted it; where lists are pushed, it also reports when an answer has begun and is slow to arrive.
// Late answers to earlier calls are reported as they come.
func (c *Client) awaitAnswer(ctx context.Context, l *call) error {
	if _, err := c.awaitApplied(ctx); err == nil {
		c.saveUpdate() // nothing changes the directory meanwhile: the next update is only reported after this
	}
	begun, progress := l.begun, Event{WatchAccepted: l.isWatch()}
	reportTimer := time.NewTimer(max(c.timing.acceptanceDelay, c.answerDelay*3/2))
	defer reportTimer.Stop()
	for {
		select {
		case <-l.ended:
			return l.err
		case <-l.overdue:
			if l.hasEnded() {
				return l.err
			}
			l.late = true
			c.keepOverdue(l)
			return l.overdueError()
		case <-begun: // a long answer is not a watch that waits for a change
			begun, progress = nil, Event{AnswerBegun: c.pushed, CurrentAsOf: c.unansweredSince(l)}
			reportTimer.Reset(c.timing.acceptanceDelay)
		case <-reportTimer.C:
			if progress.WatchAccepted || progress.AnswerBegun { // changes are being transferred, and the transfer may fail
				c.emit(ctx, progress)
			}
		case <-c.callEnded:
			c.handleLateAnswers(ctx)
		}
	}
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

// awaitApplied waits until the receiver has applied the last update, and returns the revision of the directory. An
// answer that is compared with the directory before that would be compared with an old list.
func (c *Client) awaitApplied(ctx context.Context) (revision int, err error) {
	for {
		c.mu.Lock()
		applied, revision := c.applied, c.revision
		c.mu.Unlock()
		if applied == nil {
			return revision, nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		if c.currentRevision() == revision {
			return revision, nil
		}
	}
}

// currentRevision returns the number of updates that changed the directory.
func (c *Client) currentRevision() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
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
	for over := time.After(pause); ; {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			return
		case <-over:
			return
		case <-c.callEnded:
			c.handleLateAnswers(ctx)
		}
	}
}

// beginCall makes l the call in progress, with the current address. It reports whether the address has changed since the
// last call.
func (c *Client) beginCall(l *call) (moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved, c.addressChanged = c.addressChanged, false
	select {
	case <-c.wake: // this call goes to the new address
	default:
	}
	l.base, c.currentCall = c.baseURL, l
	return moved
}

// endCall ends the call in progress and reports whether discovery's address has changed since it began.
func (c *Client) endCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentCall = nil
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

// SetAddress changes the address of discovery. Calls to the old one that are in progress or overdue are cancelled.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.baseURL, c.addressChanged = "http://"+addr, true
	if c.currentCall != nil {
		c.currentCall.cancel()
	}
	for _, l := range c.lateCalls {
		l.cancel()
	}
	c.lateCalls = nil
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up that is still pending covers this change too
	}
}
