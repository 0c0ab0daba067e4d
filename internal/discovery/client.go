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
	watchHold  = 4 * time.Second // how long a watch may wait for news; one that is lost shows soon after
	watchSlack = time.Second     // and how much later its answer may come; changes count as told 2 s later
	listTime   = 2 * time.Second // for the whole list, which comes at once where it comes at all
	// Calls of a fleet add up: where discovery takes one after the other, it rejects what waits for 2 s, and what it
	// rejected costs it time too. Many senders go on watching while it answers soon, and pause once it is overbooked.
	SpreadFrom = 8                       // senders from which on that is so
	spreadHold = 13 * time.Second        // how long a watch may wait for news then: with the slack and a pause it is in force within 17 s
	busyAfter  = 1300 * time.Millisecond // an answer with news that took longer is followed by a pause
	spreadEach = 145 * time.Millisecond  // the mean of that, for each sender ...
	spreadMost = 4400 * time.Millisecond // ... and the longest mean: with 2 s for the next answer it stays under ListAge
	firstMost  = 5250 * time.Millisecond // before the first call: a fleet that starts meets discovery all at once ...
	firstEach  = 50 * time.Millisecond   // ... where that can help: discovery needs so long for a call without news
	prompt     = 25 * time.Millisecond   // an answer that need not wait for news comes sooner, unless discovery is busy
	promptHold = time.Millisecond        // hold of the call that asks for such an answer
	accepted   = 2200 * time.Millisecond // a call that is out for longer was not rejected: it waits for news
	ListAge    = 5800 * time.Millisecond // of an answer, when what changed since counts as told; a bit less than 6 s
	emptyPause = 100 * time.Millisecond  // an answer with nothing new that comes sooner than this did not wait: a backoff follows
	badMost    = 5                       // answers that can't be taken, one after the other, until the call counts as failed
	badFirst   = 100 * time.Millisecond  // mean backoff after an answer that can't be taken, doubled with each ...
	badLongest = 2800 * time.Millisecond // ... up to this: with a quarter more and the next call it stays under 6 s
	LeastBytes = 4 << 20                 // bytes of an answer that are always taken
	rowBytes   = 96                      // of an answer: it has no more rows than bytes / rowBytes
	readAhead  = 64 << 10                // bytes of an answer that are read at once
	silence    = 2 * time.Second         // between bytes of an answer that has begun; that long it may take in any case ...
	slowest    = 128 << 10               // ... and a second for so many bytes beyond that
	warnEvery  = time.Second             // between two warnings of failed calls
	usualRow   = 200                     // bytes of a row, to guess an answer's size
	leastPaid  = 64 << 10                // bytes of an answer that buy it time, however short the known list is
	trailer    = 4 << 10                 // bytes behind a list that are read, to keep the connection ...
	trailTime  = 100 * time.Millisecond  // ... and for how long
)

var (
	errUnavailable = errors.New("discovery answered 503") // it has no time for a call
	errSilent      = errors.New("discovery does not answer")
	errOversize    = errors.New("the list is too large")
	errUnreadable  = errors.New("the answer is no list")                        // cut short, say
	errOlder       = errors.New("the list is older than the one that is known") // a late answer, say
)

// Event is news of the list, or of a call for it that failed.
type Event struct {
	Update   Update
	News     bool   // Update is an answer
	Watched  bool   // no news yet: it is told from now on as soon as there is any
	Begun    bool   // pushed lists: an answer has begun to come and takes its time, so what is known may be old
	Unusable bool   // an answer came that can't be used: it may have held news, which is asked for again
	Err      error  // of a call that failed; the watch has ended
	Silent   bool   // Err: nobody answered
	Done     func() // the loop calls it once the update is applied; nil if there is none
}

// Config is what a client needs to know.
type Config struct {
	Addr      string        // of discovery, host:port
	Senders   int           // that share discovery
	Pushed    bool          // an agent on this machine has the list; else it comes only to who asks
	Grace     time.Duration // for which what begins to drain may still be called
	Seed      uint64
	MaxBytes  int64 // of an answer; LeastBytes at least
	Directory *Directory
	Store     *Store // keeps the list for the next start; nil for none
	Log       *slog.Logger
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error) // nil for TCP
}

