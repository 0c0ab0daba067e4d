package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"crossdeal/logic"
)

const (
	watchHold  = 4 * time.Second // how long a watch may wait for news; one that is lost shows soon after
	watchSlack = time.Second     // and how much later its answer may come; changes count as told 2 s later
	listTime   = 2 * time.Second // for the whole list, which comes at once where it comes at all
	// Calls of a fleet add up: where discovery takes one after the other, it turns away what waits for 2 s, and what it
	// turned away costs it time too. Many senders go on watching while it answers soon, and pause once it is overbooked.
	apartFrom  = 8                       // senders from which on that is so
	apartHold  = 18 * time.Second        // how long a watch may wait for news then
	apartBusy  = 1300 * time.Millisecond // an answer with news that took longer is followed by a pause
	apartEach  = 145 * time.Millisecond  // the mean of that, for each sender ...
	apartMost  = 4400 * time.Millisecond // ... and the longest mean: with 2 s for the next answer it stays under listAge
	firstMost  = 5250 * time.Millisecond // before the first call: a fleet that starts meets discovery all at once ...
	firstEach  = 50 * time.Millisecond   // ... where that can help: discovery needs so long for a call without news
	prompt     = 25 * time.Millisecond   // an answer that need not wait for news comes sooner, unless discovery is busy
	promptHold = time.Millisecond        // hold of the call that asks for such an answer
	accepted   = 2200 * time.Millisecond // a call that is out for longer was not turned away: it waits for news
	listAge    = 5800 * time.Millisecond // of an answer, when what changed since counts as told; a bit less than 6 s
	emptyPause = 100 * time.Millisecond  // between watches that are answered at once with nothing, or with nonsense
	badMost    = 5                       // answers with nonsense, one after the other, until discovery is left alone for a while
	goneKept   = 10 * time.Minute        // what is not listed keeps its number for so long
	maxList    = 4 << 20
)

var (
	errTurnedAway = errors.New("discovery answered 503")                       // it has no time for a call
	errUnreadable = errors.New("the answer is no list")                        // cut short, say
	errOlder      = errors.New("the list is older than the one that is known") // a late answer, say
)

// List is discovery's answer.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint of the list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int64   `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

// listEvent is news of the list, or of a call for it that failed.
type listEvent struct {
	list    List
	watched bool // no news yet: it is told from now on as soon as there is any
	err     error
}

// directory maps the list's names to the module's numbers. The loop owns it.
type directory struct {
	zones []string
	kinds []logic.Kind
	ids   map[string]logic.EndpointID
	eps   map[logic.EndpointID]target
	last  logic.EndpointID
	gone  map[string]time.Time // since when a name is not listed

	unusable int // entries of lists that made no sense
}

// target is where an endpoint can be reached.
type target struct {
	addr string
	zone int
	dest int64
	kind int
}

func newDirectory(cfg *Config) *directory {
	return &directory{zones: cfg.Deploy.Zones, kinds: cfg.Deploy.Settings.Kinds,
		ids: map[string]logic.EndpointID{}, eps: map[logic.EndpointID]target{}, gone: map[string]time.Time{}}
}

// take turns a list into the module's entries. An endpoint keeps its number while it is listed and for some time after,
// whatever its address.
func (d *directory) take(l List) []logic.Entry {
	now := time.Now()
	if l.Reset {
		for name := range d.ids {
			if _, gone := d.gone[name]; !gone {
				d.gone[name] = now
			}
		}
	}
	rows := make([]logic.Entry, 0, len(l.Instances))
	for _, in := range l.Instances {
		if !d.usable(in) {
			d.unusable++
			continue
		}
		id := d.number(in.ID)
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: in.Dest, Nominal: in.Weight,
			Kind: slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.Kind })}
		delete(d.gone, in.ID)
		switch in.Lifecycle {
		case "up":
			row.State = logic.Ready
		case "removed":
			row.State = logic.Gone
			d.gone[in.ID] = now
		default: // a state that is not known is no invitation to send
			row.State = logic.Draining
		}
		if reachable(in.HostPort) {
			d.eps[id] = target{in.HostPort, row.Zone, row.Dest, row.Kind}
		}
		rows = append(rows, row)
	}
	return rows
}

