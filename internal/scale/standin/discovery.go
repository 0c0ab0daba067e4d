// Package standin stands for what a sender talks with, where a scale test needs its bytes: discovery with any number
// of entries, the platform that takes notices, endpoints, and a network in memory that can be cut. It speaks the
// published protocol and keeps to the clock of package time, so that it also runs under a virtual one.
package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Row is one entry of the list.
type Row struct {
	ID, HostPort, Zone, Kind string
	Dest                     int64
	Lifecycle                string
	Weight                   float64
}

// append writes the row in the published form.
func (r *Row) append(b []byte) []byte {
	b = append(b, `{"instanceId":`...)
	b = strconv.AppendQuote(b, r.ID)
	b = append(b, `,"hostPort":`...)
	b = strconv.AppendQuote(b, r.HostPort)
	b = append(b, `,"zone":`...)
	b = strconv.AppendQuote(b, r.Zone)
	b = append(b, `,"machineType":`...)
	b = strconv.AppendQuote(b, r.Kind)
	b = append(b, `,"cell":`...)
	b = strconv.AppendInt(b, r.Dest, 10)
	b = append(b, `,"lifecycle":`...)
	b = strconv.AppendQuote(b, r.Lifecycle)
	b = append(b, `,"weight":`...)
	b = strconv.AppendFloat(b, r.Weight, 'f', 1, 64)
	return append(b, `,"startedAtMs":0}`...)
}

// Rows is a list of so many destinations with so many endpoints each. The addresses are given out in turn; without
// any, each endpoint has one of its own.
func Rows(dests, each int, zones, kinds, addrs []string) []Row {
	rows := make([]Row, 0, dests*each)
	for i := range dests * each {
		addr := ""
		if len(addrs) > 0 {
			addr = addrs[i%len(addrs)]
		} else {
			addr = fmt.Sprintf("10.%d.%d.%d:6379", i>>16, i>>8&255, i&255)
		}
		rows = append(rows, Row{ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: addr, Zone: zones[i%len(zones)],
			Kind: kinds[i%len(kinds)], Dest: int64(i / each), Lifecycle: "up", Weight: 100})
	}
	return rows
}

// Config is how a stand-in of discovery behaves.
type Config struct {
	Rows       []Row
	Generation int64                  // of the first list; 1 if 0
	Keep       int                    // changes that are kept: who asks from before them gets the whole list; 10,000 if 0
	Machines   int                    // that share the senders; 1 if 0
	Bandwidth  float64                // of each, in bytes a second; 0 for no limit
	Noticed    func(id, state string) // hears of each message that ended by a notice; may be nil
}

// Discovery is a stand-in of discovery, and of the platform that takes notices.
type Discovery struct {
	cfg   Config
	start time.Time
	lines []line // one a machine

	mu      sync.Mutex
	rows    []Row
	at      map[string]int // id to place in rows
	gen     int64
	log     []int         // places in rows, in the order of their changes; the last one made generation gen
	news    chan struct{} // closed when the list changes
	lost    chan struct{} // closed when all open watches fall silent
	whole   []byte        // the list as text, shared by all answers
	wholeOf int64         // and its generation
	old     []byte        // a list of version 0, which is sent as an older one
	faults  []Fault
	conns   map[net.Conn]bool
	serving int // machine of the next sender
	machine map[string]int
	count   counts
	closed  bool

	done    chan struct{} // closed by Close
	running sync.WaitGroup
}

// line is what a machine can send at most.
type line struct {
	mu   sync.Mutex
	free time.Time
}

// New makes a stand-in. Its time begins now.
func New(cfg Config) *Discovery {
	if cfg.Generation == 0 {
		cfg.Generation = 1
	}
	if cfg.Keep == 0 {
		cfg.Keep = 10_000
	}
	cfg.Machines = max(cfg.Machines, 1)
	d := &Discovery{cfg: cfg, start: time.Now(), lines: make([]line, cfg.Machines), rows: cfg.Rows, gen: cfg.Generation,
		at: make(map[string]int, len(cfg.Rows)), news: make(chan struct{}), lost: make(chan struct{}), done: make(chan struct{}),
		conns: map[net.Conn]bool{}, machine: map[string]int{}, count: newCounts()}
	for i := range d.rows {
		d.at[d.rows[i].ID] = i
	}
	return d
}