// Client asks for the list. Only one Watch runs at a time.
type Client struct {
	client  *http.Client
	dir     *Directory
	store   *Store
	log     *slog.Logger
	events  chan<- any
	timing  timing
	pushed  bool
	most    int64         // bytes of an answer
	rng     *rand.Rand    // sets our calls apart from those of other senders; used by one watch at a time, as are ...
	gen     int64         // ... the version of the list that the loop has ...
	back    bool          // ... whether this is a restart ...
	begun   bool          // ... whether the first call has been made ...
	backoff time.Duration // ... the mean pause after an answer that can't be taken, 0 after a good one ...
	// ... since when all answers are older than what is known; zero if the last one was not ...
	olderSince time.Time
	warned     time.Time     // when a failed call was last logged as a warning
	unsaved    *Update       // ... the update that is yet to be saved ...
	source     string        // ... the address that it came from ...
	noRoom     int           // ... how long a list had no room on disk, 0 if none did ...
	unkept     bool          // ... whether the last update could not be saved ...
	busy       bool          // ... whether discovery is too busy for many senders that ask at once ...
	started    bool          // ... and whether there is such a list
	applied    chan struct{} // closed once the loop has applied the last update; nil before the first
	wake       chan struct{} // ends a pause: discovery has moved
	mu         sync.Mutex
	base       string
	moved      bool               // since the last call began
	cut        context.CancelFunc // ends the call under way
}