// usable says whether an entry makes sense: it has a name, and what is new has an address too.
func (d *directory) usable(in Instance) bool {
	return in.ID != "" && (reachable(in.HostPort) || d.eps[d.ids[in.ID]].addr != "" || in.Lifecycle == "removed")
}

// reachable says whether an address can be called.
func reachable(hostPort string) bool {
	host, port, err := net.SplitHostPort(hostPort)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && bad == nil && host != "" && n > 0
}

// number is the module's number for a name, a new one if the name is new.
func (d *directory) number(name string) logic.EndpointID {
	id, ok := d.ids[name]
	if !ok {
		d.last++
		id = d.last
		d.ids[name] = id
	}
	return id
}

// adopt takes the numbers of another process.
func (d *directory) adopt(ids map[string]logic.EndpointID) {
	d.ids = ids
	for _, id := range ids {
		d.last = max(d.last, id)
	}
}

// forget drops what has not been listed for long, unless it is still in use.
func (d *directory) forget(now time.Time, used func(name string, id logic.EndpointID) bool) {
	for name, since := range d.gone {
		if id := d.ids[name]; now.Sub(since) > goneKept && !used(name, id) {
			delete(d.gone, name)
			delete(d.ids, name)
			delete(d.eps, id)
		}
	}
}

// discovery asks for the list. A watch runs from listen until a call fails.
type discovery struct {
	client  *http.Client
	log     *slog.Logger
	events  chan<- any
	hold    time.Duration // how long a watch may wait for news
	apart   time.Duration // mean pause after news from discovery that is busy
	first   time.Duration // longest pause before the first call
	rng     *rand.Rand    // sets our calls apart from those of other senders; used by one watch at a time, as are ...
	gen     int64         // ... the version of the list that the loop has ...
	back    bool          // ... whether this is a restart ...
	begun   bool          // ... whether the first call has been made ...
	busy    bool          // ... whether discovery is too busy for many senders that ask at once ...
	started bool          // ... and whether there is such a list
	turn    chan struct{} // wakes a pause: discovery has moved
	mu      sync.Mutex
	base    string
	moved   bool               // since the last call began
	cut     context.CancelFunc // ends the call under way
}