// Set changes entries, or adds them: each is a version of its own. It returns the newest one.
func (d *Discovery) Set(rows ...Row) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rows {
		i, ok := d.at[r.ID]
		if !ok {
			i = len(d.rows)
			d.rows = append(d.rows, Row{})
			d.at[r.ID] = i
		}
		d.rows[i] = r
		d.gen++
		d.log = append(d.log, i)
	}
	if over := len(d.log) - 2*d.cfg.Keep; over > 0 {
		d.log = append([]int(nil), d.log[len(d.log)-d.cfg.Keep:]...)
	}
	close(d.news)
	d.news = make(chan struct{})
	return d.gen
}

// Row is the entry at a place of the list.
func (d *Discovery) Row(i int) Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[i]
}

// Generation is the version of the list.
func (d *Discovery) Generation() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gen
}

// Size is that of the whole list in bytes.
func (d *Discovery) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.text())
}

// text is the whole list. It is written once for each version that is asked for.
func (d *Discovery) text() []byte {
	if d.wholeOf == d.gen {
		return d.whole
	}
	b := make([]byte, 0, len(d.whole)+1<<16)
	b = head(b, d.gen, true)
	sep := false
	for i := range d.rows {
		if d.rows[i].Lifecycle == "removed" {
			continue
		}
		if sep {
			b = append(b, ',')
		}
		sep = true
		b = d.rows[i].append(b)
	}
	d.whole, d.wholeOf = append(b, "]}"...), d.gen
	if d.old == nil {
		d.old = head(nil, 0, true)
		for i := range min(len(d.rows), 10) {
			if i > 0 {
				d.old = append(d.old, ',')
			}
			d.old = d.rows[i].append(d.old)
		}
		d.old = append(d.old, "]}"...)
	}
	return d.whole
}

func head(b []byte, gen int64, whole bool) []byte {
	b = append(b, `{"generation":`...)
	b = strconv.AppendInt(b, gen, 10)
	b = append(b, `,"reset":`...)
	b = strconv.AppendBool(b, whole)
	return append(b, `,"instances":[`...)
}

// answer is the text for a call that knows a version, and whether there is news for it.
func (d *Discovery) answer(from int64, knows bool) (text []byte, whole, news bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !knows || from > d.gen || d.gen-from > int64(min(len(d.log), d.cfg.Keep)) {
		return d.text(), true, true
	}
	b := head(nil, d.gen, false)
	told := map[int]bool{}
	for _, i := range d.log[len(d.log)-int(d.gen-from):] {
		if !told[i] {
			if len(told) > 0 {
				b = append(b, ',')
			}
			told[i] = true
			b = d.rows[i].append(b)
		}
	}
	return append(b, "]}"...), false, d.gen > from
}

// Lose lets all watches that are open now fall silent.
func (d *Discovery) Lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.lost)
	d.lost = make(chan struct{})
}

// Serve answers calls until the listener or the stand-in is closed. The sender is the one that calls there; if empty,
// each peer's host is one.
func (d *Discovery) Serve(ln net.Listener, sender string) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		name := sender
		if name == "" {
			name, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
		}
		d.mu.Lock()
		closed := d.closed
		if !closed {
			d.conns[conn] = true
			d.running.Add(1)
		}
		if _, ok := d.machine[name]; !ok {
			d.machine[name] = d.serving % d.cfg.Machines
			d.serving++
		}
		d.mu.Unlock()
		if closed {
			reset(conn)
			continue
		}
		go func() {
			defer d.running.Done()
			d.serve(&peer{Conn: conn, d: d, sender: name})
		}()
	}
}

// Close ends all connections and waits until nothing is served any more. Listeners are their owner's to close, before.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	close(d.done)
	conns := d.conns
	d.conns = map[net.Conn]bool{}
	d.mu.Unlock()
	for c := range conns {
		c.Close()
	}
	d.running.Wait()
}

// Break resets all connections.
func (d *Discovery) Break() {
	d.mu.Lock()
	conns := d.conns
	d.conns = map[net.Conn]bool{}
	d.mu.Unlock()
	for c := range conns {
		reset(c)
	}
}

func (d *Discovery) drop(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}

// reset closes a connection in a way that its peer sees as a break, where the network has one.
func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}

// peer is a sender's connection; it counts what goes over it.
type peer struct {
	net.Conn
	d      *Discovery
	sender string
}

func (p *peer) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.d.tally(p.sender, func(c *Count) { c.In += int64(n) })
	return n, err
}