// NewClient returns a client that sends an Event for whatever it learns.
func NewClient(cfg Config, events chan<- any) *Client {
	times := requestedTiming(cfg.Senders, cfg.Grace)
	if cfg.Pushed {
		times = pushedTiming(cfg.Grace)
	}
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	return &Client{base: "http://" + cfg.Addr, timing: times, pushed: cfg.Pushed, most: max(cfg.MaxBytes, LeastBytes),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), dir: cfg.Directory, store: cfg.Store, log: cfg.Log, events: events, wake: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// Begin says what is known at the start, before the first Watch: the generation of the list in the directory, below 0
// if there is none, and whether this is a restart.
func (d *Client) Begin(generation int64, restart bool) {
	d.back = restart
	if d.started = generation >= 0; d.started {
		d.gen = generation
	}
}

// Watch reports changes until a call fails. Each call follows the last answer at once, so that nothing is missed in
// between, unless discovery is overbooked. Among many senders the first does not wait for news, which shows whether
// discovery has time; how long a watch takes tells of the news alone. A restarted sender makes it at once: what it
// would be told counts as told. At a first start the list is new, and a fleet's calls spread. Where lists are pushed,
// the first call of each watch does not wait: it shows at once what the agent has, or that it is silent.
func (d *Client) Watch(ctx context.Context) {
	if d.timing.firstPause > 0 && !d.begun && !d.back {
		d.wait(ctx, time.Duration(d.rng.Int64N(int64(d.timing.firstPause))))
	}
	bad, asked := 0, false // answers in a row that made no sense; whether this watch has made a call
	for ctx.Err() == nil {
		first := d.timing.busyPause > 0 && !d.begun || d.pushed && !asked
		d.begun, asked = true, true
		call, base, moved := d.begin(ctx)
		if moved { // its list begins anew: the versions of another address may be others
			d.started = false
		}
		url, limit := base+"/discovery/hosts", listTime
		direct := !d.started || first || bad > 0 // the answer need not wait for news
		switch {
		case d.started && direct:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, d.gen, promptHold.Milliseconds())
			limit = d.timing.answer
		case d.started:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, d.gen, d.timing.hold.Milliseconds())
			limit = d.timing.hold + d.timing.slack
		}
		at := time.Now()
		d.log.Debug("list call", "url", url, "limit", limit.String())
		list, err := d.await(call, url, limit, !direct)
		d.logAnswer(list, err, time.Since(at))
		if moved := d.end(); ctx.Err() != nil {
			return
		} else if moved {
			bad, d.backoff = 0, 0
			continue // what the old address said last, the new one says too
		}
		if err == nil {
			err = d.sense(list)
		}
		if !errors.Is(err, errOlder) {
			d.olderSince = time.Time{}
		} else if d.olderSince.IsZero() {
			d.olderSince = time.Now()
		}
		unusable := errors.Is(err, errUnreadable) || errors.Is(err, errOlder) || errors.Is(err, errOversize)
		if unusable {
			d.emit(ctx, Event{Unusable: true})
		}
		if bad++; bad < badMost && unusable {
			pause := d.backOff()
			d.log.Log(ctx, d.warnLevel(), "discovery, the list stays as it is", "err", err, "known", d.gen, "again in", pause.String())
			d.wait(ctx, pause) // not for long: what it has to tell counts as told
			continue
		}
		if errors.Is(err, errOlder) && time.Since(d.olderSince) >= d.timing.renumbered {
			d.started = false // not a late answer: its count has begun anew
		}
		if err != nil {
			d.log.Log(ctx, d.warnLevel(), "discovery", "err", err)
			d.busy = d.busy || errors.Is(err, errUnavailable)
			d.emit(ctx, Event{Err: err, Silent: isSilent(err)})
			return
		}
		pause, took := time.Duration(0), time.Since(at)
		idle := len(list.Rows) == 0 && took < emptyPause && !direct // answered at once, with nothing new
		if bad = 0; !idle {
			d.backoff = 0
		}
		if direct || list.count > 0 && took < prompt {
			d.busy = took >= prompt
		}
		if len(list.Rows) > 0 || list.Generation != d.gen || !d.started {
			d.unsaved, d.source = &list.Update, strings.TrimPrefix(base, "http://")
		}
		d.gen, d.started = list.Generation, true
		applied := make(chan struct{})
		d.applied = applied
		d.emit(ctx, Event{Update: list.Update, News: true, Done: sync.OnceFunc(func() { close(applied) })})
		switch {
		case idle:
			pause = d.backOff()
		case d.busy && d.timing.busyPause > 0 && (list.count > 0 && took > busyAfter || list.count == 0 && first):
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
	d.log.Debug("list call ended", "took", took.String(), "generation", list.Generation, "whole", list.Whole, "rows", list.count)
}

// warnLevel is the level at which a call that failed is logged: where calls follow each other closely, not each as a
// warning.
func (d *Client) warnLevel() slog.Level {
	now := time.Now()
	if d.pushed && now.Sub(d.warned) < warnEvery {
		return slog.LevelDebug
	}
	d.warned = now
	return slog.LevelWarn
}

// sense says what is wrong with a list, if anything is: changes where there is nothing to change yet, a whole list with
// no word of instances, or a list that is older than what is known.
func (d *Client) sense(list *answer) error {
	switch {
	case !d.started && !list.Whole, list.Whole && !list.listed:
		return errUnreadable
	case d.started && list.Generation < d.gen:
		return fmt.Errorf("%w: generation %d", errOlder, list.Generation)
	}
	return nil
}

// isSilent says whether a call failed because nobody answered: no connection came up, or nothing came over it.
func isSilent(err error) bool {
	var op *net.OpError
	return errors.Is(err, errSilent) && !errors.Is(err, errUnreadable) || errors.As(err, &op) && op.Op == "dial"
}

// await makes a call, and tells the loop once it waits for news, if it may.
func (d *Client) await(ctx context.Context, url string, limit time.Duration, watch bool) (*answer, error) {
	type result struct {
		list *answer
		err  error
	}
	answers, begun := make(chan result, 1), make(chan struct{})
	go func() {
		list, err := d.get(ctx, url, limit, begun)
		answers <- result{list, err}
	}()
	if d.settled(ctx) == nil {
		d.save() // the answer is not compared with what changes meanwhile: the next update is told after this
	}
	out := time.NewTimer(d.timing.accepted)
	defer out.Stop()
	select {
	case a := <-answers:
		return a.list, a.err
	case <-begun: // it may be long: that is no wait for news
	case <-out.C:
		if watch {
			d.emit(ctx, Event{Watched: true})
		}
		select {
		case a := <-answers:
			return a.list, a.err
		case <-begun:
		}
	}
	if d.pushed { // news is on its way, and may not arrive
		out.Reset(d.timing.accepted)
		select {
		case a := <-answers:
			return a.list, a.err
		case <-out.C:
			d.emit(ctx, Event{Begun: true})
		}
	}
	a := <-answers
	return a.list, a.err
}

// save keeps the last update on disk once it is applied, as a change or with the whole list.
func (d *Client) save() {
	u := d.unsaved
	if d.unsaved = nil; u == nil || d.store == nil || !d.dir.Known() || d.noRoom > 0 && d.dir.Len()*10 > d.noRoom*9 {
		return
	}
	saved, err := d.store.Peek()
	whole := err != nil || saved.Origin != d.source || d.store.Stale()
	if !whole {
		err = d.store.Append(u.Generation, u.Rows)
		whole = err != nil && d.store.Stale()
	}
	if whole {
		d.noRoom = 0
		if err = d.store.Replace(d.source, u.Generation, d.dir.All()); errors.Is(err, errNoRoom) {
			d.noRoom = d.dir.Len()
		}
	}
	if err != nil && !d.unkept {
		d.log.Warn("the list is not kept for the next start", "entries", d.dir.Len(), "err", err)
	}
	d.unkept = err != nil
}

// emit sends an event, unless ctx ends first.
func (d *Client) emit(ctx context.Context, ev Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// settled waits until the loop has applied the last update: what is compared before would be told as it was before.
func (d *Client) settled(ctx context.Context) error {
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

// backOff is the pause after an answer that can't be taken. It grows until a good one comes, also from one watch to the
// next.
func (d *Client) backOff() time.Duration {
	d.backoff = min(max(2*d.backoff, d.timing.backoffFirst), d.timing.backoffMost)
	return d.backoff*3/4 + time.Duration(d.rng.Int64N(int64(d.backoff)/2))
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

// begin says where the next call goes, and whether that is another address than before.
func (d *Client) begin(ctx context.Context) (call context.Context, base string, moved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved, d.moved = d.moved, false
	select {
	case <-d.wake: // this call goes to the new address
	default:
	}
	call, d.cut = context.WithCancel(ctx)
	return call, d.base, moved
}

// end lets go of a call and says whether discovery has moved since it began.
func (d *Client) end() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut()
	d.cut = nil
	return d.moved
}

// IsMoved says whether discovery has moved since the last call began.
func (d *Client) IsMoved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.moved
}

// Address is where calls go now.
func (d *Client) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.base
}

// Move takes another address from now on. A call under way to the old one is called off.
func (d *Client) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.base, d.moved = "http://"+addr, true
	if d.cut != nil {
		d.cut()
	}
	select {
	case d.wake <- struct{}{}:
	default: // one that is not taken yet stands for this one too
	}
}