func newDiscovery(addr string, senders int, grace time.Duration, seed uint64, log *slog.Logger, events chan<- any) *discovery {
	hold, apart, first := watchHold, time.Duration(0), time.Duration(0)
	if senders >= apartFrom {
		each := time.Duration(min(senders, 1000)) * apartEach
		hold, apart, first = apartHold, min(each, apartMost), min(each, firstMost)
		if time.Duration(min(senders, 1000))*firstEach > firstMost {
			// If discovery took one call after the other, no spread would do. It is as the protocol has it, with an
			// answer at once, and what begins to drain after the start may still be called for the grace.
			first = min(first, grace)
		}
	}
	return &discovery{base: "http://" + addr, hold: hold, apart: apart, first: first, rng: rand.New(rand.NewPCG(seed, 1)), log: log, events: events,
		turn: make(chan struct{}, 1), client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// watch reports changes until a call fails. Each call follows the last answer at once, so that nothing is missed in
// between, unless discovery is overbooked. Among many senders the first does not wait for news, which shows whether
// discovery has time; how long a watch takes tells of the news alone. A restarted sender makes it at once: what it
// would be told counts as told. At a first start the list is new, and a fleet's calls spread.
func (d *discovery) watch(ctx context.Context) {
	if d.first > 0 && !d.begun && !d.back {
		d.wait(ctx, time.Duration(d.rng.Int64N(int64(d.first))))
	}
	bad := 0 // answers in a row that made no sense
	for ctx.Err() == nil {
		first := d.apart > 0 && !d.begun
		d.begun = true
		call, base, moved := d.begin(ctx)
		if moved { // its list begins anew: the versions of another address may be others
			d.started = false
		}
		url, limit := base+"/discovery/hosts", listTime
		direct := !d.started || first || bad > 0 // the answer need not wait for news
		switch {
		case d.started && direct:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, d.gen, promptHold.Milliseconds())
		case d.started:
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, d.gen, d.hold.Milliseconds())
			limit = d.hold + watchSlack
		}
		at := time.Now()
		list, err := d.await(call, url, limit)
		if moved := d.end(); ctx.Err() != nil {
			return
		} else if moved {
			bad = 0
			continue // what the old address said last, the new one says too
		}
		if err == nil {
			err = d.sense(list)
		}
		if bad++; bad < badMost && (errors.Is(err, errUnreadable) || errors.Is(err, errOlder)) {
			d.log.Warn("discovery, the list stays as it is", "err", err, "generation", list.Generation, "known", d.gen)
			d.wait(ctx, emptyPause) // it has time, and what it has to tell counts as told
			continue
		}
		if errors.Is(err, errOlder) {
			d.started = false // not a late answer: its count has begun anew
		}
		if err != nil {
			d.log.Warn("discovery", "err", err)
			d.busy = d.busy || errors.Is(err, errTurnedAway)
			d.events <- listEvent{err: err}
			return
		}
		bad = 0
		d.gen, d.started = list.Generation, true
		pause, took := time.Duration(0), time.Since(at)
		if direct || len(list.Instances) > 0 && took < prompt {
			d.busy = took >= prompt
		}
		d.events <- listEvent{list: list}
		switch {
		case len(list.Instances) == 0 && took < emptyPause && !direct:
			pause = emptyPause
		case d.busy && d.apart > 0 && (len(list.Instances) > 0 && took > apartBusy || len(list.Instances) == 0 && first):
			pause = d.apart*92/100 + time.Duration(d.rng.Int64N(int64(d.apart)*16/100))
		}
		d.wait(ctx, pause)
	}
}

// sense says what is wrong with a list, if anything is: changes where there is nothing to change yet, a whole list with
// no word of instances, or a list that is older than what is known.
func (d *discovery) sense(list List) error {
	switch {
	case !d.started && !list.Reset, list.Reset && list.Instances == nil:
		return errUnreadable
	case d.started && list.Generation < d.gen:
		return errOlder
	}
	return nil
}

// await makes a call, and tells the loop if it is one that waits for news.
func (d *discovery) await(ctx context.Context, url string, limit time.Duration) (List, error) {
	type answer struct {
		list List
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		list, err := d.get(ctx, url, limit)
		answers <- answer{list, err}
	}()
	out := time.NewTimer(accepted)
	defer out.Stop()
	select {
	case a := <-answers:
		return a.list, a.err
	case <-out.C:
	}
	if d.started {
		d.events <- listEvent{watched: true}
	}
	a := <-answers
	return a.list, a.err
}

// wait pauses, unless ctx or a move of discovery ends it.
func (d *discovery) wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.turn:
	case <-time.After(pause):
	}
}

// begin says where the next call goes, and whether that is another address than before.
func (d *discovery) begin(ctx context.Context) (call context.Context, base string, moved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved, d.moved = d.moved, false
	select {
	case <-d.turn: // this call goes to the new address
	default:
	}
	call, d.cut = context.WithCancel(ctx)
	return call, d.base, moved
}

// end lets go of a call and says whether discovery has moved since it began.
func (d *discovery) end() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut()
	d.cut = nil
	return d.moved
}

// isMoved says whether discovery has moved since the last call began.
func (d *discovery) isMoved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.moved
}

// address is where calls go now.
func (d *discovery) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.base
}

// move takes another address from now on. A call under way to the old one is called off.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.base, d.moved = "http://"+addr, true
	if d.cut != nil {
		d.cut()
	}
	select {
	case d.turn <- struct{}{}:
	default: // one that is not taken yet stands for this one too
	}
}

func (d *discovery) get(ctx context.Context, url string, limit time.Duration) (List, error) {
	var list List
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
		if resp.StatusCode == http.StatusServiceUnavailable {
			return list, errTurnedAway
		}
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&list); err != nil {
		return list, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
	return list, nil
}