func (p *peer) Write(b []byte) (int, error) {
	n, err := p.Conn.Write(b)
	p.d.tally(p.sender, func(c *Count) { c.Out += int64(n) })
	return n, err
}

// piece is how much is written at once, and how much a machine sends before it turns to another sender.
const piece = 64 << 10

// send writes at the machine's pace.
func (p *peer) send(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), piece)
		p.pace(n)
		if _, err := p.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (p *peer) pace(n int) {
	if p.d.cfg.Bandwidth <= 0 {
		return
	}
	p.d.mu.Lock()
	l := &p.d.lines[p.d.machine[p.sender]]
	p.d.mu.Unlock()
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / p.d.cfg.Bandwidth * float64(time.Second)))
	free := l.free
	l.mu.Unlock()
	// Whoever is due in the same moment goes on side by side, also where time stands still meanwhile.
	time.Sleep(free.Truncate(paceStep).Add(paceStep).Sub(now))
}

const paceStep = 2 * time.Millisecond

var errSilent = errors.New("silent from now on")

func (d *Discovery) serve(p *peer) {
	defer d.drop(p.Conn)
	if d.fault() == Refuse {
		reset(p.Conn)
		return
	}
	r := bufio.NewReaderSize(p, 1<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			p.Close()
			return
		}
		switch {
		case req.URL.Path == "/v1/outcomes" && req.Method == http.MethodPost:
			err = d.outcomes(p, req)
		case req.URL.Path == "/discovery/hosts" && req.Method == http.MethodGet:
			err = d.hosts(p, req)
		default:
			err = p.reply("404 Not Found", "", nil)
		}
		if errors.Is(err, errSilent) {
			io.Copy(io.Discard, r) // until the sender has had enough
		}
		if err != nil {
			reset(p.Conn)
			return
		}
	}
}

// reply writes a whole answer.
func (p *peer) reply(status, kind string, body []byte) error {
	h := fmt.Appendf(make([]byte, 0, 128+min(len(body), 4096)), "HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	if kind != "" {
		h = fmt.Appendf(h, "Content-Type: %s\r\n", kind)
	}
	h = append(h, "\r\n"...)
	if len(body) <= 4096 { // in one write
		return p.send(append(h, body...))
	}
	if err := p.send(h); err != nil {
		return err
	}
	return p.send(body)
}

// outcomes takes notices. It does so also while discovery is down.
func (d *Discovery) outcomes(p *peer, req *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	if err != nil {
		return err
	}
	d.tally(p.sender, func(c *Count) { c.Notices++ })
	if len(body) == 0 {
		return p.reply("400 Bad Request", "", nil)
	}
	if err := d.tell(body); err != nil {
		return p.reply("400 Bad Request", "", nil)
	}
	_, err = io.WriteString(p, "HTTP/1.1 204 No Content\r\n\r\n")
	return err
}

// tell passes notices on, a JSON object a line.
func (d *Discovery) tell(body []byte) error {
	if d.cfg.Noticed == nil {
		return nil
	}
	for dec := json.NewDecoder(bytes.NewReader(body)); dec.More(); {
		var notice struct{ ID, State string }
		if err := dec.Decode(&notice); err != nil {
			return err
		}
		d.cfg.Noticed(notice.ID, notice.State)
	}
	return nil
}

// hosts answers a call for the list, in its time.
func (d *Discovery) hosts(p *peer, req *http.Request) error {
	q := req.URL.Query()
	from, bad := strconv.ParseInt(q.Get("from"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("hold_ms"), 10, 64)
	d.tally(p.sender, func(c *Count) { c.Calls++ })
	if done, err := d.spoil(p, false); done || err != nil {
		return err
	}
	hold := time.NewTimer(time.Duration(min(max(ms, 0), 60_000)) * time.Millisecond)
	defer hold.Stop()
	d.mu.Lock()
	lost := d.lost
	d.mu.Unlock()
	for over := false; ; {
		d.mu.Lock()
		next := d.news
		d.mu.Unlock()
		text, whole, news := d.answer(from, bad == nil)
		if news || over {
			if done, err := d.spoil(p, true); done || err != nil { // a trouble that began meanwhile
				return err
			}
			d.tally(p.sender, func(c *Count) {
				if whole {
					c.Whole++
				}
			})
			return p.reply("200 OK", "application/json", text)
		}
		select {
		case <-next:
		case <-lost:
			return errSilent
		case <-d.done:
			return io.ErrClosedPipe
		case <-hold.C:
			over = true
		}
	}
}