// get makes a call. Its answer has to begin within limit; from then on it has to come on. begun is closed as soon as
// there is one.
func (d *Client) get(ctx context.Context, url string, limit time.Duration, begun chan<- struct{}) (*answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := time.Now().Add(limit)
	over := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer over.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.drain(resp.Body, over)
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil, errUnavailable
		}
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if resp.ContentLength > d.most {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errOversize, resp.ContentLength, d.most)
	}
	left := time.Until(end)
	over.Stop() // what follows is no fault of discovery's
	if err := d.settled(ctx); err != nil {
		return nil, err
	}
	over.Reset(left)
	body := &progress{in: resp.Body, over: over, most: d.most, begun: begun, stall: d.timing.stall, paid: d.most}
	if known := d.dir.Len(); d.timing.bounded && known > 0 {
		body.paid = max(leastPaid, 2*int64(known)*usualRow)
	}
	list, err := d.dir.read(bufio.NewReaderSize(body, readAhead), int(d.most/rowBytes))
	switch cause := context.Cause(ctx); {
	case errors.Is(err, errOversize):
		return nil, err
	case err != nil && cause != nil:
		return nil, fmt.Errorf("%w: %d bytes came, not in time: %w", errUnreadable, body.read, cause)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	d.drain(resp.Body, over)
	return list, nil
}

// drain reads what little there is behind an answer, so that its connection can be used again.
func (d *Client) drain(body io.Reader, over *time.Timer) {
	over.Reset(trailTime)
	io.Copy(io.Discard, io.LimitReader(body, trailer))
}

// progress reads an answer that may take as long as it comes on, up to a number of bytes.
type progress struct {
	in    io.Reader
	over  *time.Timer // ends the call
	most  int64
	read  int64
	begun chan<- struct{}
	at    time.Time     // of the first byte
	stall time.Duration // between bytes
	paid  int64         // bytes that buy time
}

func (p *progress) Read(b []byte) (int, error) {
	n, err := p.in.Read(b)
	if n > 0 && p.read == 0 {
		p.at = time.Now()
		close(p.begun)
	}
	if p.read += int64(n); p.read > p.most {
		return 0, fmt.Errorf("%w: over %d bytes, the limit is %d", errOversize, p.read, p.most)
	}
	if n > 0 {
		all := p.stall + time.Duration(min(p.read, p.paid))*time.Second/slowest
		p.over.Reset(min(p.stall, all-time.Since(p.at)))
	}
	return n, err
}
